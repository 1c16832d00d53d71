import type { ReplicaId } from '../Types.js'
import { replicaName } from './GroupFormation.js'

/** Lifetime of a replica's join request in milliseconds; the replica repeats it every few hundred milliseconds. */
const JOIN_REQUEST_TTL_MS = 1500

/** Silence in milliseconds after which a voter may be replaced; long enough for several elections. */
const REPLACE_SILENT_AFTER_MS = 4000

/** The group as its leader sees it. */
export interface GroupView {
  readonly self: ReplicaId
  readonly members: readonly ReplicaId[]
  /** Milliseconds since the last message from a member; infinite if there was none. */
  silenceMs (member: ReplicaId): number
}

/**
 * Decides at the leader which replica to add to the voters or to remove from them next, one at a time:
 * - The group grows until it has 2f + 1 voters, where f is the number of replica losses to tolerate.
 * - A voter that lost its disk is removed. It is recognised by a join request of the same name with another identity.
 * - A voter that stays silent is replaced once another replica asks to join. Without a replacement no voter is removed,
 *   so a partition never shrinks the group.
 *
 * Memory: one entry for each replica that asked to join within `JOIN_REQUEST_TTL_MS`.
 */
export class VoterPlanner {
  private readonly _joinRequests = new Map<ReplicaId, number>()

  /**
   * @param _targetVoters Number of voters that the tolerated losses require.
   */
  public constructor (private readonly _targetVoters: number) {}

  /**
   * Records a request to join the group.
   * @param replica Replica that asks to join.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordJoinRequest (replica: ReplicaId, nowMs: number): void {
    this._joinRequests.set(replica, nowMs)
  }

  /**
   * Returns the members after the next change, or undefined if no change is needed.
   * @param view The group as the leader sees it.
   * @param nowMs Monotonic time in milliseconds.
   */
  public nextMembers (view: GroupView, nowMs: number): ReplicaId[] | undefined {
    const joiners = this._pendingJoiners(view.members, nowMs)
    const { members } = view
    const formerIdentity = members.find(member => joiners.some(joiner => replicaName(joiner) === replicaName(member)))
    if (formerIdentity !== undefined) return without(members, formerIdentity)
    const silent = members.find(member => member !== view.self && view.silenceMs(member) > REPLACE_SILENT_AFTER_MS)
    if (members.length > this._targetVoters) return silent === undefined ? undefined : without(members, silent)
    const joiner = joiners[0]
    if (joiner === undefined) return undefined
    return members.length < this._targetVoters || silent !== undefined ? [...members, joiner] : undefined
  }

  private _pendingJoiners (members: readonly ReplicaId[], nowMs: number): ReplicaId[] {
    for (const [joiner, requestedAtMs] of this._joinRequests) {
      if (members.includes(joiner) || nowMs - requestedAtMs > JOIN_REQUEST_TTL_MS) this._joinRequests.delete(joiner)
    }
    return [...this._joinRequests.keys()].sort()
  }
}

function without (members: readonly ReplicaId[], member: ReplicaId): ReplicaId[] {
  return members.filter(other => other !== member)
}
