import type { ReplicaId } from '../Types.js'
import { replicaName } from './GroupFormation.js'

/** Lifetime of a request to join or to leave in milliseconds; replicas repeat it every few hundred milliseconds. */
const REQUEST_TTL_MS = 1500

/**
 * Silence in milliseconds after which a voter is replaced: seven heartbeats, so that neither a packet that is sent
 * twice nor a short pause counts. Until the change that follows is committed, the loss of one more voter than the group
 * tolerates leaves no quorum; a wrong verdict costs two changes.
 */
export const REPLACE_SILENT_AFTER_MS = 700

/**
 * Voters beyond the number that the tolerated losses require, from ready spares: with two, one more voter may be lost
 * at the same moment as those that are tolerated, as a machine that is removed no longer counts once its successor has
 * caught up. They are added in pairs, since an even group tolerates no more losses than one with a voter less.
 */
const SPARE_VOTERS = 2

/** Most replicas outside the group that receive its log. From two ready spares on, spares vote. */
const MAX_LEARNERS = 1

/** The group as its leader sees it. */
export interface GroupView {
  readonly self: ReplicaId
  readonly members: readonly ReplicaId[]
  /** Returns whether the process of a member has surely ended: it refuses connections, and nothing is heard of it. */
  isGone (member: ReplicaId): boolean
  /** Milliseconds for which a member has been silent although it should have answered; 0 if that can't be told. */
  silenceMs (member: ReplicaId): number
}

/**
 * Why the voters change: the group lacks voters, a spare is ready, or a voter lost its disk, has ended, has gone silent
 * or is about to stop.
 */
export type VoterChangeReason = 'missing' | 'spare' | 'disk-lost' | 'gone' | 'silent' | 'leaving'

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
 * - The group grows until it has 2f + 1 voters, where f is the number of replica losses to tolerate, and by a pair of
 *   spares beyond that.
 * - A voter that lost its disk is removed. It is recognised by a join request of the same name with another identity.
 * - A voter that has ended, stays silent or is about to stop is removed at once while there are more than 2f + 1, and
 *   otherwise replaced once another replica asks to join. Without a replacement no voter is removed, so neither a
 *   partition nor a restart shrinks the group below 2f + 1. A voter that comes back asks to join again.
 *
 * Memory: one entry for each replica that asked to join or to leave within `REQUEST_TTL_MS`.
 */
export class VoterPlanner {
  private readonly _joinRequests = new Map<ReplicaId, number>()
  private readonly _leaveRequests = new Map<ReplicaId, number>()

  /**
   * @param _requiredVoters Number of voters that the tolerated losses require.
   */
  public constructor (private readonly _requiredVoters: number) {}

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
   * Returns the replicas outside the group that are to receive its log already, so that a change that adds one of them
   * does not wait for it to catch up. A group with more voters than it needs has none: it removes a voter that is lost.
   * @param members Members of the group.
   * @param nowMs Monotonic time in milliseconds.
   */
  public learners (members: readonly ReplicaId[], nowMs: number): readonly ReplicaId[] {
    return members.length > this._requiredVoters ? [] : this._pendingJoiners(members, nowMs).slice(0, MAX_LEARNERS)
  }

  /**
   * Returns whether a voter that is about to stop will be removed: a replacement asks to join, or the group has more
   * voters than it needs.
   * @param members Members of the group.
   * @param nowMs Monotonic time in milliseconds.
   */
  public canReplace (members: readonly ReplicaId[], nowMs: number): boolean {
    return members.length > this._requiredVoters || this._pendingJoiners(members, nowMs).length > 0
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
    if (replaceable !== undefined && members.length > this._requiredVoters) return removal(members, replaceable)
    const joiner = joiners[0]
    if (joiner === undefined) return undefined
    const added = { members: [...members, joiner], replica: joiner }
    if (members.length < this._requiredVoters) return { ...added, reason: 'missing' }
    if (replaceable !== undefined) return { ...added, reason: replaceable.reason, replaced: replaceable.replica }
    return this._isSpareWanted(members, joiners) ? { ...added, reason: 'spare' } : undefined
  }

  private _isSpareWanted (members: readonly ReplicaId[], joiners: readonly ReplicaId[]): boolean {
    const missing = this._requiredVoters + SPARE_VOTERS - members.length
    return missing === SPARE_VOTERS ? joiners.length >= SPARE_VOTERS : missing > 0
  }

  /** A voter that is lost goes first: one that is about to stop still counts meanwhile. */
  private _findReplaceable ({ self, members, isGone, silenceMs }: GroupView, nowMs: number): Replaceable | undefined {
    const gone = members.find(member => member !== self && isGone(member))
    if (gone !== undefined) return { reason: 'gone', replica: gone }
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
