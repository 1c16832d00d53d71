import type { ReplicaId } from '../Types.js'

const ENCODER = new TextEncoder()
const DECODER = new TextDecoder()

/**
 * Encodes the members that a membership entry puts in force.
 * @param members Replica ids.
 */
export function encodeMembers (members: readonly ReplicaId[]): Uint8Array {
  return ENCODER.encode(JSON.stringify(members))
}

/**
 * Decodes the data of a membership entry.
 * @param data Encoded by `encodeMembers`.
 */
export function decodeMembers (data: Uint8Array): ReplicaId[] {
  return JSON.parse(DECODER.decode(data)) as ReplicaId[]
}

/**
 * Returns how many members make a quorum.
 * @param members Members of the group.
 */
export function quorumSize (members: readonly ReplicaId[]): number {
  return Math.floor(members.length / 2) + 1
}

/**
 * Returns the greatest value that a quorum has reached.
 * @param values One value for each member.
 */
export function reachedByQuorum (values: number[]): number {
  const sorted = values.sort((a, b) => b - a)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}

/**
 * Returns the replicas that are in one list and not in the other, both ways.
 * @param before Members before a change.
 * @param after Members after it.
 */
export function changedMembers (before: readonly ReplicaId[], after: readonly ReplicaId[]): ReplicaId[] {
  return [
    ...before.filter(id => !after.includes(id)),
    ...after.filter(id => !before.includes(id))
  ]
}
