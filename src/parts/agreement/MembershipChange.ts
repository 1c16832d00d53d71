import type { ReplicaId } from '../Types.js'
import { changedMembers, encodeMembers } from './Members.js'
import type { Replication } from './Replication.js'
import type { ReplicaState } from './ReplicaState.js'

/** An addition that waits until the new replica has caught up. */
interface CatchUp {
  readonly id: number
  readonly members: readonly ReplicaId[]
  readonly replica: ReplicaId
  readonly untilMs: number
}

/**
 * Changes the members one replica at a time. A change takes effect when its entry is appended; it is
 * taken only after the one before it and an entry of the leader's term are committed. A new replica
 * first catches up without counting.
 */
export class MembershipChange {
  private _catchUp: CatchUp | undefined

  /**
   * @param _state Shared state.
   * @param _replication The leader's side of replication.
   */
  public constructor (
    private readonly _state: ReplicaState,
    private readonly _replication: Replication
  ) {
    _state.onSteppedDown(() => this._giveUp())
  }

  /**
   * Takes a change; refused as not run unless exactly one replica comes or goes.
   * @param id The host's id.
   * @param members All members after the change.
   */
  public change (id: number, members: readonly ReplicaId[]): void {
    const changed = changedMembers(this._state.log.members, members)
    const valid = changed.length === 1 && members.length > 0 && new Set(members).size === members.length
    if (!this._replication.checkLease() || !valid || !this._isSettled()) return this._state.reject(id, 'not-run')
    const replica = changed[0]!
    if (!members.includes(replica)) return this._append(id, members)
    const untilMs = this._state.nowMs + this._state.timing.catchUpTimeoutMs
    this._catchUp = { id, members, replica, untilMs }
    this._replication.watch(replica)
    this._replication.heartbeat()
  }

  /** Appends an awaited addition once its replica has caught up, and acts on a committed removal of this one. */
  public advance (): void {
    const waiting = this._catchUp
    if (waiting !== undefined && this._hasCaughtUp(waiting)) {
      this._catchUp = undefined
      this._append(waiting.id, waiting.members)
    }
    const { log, commitIndex, role, isMember, term } = this._state
    if (role === 'leader' && !isMember && log.membersIndex <= commitIndex) this._state.follow(term, undefined)
  }

  /** Gives an addition up whose replica takes too long. */
  public tick (): void {
    if (this._catchUp !== undefined && this._state.nowMs >= this._catchUp.untilMs) this._giveUp()
  }

  private _hasCaughtUp ({ replica }: CatchUp): boolean {
    const { log, limits } = this._state
    const match = this._replication.matchOf(replica)
    return match > 0 && match + limits.catchUpSlackEntries >= log.lastIndex
  }

  private _append (id: number, members: readonly ReplicaId[]): void {
    const before = this._state.log.members
    this._replication.append('members', encodeMembers(members), id)
    members.forEach(member => this._replication.watch(member))
    before.filter(member => !members.includes(member)).forEach(member => this._replication.unwatch(member))
  }

  private _isSettled (): boolean {
    const { log, commitIndex, term } = this._state
    return this._catchUp === undefined && log.membersIndex <= commitIndex && log.termAt(commitIndex) === term
  }

  private _giveUp (): void {
    const waiting = this._catchUp
    if (waiting === undefined) return
    this._catchUp = undefined
    if (!this._state.log.members.includes(waiting.replica)) this._replication.unwatch(waiting.replica)
    this._state.reject(waiting.id, 'not-run')
  }
}
