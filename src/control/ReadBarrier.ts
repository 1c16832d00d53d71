import type { ReplicaId } from '../parts/Types.js'
import type { Disposable } from '../runtime/Types.js'
import { READ_TIMEOUT_MS } from './Constants.js'
import type { ReplicaToReplica } from './Types.js'

/** What the barrier needs of the group. */
export interface BarrierGroup {
  /** Index that a quorum confirms, at a leader. */
  confirmReadIndex (): Promise<number | undefined>
  /** Leader known here. */
  leader (): ReplicaId | undefined
  /** Own id. */
  readonly id: ReplicaId
  /** Index up to which entries are applied here. */
  appliedIndex (): number
  /** Sends to another replica; may drop. */
  send (to: ReplicaId, frame: ReplicaToReplica): void
}

/** Callers that share one round. */
interface Round {
  readonly promise: Promise<boolean>
  settle: (confirmed: boolean) => void
  index: number | undefined
  timer: NodeJS.Timeout | undefined
}

/**
 * Quorum reads at any replica: a follower asks its leader for an index that a quorum confirms and waits
 * until it has applied that far. Callers that come while a round is under way share the next one.
 */
export class ReadBarrier implements Disposable {
  private _currentRound: Round | undefined
  private _nextRound: Round | undefined
  private _requestId: number

  /**
   * @param _group The group as seen here.
   * @param firstRequestId Random number, so that an answer to an earlier run of this process matches no question.
   */
  public constructor (
    private readonly _group: BarrierGroup,
    firstRequestId: number
  ) {
    this._requestId = firstRequestId
  }

  /** Resolves to true when all that was committed before this call is applied here, to false when none can tell. */
  public wait (): Promise<boolean> {
    if (this._currentRound === undefined) return this._startRound(makeRound())
    this._nextRound ??= makeRound()
    return this._nextRound.promise
  }

  /**
   * Answers a follower's question.
   * @param from The follower.
   * @param id Its number for the question.
   */
  public async replyToFollower (from: ReplicaId, id: number): Promise<void> {
    const index = await this._group.confirmReadIndex()
    this._group.send(from, { type: 'readIndexReply', id, ...(index === undefined ? {} : { index }) })
  }

  /**
   * Takes the leader's answer.
   * @param id Number of the question.
   * @param index Confirmed index, or undefined when it could not be confirmed.
   */
  public receiveReply (id: number, index: number | undefined): void {
    if (id === this._requestId && this._currentRound !== undefined) this._onIndex(this._currentRound, index)
  }

  /** Lets callers go on whose index is applied by now. */
  public notifyApplied (): void {
    const round = this._currentRound
    if (round?.index !== undefined && this._group.appliedIndex() >= round.index) this._endRound(round, true)
  }

  /** Gives up what waits. */
  public dispose (): void {
    this._nextRound?.settle(false)
    this._nextRound = undefined
    if (this._currentRound !== undefined) this._endRound(this._currentRound, false)
  }

  private _startRound (round: Round): Promise<boolean> {
    this._currentRound = round
    this._requestId++
    round.timer = setTimeout(() => this._endRound(round, false), READ_TIMEOUT_MS)
    const leader = this._group.leader()
    if (leader === this._group.id) this._group.confirmReadIndex().then(index => this._onIndex(round, index), () => {})
    else if (leader === undefined) this._endRound(round, false)
    else this._group.send(leader, { type: 'readIndex', id: this._requestId })
    return round.promise
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
