import type { ReplicaId } from '../Types.js'
import { changedMembers, encodeMembers } from './Members.js'
import type { Replication } from './Replication.js'
import type { ReplicaState } from './ReplicaState.js'

/** The addition of a replica, which waits until the new replica has caught up. */
interface PendingAddition {
  readonly id: number
  readonly members: readonly ReplicaId[]
  readonly replica: ReplicaId
  readonly sinceMs: number
}

/**
 * Raft membership changes, one replica at a time. A change takes effect when its entry is appended; it is accepted
 * only after the previous change and an entry of the leader's term are committed. A new replica first catches up as a
 * non-voting follower; a learner has done so before.
 *
 * Memory: one addition, and the ids of the learners.
 */
export class MembershipChange {
  private _addition: PendingAddition | undefined
  /** Replicas outside the group that receive the log while this replica leads. */
  private _learners: readonly ReplicaId[] = []

  /**
   * @param _state State shared by the modules of the replica.
   * @param _replication The leader's side of replication.
   */
  public constructor (
    private readonly _state: ReplicaState,
    private readonly _replication: Replication
  ) {
    _state.onSteppedDown(() => {
      this._learners = []
      this._abandonAddition()
    })
  }

  /**
   * Sends the log to replicas outside the group, in place of those that were named before, so that they have caught up
   * when they are added. They count towards no quorum. Has no effect at other replicas than the leader.
   * @param learners Replicas that are to receive the log.
   */
  public setLearners (learners: readonly ReplicaId[]): void {
    if (this._state.role !== 'leader') return
    const former = this._learners
    this._learners = learners
    former.forEach(replica => this._release(replica))
    learners.forEach(replica => this._replication.addFollower(replica))
  }

  /**
   * Starts a change. Rejects it as `not-run` if it does not add or remove exactly one replica, if this replica is not a
   * leader with a valid lease, while an addition is pending, or while an earlier change or the first entry of the term
   * is not committed.
   * @param id The host's id for the request.
   * @param members All members after the change.
   */
  public change (id: number, members: readonly ReplicaId[]): void {
    const changed = changedMembers(this._state.log.members, members)
    const isValid = changed.length === 1 && members.length > 0 && new Set(members).size === members.length
    if (!this._replication.checkLease() || !isValid || !this._acceptsChange()) return this._state.reject(id, 'not-run')
    const replica = changed[0]!
    if (!members.includes(replica)) return this._append(id, members)
    this._addition = { id, members, replica, sinceMs: this._state.nowMs }
    this._replication.addFollower(replica)
    this._replication.sendHeartbeats()
  }

  /**
   * Appends the pending addition once its replica has caught up; steps down once the removal of this replica is
   * committed.
   */
  public advance (): void {
    const addition = this._addition
    if (addition !== undefined && this._hasCaughtUp(addition)) {
      this._addition = undefined
      this._append(addition.id, addition.members)
    }
    const { log, commitIndex, role, isMember, term } = this._state
    if (role === 'leader' && !isMember && log.membersIndex <= commitIndex) this._state.follow(term, undefined)
  }

  /** Abandons an addition whose replica takes too long to catch up, or does not answer. */
  public tick (): void {
    if (this._addition === undefined) return
    const { replica, sinceMs } = this._addition
    const { nowMs, timing: { catchUpTimeoutMs, catchUpSilenceMs = Infinity } } = this._state
    const contactMs = Math.max(this._replication.lastContactMs(replica), sinceMs)
    if (nowMs - sinceMs >= catchUpTimeoutMs || nowMs - contactMs >= catchUpSilenceMs) this._abandonAddition()
  }

  /** A learner may have ended since it caught up, and the vote of a lost replica would stand against the others. */
  private _hasCaughtUp ({ replica, sinceMs }: PendingAddition): boolean {
    const { log, limits } = this._state
    const match = this._replication.matchIndex(replica)
    const hasAnswered = this._replication.lastContactMs(replica) >= sinceMs
    return hasAnswered && match > 0 && match + limits.catchUpSlackEntries >= log.lastIndex
  }

  private _append (id: number, members: readonly ReplicaId[]): void {
    const before = this._state.log.members
    this._replication.append('members', encodeMembers(members), id)
    members.forEach(member => this._replication.addFollower(member))
    before.forEach(member => this._release(member))
  }

  private _acceptsChange (): boolean {
    const { log, commitIndex, term } = this._state
    return this._addition === undefined && log.membersIndex <= commitIndex && log.termAt(commitIndex) === term
  }

  private _abandonAddition (): void {
    const addition = this._addition
    if (addition === undefined) return
    this._addition = undefined
    this._release(addition.replica)
    this._state.reject(addition.id, 'not-run')
  }

  /** Stops replicating to a replica that is no member, is not being added and is no learner. */
  private _release (replica: ReplicaId): void {
    const isFollower = this._state.log.members.includes(replica) || this._learners.includes(replica)
    if (!isFollower && this._addition?.replica !== replica) this._replication.removeFollower(replica)
  }
}
