import type { Replication } from './Replication.js'
import type { ReplicaState } from './ReplicaState.js'

/** A read that waits until a quorum confirms the leader. */
interface PendingRead {
  readonly id: number
  readonly index: number
  readonly round: number
}

/**
 * Linearizable reads (Raft's ReadIndex): a read takes the commit index on arrival and is answered after a quorum has
 * confirmed, in a heartbeat round that began later, that this replica still leads. Reads that arrive during a round
 * share the next one.
 *
 * Memory: at most `maxReads` reads.
 */
export class ReadQueue {
  /** Ids of reads that arrived before an entry of the leader's term was committed; their index is not known yet. */
  private _unindexed: number[] = []
  private _pending: PendingRead[] = []

  /**
   * @param _state State shared by the modules of the replica.
   * @param _replication The leader's side of replication.
   */
  public constructor (
    private readonly _state: ReplicaState,
    private readonly _replication: Replication
  ) {
    _state.onSteppedDown(() => this._rejectAll())
  }

  /**
   * Queues a read; rejects it if the queue is full or this replica does not lead.
   * @param id The host's id for the read.
   */
  public read (id: number): void {
    const isFull = this._unindexed.length + this._pending.length >= this._state.limits.maxReads
    if (isFull || !this._replication.checkLease()) return this._state.reject(id, 'not-run')
    if (!this._hasCommittedInTerm()) {
      this._unindexed.push(id)
      return
    }
    this._enqueue(id)
    this.advance()
  }

  /** Completes the reads that a quorum has confirmed, and starts a round for those that still wait. */
  public advance (): void {
    if (this._unindexed.length > 0 && this._hasCommittedInTerm()) {
      this._unindexed.splice(0).forEach(id => this._enqueue(id))
    }
    if (this._pending.length === 0) return
    this._completeConfirmed()
    if (this._pending.length === 0 || this._isRoundRunning()) return
    this._replication.round++
    this._replication.sendHeartbeats()
    this._completeConfirmed()
  }

  private _enqueue (id: number): void {
    this._pending.push({ id, index: this._state.commitIndex, round: this._replication.round + 1 })
  }

  private _completeConfirmed (): void {
    const confirmedRound = this._replication.confirmedRound
    const firstUnconfirmed = this._pending.findIndex(item => item.round > confirmedRound)
    const completed = this._pending.splice(0, firstUnconfirmed < 0 ? this._pending.length : firstUnconfirmed)
    completed.forEach(({ id, index }) => this._state.emit({ type: 'readable', id, index }))
  }

  private _isRoundRunning (): boolean {
    return this._replication.confirmedRound < this._replication.round
  }

  private _hasCommittedInTerm (): boolean {
    const { log, commitIndex, term } = this._state
    return log.termAt(commitIndex) === term
  }

  private _rejectAll (): void {
    this._unindexed.splice(0).forEach(id => this._state.reject(id, 'not-run'))
    this._pending.splice(0).forEach(item => this._state.reject(item.id, 'not-run'))
  }
}
