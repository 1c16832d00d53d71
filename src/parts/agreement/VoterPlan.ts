import type { ReplicaId } from '../Types.js'
import { replicaName } from './GroupFormation.js'

/** How long a replica's request to join counts, in milliseconds; it is repeated every few hundred. */
const JOIN_REQUEST_TTL_MS = 1500

/** Silence after which a voter may be replaced by a replica that waits; several elections long. */
const REPLACE_SILENT_AFTER_MS = 4000

/** What the plan looks at. */
export interface GroupView {
  readonly self: ReplicaId
  readonly members: readonly ReplicaId[]
  /** Milliseconds since a member was last heard; infinite when it never was. */
  silenceMs (member: ReplicaId): number
}

/**
 * Decides at the leader which voter comes or goes next, one at a time: up to twice the tolerated losses plus one
 * voters; a voter whose disk came back empty is removed, since its name asks to join under another identity; a
 * voter that stays silent is replaced once another replica waits. Without one that waits nobody is removed, so a
 * partition never shrinks the group.
 *
 * Memory: one entry for each replica that asked within `JOIN_VALID_MS`.
 */
export class VoterPlan {
  private readonly _joinRequests = new Map<ReplicaId, number>()

  /**
   * @param _targetVoters Voters that the tolerated losses need.
   */
  public constructor (private readonly _targetVoters: number) {}

  /**
   * Takes note of a replica that asks to join.
   * @param replica The replica.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordJoinRequest (replica: ReplicaId, nowMs: number): void {
    this._joinRequests.set(replica, nowMs)
  }

  /**
   * Returns the members after the next step, or undefined when nothing is to do.
   * @param sight The group as the leader sees it.
   * @param nowMs Monotonic time in milliseconds.
   */
  public next (view: GroupView, nowMs: number): ReplicaId[] | undefined {
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
