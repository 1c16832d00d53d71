import type { ReplicaId } from '../parts/Types.js'
import type { Disposable } from '../runtime/Types.js'
import { READ_TIMEOUT_MS } from './Constants.js'
import type { ReplicaToReplica } from './Types.js'

/** The part of the group that the barrier uses. */
export interface BarrierGroup {
  /** At the leader, resolves to the committed index once a quorum has confirmed the leader; undefined if it can't. */
  confirmReadIndex (): Promise<number | undefined>
  /** Leader as known to this replica. */
  leader (): ReplicaId | undefined
  /** Id of this replica. */
  readonly id: ReplicaId
  /** Index up to which log entries are applied at this replica. */
  appliedIndex (): number
  /** Sends a frame to another replica; it may be dropped. */
  send (to: ReplicaId, frame: ReplicaToReplica): void
}

/** One quorum read, shared by all callers that wait for it. */
interface Round {
  readonly promise: Promise<boolean>
  settle: (confirmed: boolean) => void
  /** Index that must be applied before the round ends; undefined until it is confirmed. */
  index: number | undefined
  timer: NodeJS.Timeout | undefined
}

/**
 * Linearizable reads at any replica (read index): a follower asks the leader for a committed index that a quorum
 * confirms, and waits until it has applied the log up to that index. Callers that arrive during a round share the next
 * one. A round fails after `READ_TIMEOUT_MS`.
 */
export class ReadBarrier implements Disposable {
  private _currentRound: Round | undefined
  private _nextRound: Round | undefined
  private _requestId: number

  /**
   * @param _group The group, as seen by this replica.
   * @param firstRequestId Random number, so that a late reply to an earlier run of this process matches no request.
   */
  public constructor (
    private readonly _group: BarrierGroup,
    firstRequestId: number
  ) {
    this._requestId = firstRequestId
  }

  /**
   * Resolves to true once everything committed before this call is applied here, and to false when that could not be
   * confirmed.
   */
  public wait (): Promise<boolean> {
    if (this._currentRound === undefined) return this._startRound(makeRound())
    this._nextRound ??= makeRound()
    return this._nextRound.promise
  }

  /**
   * Confirms the index for a follower and sends it the reply.
   * @param from The follower.
   * @param id Id of the follower's request.
   */
  public async replyToFollower (from: ReplicaId, id: number): Promise<void> {
    const index = await this._group.confirmReadIndex()
    this._group.send(from, { type: 'readIndexReply', id, ...(index === undefined ? {} : { index }) })
  }

  /**
   * Handles the leader's reply; replies to any but the current request are ignored.
   * @param id Id of the request.
   * @param index Confirmed index, or undefined when it could not be confirmed.
   */
  public receiveReply (id: number, index: number | undefined): void {
    if (id === this._requestId && this._currentRound !== undefined) this._onIndex(this._currentRound, index)
  }

  /** Ends the round if its index is applied by now. Must be called after entries were applied. */
  public notifyApplied (): void {
    const round = this._currentRound
    if (round?.index !== undefined && this._group.appliedIndex() >= round.index) this._endRound(round, true)
  }

  /**
   * Asks the new leader in place of the old one, which may have lost the request. Must be called when the known leader
   * has changed; while none is known, the round waits for the next one.
   */
  public notifyLeader (): void {
    const round = this._currentRound
    if (round === undefined || round.index !== undefined || this._group.leader() === undefined) return
    this._ask(round)
  }

  /** Fails all pending reads. */
  public dispose (): void {
    this._nextRound?.settle(false)
    this._nextRound = undefined
    if (this._currentRound !== undefined) this._endRound(this._currentRound, false)
  }

  private _startRound (round: Round): Promise<boolean> {
    this._currentRound = round
    round.timer = setTimeout(() => this._endRound(round, false), READ_TIMEOUT_MS)
    this._ask(round)
    return round.promise
  }

  private _ask (round: Round): void {
    const id = ++this._requestId
    const leader = this._group.leader()
    if (leader === undefined) return this._endRound(round, false)
    if (leader !== this._group.id) return this._group.send(leader, { type: 'readIndex', id })
    this._group.confirmReadIndex().then(index => {
      if (id === this._requestId) this._onIndex(round, index)
    }, () => {})
  }

  private _onIndex (round: Round, index: number | undefined): void {
    if (this._currentRound !== round) return
    if (index === undefined) return this._endRound(round, false)
    round.index = index
    this.notifyApplied()
  }

  private _endRound (round: Round, confirmed: boolean): void {
    if (this._currentRound !== round) return
    clearTimeout(round.timer)
    const nextRound = this._nextRound
    this._currentRound = undefined
    this._nextRound = undefined
    round.settle(confirmed)
    if (nextRound !== undefined) this._startRound(nextRound).catch(() => {})
  }
}

function makeRound (): Round {
  let settle: (confirmed: boolean) => void = () => {}
  const promise = new Promise<boolean>(resolve => { settle = resolve })
  return { promise, settle, index: undefined, timer: undefined }
}
