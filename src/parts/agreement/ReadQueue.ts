import type { Replication } from './Replication.js'
import type { ReplicaState } from './ReplicaState.js'

/** A read that waits for a quorum. */
interface WaitingRead {
  readonly id: number
  readonly index: number
  readonly round: number
}

/**
 * Quorum reads: a read takes the commit index when it arrives, and is answered after a quorum has
 * confirmed, by a heartbeat round that began later, that this replica still leads. Reads that arrive
 * while a round is under way share the next one. Holds at most `maxReads` reads.
 */
export class ReadQueue {
  /** Reads from before an entry of the own term is committed; their index is not known yet. */
  private _early: number[] = []
  private _waiting: WaitingRead[] = []

  /**
   * @param _state Shared state.
   * @param _replication The leader's side of replication.
   */
  public constructor (
    private readonly _state: ReplicaState,
    private readonly _replication: Replication
  ) {
    _state.onSteppedDown(() => this._refuseAll())
  }

  /**
   * Takes a read.
   * @param id The host's id.
   */
  public read (id: number): void {
    const full = this._early.length + this._waiting.length >= this._state.limits.maxReads
    if (full || !this._replication.checkLease()) return this._state.reject(id, 'not-run')
    if (!this._ownTermCommitted()) {
      this._early.push(id)
      return
    }
    this._await(id)
    this.advance()
  }

  /** Answers the reads that a quorum has confirmed, and starts a round for those that wait. */
  public advance (): void {
    if (this._early.length > 0 && this._ownTermCommitted()) {
      this._early.splice(0).forEach(id => this._await(id))
    }
    if (this._waiting.length === 0) return
    this._answerConfirmed()
    if (this._waiting.length === 0 || this._roundUnderWay()) return
    this._replication.round++
    this._replication.heartbeat()
    this._answerConfirmed()
  }

  private _await (id: number): void {
    this._waiting.push({ id, index: this._state.commitIndex, round: this._replication.round + 1 })
  }

  private _answerConfirmed (): void {
    const confirmed = this._replication.confirmedRound
    const still = this._waiting.findIndex(item => item.round > confirmed)
    const ready = this._waiting.splice(0, still < 0 ? this._waiting.length : still)
    ready.forEach(({ id, index }) => this._state.emit({ type: 'readable', id, index }))
  }

  private _roundUnderWay (): boolean {
    return this._replication.confirmedRound < this._replication.round
  }

  private _ownTermCommitted (): boolean {
    const { log, commitIndex, term } = this._state
    return log.termAt(commitIndex) === term
  }

  private _refuseAll (): void {
    this._early.splice(0).forEach(id => this._state.reject(id, 'not-run'))
    this._waiting.splice(0).forEach(item => this._state.reject(item.id, 'not-run'))
  }
}
