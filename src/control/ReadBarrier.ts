import type { ReplicaId } from '../parts/Types.js'
import type { Disposable } from '../runtime/Types.js'
import { READ_TIMEOUT_MS } from './Constants.js'
import type { ReplicaToReplica } from './Types.js'

/** What the barrier needs of the group. */
export interface BarrierGroup {
  /** Index that a quorum confirms, at a leader. */
  read (): Promise<number | undefined>
  /** Leader known here. */
  leader (): ReplicaId | undefined
  /** Own id. */
  readonly id: ReplicaId
  /** Index up to which entries are applied here. */
  applied (): number
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
  private _current: Round | undefined
  private _next: Round | undefined
  private _requestId: number

  /**
   * @param _group The group as seen here.
   * @param firstId Random number, so that an answer to an earlier run of this process matches no question.
   */
  public constructor (
    private readonly _group: BarrierGroup,
    firstId: number
  ) {
    this._requestId = firstId
  }

  /** Resolves to true when all that was committed before this call is applied here, to false when none can tell. */
  public pass (): Promise<boolean> {
    if (this._current === undefined) return this._begin(makeRound())
    this._next ??= makeRound()
    return this._next.promise
  }

  /**
   * Answers a follower's question.
   * @param from The follower.
   * @param id Its number for the question.
   */
  public async answer (from: ReplicaId, id: number): Promise<void> {
    const index = await this._group.read()
    this._group.send(from, { type: 'readIndexReply', id, ...(index === undefined ? {} : { index }) })
  }

  /**
   * Takes the leader's answer.
   * @param id Number of the question.
   * @param index Confirmed index, or undefined when it could not be confirmed.
   */
  public take (id: number, index: number | undefined): void {
    if (id === this._requestId && this._current !== undefined) this._confirmed(this._current, index)
  }

  /** Lets callers go on whose index is applied by now. */
  public applied (): void {
    const round = this._current
    if (round?.index !== undefined && this._group.applied() >= round.index) this._finish(round, true)
  }

  /** Gives up what waits. */
  public dispose (): void {
    this._next?.settle(false)
    this._next = undefined
    if (this._current !== undefined) this._finish(this._current, false)
  }

  private _begin (round: Round): Promise<boolean> {
    this._current = round
    this._requestId++
    round.timer = setTimeout(() => this._finish(round, false), READ_TIMEOUT_MS)
    const leader = this._group.leader()
    if (leader === this._group.id) this._group.read().then(index => this._confirmed(round, index), () => {})
    else if (leader === undefined) this._finish(round, false)
    else this._group.send(leader, { type: 'readIndex', id: this._requestId })
    return round.promise
  }

  private _confirmed (round: Round, index: number | undefined): void {
    if (this._current !== round) return
    if (index === undefined) return this._finish(round, false)
    round.index = index
    this.applied()
  }

  private _finish (round: Round, confirmed: boolean): void {
    if (this._current !== round) return
    clearTimeout(round.timer)
    const next = this._next
    this._current = undefined
    this._next = undefined
    round.settle(confirmed)
    if (next !== undefined) this._begin(next).catch(() => {})
  }
}

function makeRound (): Round {
  let settle: (confirmed: boolean) => void = () => {}
  const promise = new Promise<boolean>(resolve => { settle = resolve })
  return { promise, settle, index: undefined, timer: undefined }
}
