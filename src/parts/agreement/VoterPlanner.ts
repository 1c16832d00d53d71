import type { ReplicaId } from '../Types.js'
import { replicaName } from './GroupFormation.js'

/** Lifetime of a request to join or to leave in milliseconds; replicas repeat it every few hundred milliseconds. */
const REQUEST_TTL_MS = 1500

/**
 * Silence in milliseconds after which a voter may be replaced. The group must have replaced a lost voter within the
 * shortest time after which another one may be lost, 4 s after the start of the replacement, although the lost one may
 * have been the leader.
 */
export const REPLACE_SILENT_AFTER_MS = 1500

/** The group as its leader sees it. */
export interface GroupView {
  readonly self: ReplicaId
  readonly members: readonly ReplicaId[]
  /** Milliseconds since the last message from a member; infinite if there was none. */
  silenceMs (member: ReplicaId): number
}

/** Why the voters change: the group lacks voters, or a voter lost its disk, has gone silent or is about to stop. */
export type VoterChangeReason = 'missing' | 'disk-lost' | 'silent' | 'leaving'

/** The next change of the voters. */
export interface VoterChange {
  /** All members after the change. */
  readonly members: readonly ReplicaId[]
  readonly reason: VoterChangeReason
  /** The replica that is added or removed. */
  readonly replica: ReplicaId
  /** The voter on whose account the change is made; undefined when the group lacks voters. */
  readonly replaced?: ReplicaId
}

/** A voter that may be replaced. */
interface Replaceable {
  readonly reason: VoterChangeReason
  readonly replica: ReplicaId
}

/**
 * Decides at the leader which replica to add to the voters or to remove from them next, one at a time:
 * - The group grows until it has 2f + 1 voters, where f is the number of replica losses to tolerate.
 * - A voter that lost its disk is removed. It is recognised by a join request of the same name with another identity.
 * - A voter that stays silent or is about to stop is replaced once another replica asks to join. Without a replacement
 *   no voter is removed, so neither a partition nor a restart shrinks the group.
 *
 * Memory: one entry for each replica that asked to join or to leave within `REQUEST_TTL_MS`.
 */
export class VoterPlanner {
  private readonly _joinRequests = new Map<ReplicaId, number>()
  private readonly _leaveRequests = new Map<ReplicaId, number>()

  /**
   * @param _targetVoters Number of voters that the tolerated losses require.
   */
  public constructor (private readonly _targetVoters: number) {}

  /**
   * Records a request to join the group. It supersedes earlier ones of the same name, whose disk is lost.
   * @param replica Replica that asks to join.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordJoinRequest (replica: ReplicaId, nowMs: number): void {
    this._removeExpired(nowMs)
    const name = replicaName(replica)
    for (const other of this._joinRequests.keys()) if (replicaName(other) === name) this._joinRequests.delete(other)
    this._joinRequests.set(replica, nowMs)
  }

  /**
   * Forgets the request of a replica that could not be added; it asks again if it still runs.
   * @param replica Replica that asked to join.
   */
  public forgetJoinRequest (replica: ReplicaId): void {
    this._joinRequests.delete(replica)
  }

  /**
   * Records that a replica is about to stop.
   * @param replica Replica that asks to leave.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordLeaveRequest (replica: ReplicaId, nowMs: number): void {
    this._removeExpired(nowMs)
    this._joinRequests.delete(replica)
    this._leaveRequests.set(replica, nowMs)
  }

  /**
   * Returns whether a voter that is about to stop will be removed: a replacement asks to join, or the group has more
   * voters than it needs.
   * @param members Members of the group.
   * @param nowMs Monotonic time in milliseconds.
   */
  public canReplace (members: readonly ReplicaId[], nowMs: number): boolean {
    return members.length > this._targetVoters || this._pendingJoiners(members, nowMs).length > 0
  }

  /**
   * Returns the next change, or undefined if none is needed.
   * @param view The group as the leader sees it.
   * @param nowMs Monotonic time in milliseconds.
   */
  public nextChange (view: GroupView, nowMs: number): VoterChange | undefined {
    const joiners = this._pendingJoiners(view.members, nowMs)
    const { members } = view
    const formerIdentity = members.find(member => joiners.some(joiner => replicaName(joiner) === replicaName(member)))
    if (formerIdentity !== undefined) return removal(members, { reason: 'disk-lost', replica: formerIdentity })
    const replaceable = this._findReplaceable(view, nowMs)
    if (members.length > this._targetVoters) return replaceable && removal(members, replaceable)
    const joiner = joiners[0]
    if (joiner === undefined) return undefined
    const isMissing = members.length < this._targetVoters
    if (isMissing) return { members: [...members, joiner], reason: 'missing', replica: joiner }
    if (replaceable === undefined) return undefined
    return { members: [...members, joiner], reason: replaceable.reason, replica: joiner, replaced: replaceable.replica }
  }

  /** A silent voter goes first: a voter that is about to stop still counts meanwhile. */
  private _findReplaceable ({ self, members, silenceMs }: GroupView, nowMs: number): Replaceable | undefined {
    const silent = members.find(member => member !== self && silenceMs(member) > REPLACE_SILENT_AFTER_MS)
    if (silent !== undefined) return { reason: 'silent', replica: silent }
    this._removeExpired(nowMs)
    const leaving = members.filter(member => this._leaveRequests.has(member))
    // The leader is removed last, as its removal costs an election.
    const first = leaving.find(member => member !== self) ?? leaving[0]
    return first === undefined ? undefined : { reason: 'leaving', replica: first }
  }

  private _pendingJoiners (members: readonly ReplicaId[], nowMs: number): ReplicaId[] {
    this._removeExpired(nowMs)
    return [...this._joinRequests.keys()].filter(joiner => !members.includes(joiner)).sort()
  }

  private _removeExpired (nowMs: number): void {
    for (const requests of [this._joinRequests, this._leaveRequests]) {
      for (const [replica, atMs] of requests) if (nowMs - atMs > REQUEST_TTL_MS) requests.delete(replica)
    }
  }
}

function removal (members: readonly ReplicaId[], { reason, replica }: Replaceable): VoterChange {
  return { members: members.filter(member => member !== replica), reason, replica, replaced: replica }
}
