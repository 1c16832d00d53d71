import type { ReplicaId } from '../Types.js'

const ENCODER = new TextEncoder()
const DECODER = new TextDecoder()

/**
 * Encodes the member list of a membership entry.
 * @param members Replica ids.
 */
export function encodeMembers (members: readonly ReplicaId[]): Uint8Array {
  return ENCODER.encode(JSON.stringify(members))
}

/**
 * Decodes the member list of a membership entry.
 * @param data Encoded by `encodeMembers`.
 */
export function decodeMembers (data: Uint8Array): ReplicaId[] {
  return JSON.parse(DECODER.decode(data)) as ReplicaId[]
}

/**
 * Returns the size of a quorum: more than half of the members.
 * @param members Members of the group.
 */
export function quorumSize (members: readonly ReplicaId[]): number {
  return Math.floor(members.length / 2) + 1
}

/**
 * Returns the highest value that a quorum of members has reached; 0 if there are no members.
 * @param values One value for each member.
 */
export function highestByQuorum (values: readonly number[]): number {
  const needed = Math.floor(values.length / 2) + 1
  let best = -Infinity
  for (const value of values) {
    if (value > best && countAtLeast(values, value) >= needed) best = value
  }
  return values.length === 0 ? 0 : best
}

/**
 * Returns the replicas that a change removes or adds.
 * @param before Members before a change.
 * @param after Members after it.
 */
export function changedMembers (before: readonly ReplicaId[], after: readonly ReplicaId[]): ReplicaId[] {
  return [
    ...before.filter(id => !after.includes(id)),
    ...after.filter(id => !before.includes(id))
  ]
}

function countAtLeast (values: readonly number[], least: number): number {
  let count = 0
  for (const value of values) if (value >= least) count++
  return count
}
