import { RelayedCall } from '../parts/relay/RelayedCall.js'
import { ReplicaRanking } from '../parts/relay/ReplicaRanking.js'
import type { RelayAction, RelayEvent } from '../parts/relay/Types.js'
import { computeTransferMs } from '../parts/transfer/TransferTime.js'
import { type EncodedMessage, encodeMessage } from '../runtime/FrameChannel.js'
import { encodeCompressed } from '../runtime/FrameCompression.js'
import { PartTimer } from '../runtime/PartTimer.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { ASSUMED_LINK_MBPS, MAX_RELAYED_CALLS, OFFERED_BODY_BYTES } from './Constants.js'
import { RelayConnection } from './RelayConnection.js'
import type { OperatorCall, OperatorCallFrame, OperatorOfferFrame, OperatorReply, RelayOutcome } from './Types.js'

/** Dependencies of a relay. */
export interface OperatorRelayOptions {
  /** Returns the addresses of the control replicas, `host:port`, those to prefer first. */
  readonly listReplicas: () => readonly string[]
  /** Handles a call in this process, when it is a replica, under its own address. */
  readonly local?: {
    readonly address: string
    readonly execute: (call: OperatorCall) => Promise<OperatorReply>
  }
  /** Whether the link of this VM is slow: large calls are offered first, and they and large replies are compressed. */
  readonly hasSlowLink?: boolean
  /** Rate of the link of this VM in Mbit/s; undefined when it is not known. */
  readonly linkMbps?: number | undefined
  readonly clock: Clock
  readonly log: Log
}

type ActionHandlers = {
  readonly [Type in RelayAction['type']]: (action: Extract<RelayAction, { type: Type }>) => void
}

/**
 * Passes calls of operators on to the control replica that decides them, so that operators may call any node and any
 * replica. Each replica is asked on a connection of its own, since one that is kept open may have gone silent.
 */
export class OperatorRelay implements Disposable {
  private readonly _ranking = new ReplicaRanking()
  private readonly _exchanges = new Set<RelayExchange>()

  /**
   * @param _options Replicas, clock and log.
   */
  public constructor (private readonly _options: OperatorRelayOptions) {}

  /** Address of the replica that decided a call or was named as the leader last, `host:port`. */
  public get decider (): string | undefined {
    return this._ranking.leader
  }

  /** Resolves with the reply of the replica that decided a call, or with what is known when none did in time. */
  public async send (call: OperatorCall): Promise<RelayOutcome> {
    if (this._exchanges.size >= MAX_RELAYED_CALLS) return { type: 'undecided', state: 'not-run' }
    const exchange = new RelayExchange(call, this._ranking, this._options)
    this._exchanges.add(exchange)
    try {
      return await exchange.outcome
    } finally {
      this._exchanges.delete(exchange)
    }
  }

  /** Gives up on all calls. */
  public dispose (): void {
    for (const exchange of this._exchanges) exchange.dispose()
  }
}

/** One call on its way, with its connections to replicas. */
class RelayExchange implements Disposable {
  /** Resolves once. */
  public readonly outcome: Promise<RelayOutcome>
  private readonly _part: RelayedCall
  private readonly _timer: PartTimer
  private readonly _connections = new Map<string, RelayConnection>()
  /** The whole call, compressed, when it is offered first. */
  private readonly _carried: EncodedMessage | undefined
  private readonly _startedAtMs: number
  private readonly _asked: string[] = []
  /** Bytes of replies that have arrived, by replica. */
  private readonly _replyBytes = new Map<string, number>()
  private _settle: (outcome: RelayOutcome) => void = () => {}
  private _lastReply: OperatorReply | undefined
  /** Reason that a replica gave for not deciding the call. */
  private _reason: string | undefined

  private readonly _handlers: ActionHandlers = {
    ask: ({ replica, isOffer }) => this._ask(replica, isOffer),
    carry: ({ replica }) => this._connections.get(replica)?.carry(this._carried as EncodedMessage),
    drop: ({ replica }) => {
      this._connections.get(replica)?.dispose()
      this._remove(replica)
    },
    wakeAt: ({ atMs }) => this._timer.wakeAt(atMs),
    deliver: () => this._end(this._lastReply as RelayOutcome),
    giveUp: ({ state }) => this._end({
      type: 'undecided', state, ...(this._reason === undefined ? {} : { reason: this._reason })
    })
  }

  public constructor (
    private readonly _call: OperatorCall,
    ranking: ReplicaRanking,
    private readonly _options: OperatorRelayOptions
  ) {
    const { clock, hasSlowLink, linkMbps, listReplicas, local } = _options
    this._startedAtMs = clock.nowMs()
    this.outcome = new Promise(resolve => { this._settle = resolve })
    this._part = new RelayedCall(listReplicas, ranking)
    this._timer = new PartTimer(clock, () => this._wake())
    const bytes = Buffer.byteLength(_call.body)
    const isOffered = hasSlowLink === true && local === undefined && bytes >= OFFERED_BODY_BYTES
    if (isOffered) this._carried = encodeCompressed(this._callFrame)
    const plainMoveMs = computeTransferMs(bytes, linkMbps)
    const moveMs = this._carried === undefined ? plainMoveMs : computeTransferMs(this._carried.length, linkMbps)
    this._step({ type: 'start', moveMs, plainMoveMs, isOffered })
  }

  public dispose (): void {
    this._end({ type: 'undecided', state: 'unknown' })
  }

  private _step (event: RelayEvent): void {
    for (const action of this._part.step(event, this._options.clock.nowMs())) {
      const handler = this._handlers[action.type] as (action: RelayAction) => void
      handler(action)
    }
  }

  /** After a pause of this process, timers run before the bytes that have arrived meanwhile are read. */
  private _wake (): void {
    setImmediate(() => setImmediate(() => this._step({ type: 'wake' })))
  }

  private _ask (replica: string, isOffer: boolean): void {
    const { local } = this._options
    this._asked.push(replica)
    if (replica !== local?.address) return this._askRemote(replica, isOffer)
    local.execute(this._call)
      .then(reply => this._receive(replica, reply))
      .catch((error: Error) => {
        this._options.log.error({ operation: this._call.operation, error: error.message }, 'operator call failed')
        this._step({ type: 'failed', replica, wasSent: true })
      })
  }

  private _askRemote (replica: string, isOffer: boolean): void {
    const connection = new RelayConnection({ replica, frame: this._encodeQuestion(isOffer), isOffer }, {
      onWanted: () => this._step({ type: 'wanted', replica }),
      onProgress: bytes => this._noteProgress(replica, bytes),
      onReply: reply => {
        this._remove(replica)
        this._receive(replica, reply)
      },
      onFail: failure => {
        this._remove(replica)
        this._step({ type: 'failed', replica, ...failure })
      }
    }, this._options.clock, this._options.log)
    this._connections.set(replica, connection)
  }

  private _encodeQuestion (isOffer: boolean): EncodedMessage {
    const { operation, body } = this._call
    if (!isOffer) return encodeMessage(this._callFrame)
    return encodeMessage({ type: 'operatorOffer', operation, bytes: Buffer.byteLength(body) } satisfies OperatorOfferFrame)
  }

  private get _callFrame (): OperatorCallFrame {
    return { type: 'operatorCall', call: this._call, ...(this._options.hasSlowLink === true ? { compress: true } : {}) }
  }

  /** Takes a connection that has ended into account. */
  private _remove (replica: string): void {
    const bytes = this._connections.get(replica)?.receivedBytes ?? 0
    if (bytes > 0) this._replyBytes.set(replica, (this._replyBytes.get(replica) ?? 0) + bytes)
    this._connections.delete(replica)
  }

  private _noteProgress (replica: string, bytes: number): void {
    const moveMs = computeTransferMs(bytes, this._options.linkMbps ?? ASSUMED_LINK_MBPS)
    this._step({ type: 'progress', replica, moveMs })
  }

  private _receive (replica: string, reply: OperatorReply): void {
    this._lastReply = reply
    if (reply.type === 'undecided') this._reason = reply.reason
    this._step({ type: 'reply', replica, reply })
  }

  private _end (outcome: RelayOutcome): void {
    this._timer.dispose()
    for (const [replica, connection] of [...this._connections]) {
      connection.dispose()
      this._remove(replica)
    }
    const durationMs = Math.round(this._options.clock.nowMs() - this._startedAtMs)
    const { operation } = this._call
    const result = outcome.type === 'final' ? outcome.status : outcome.state
    const replyBytes = [...this._replyBytes.values()].reduce((sum, bytes) => sum + bytes, 0)
    const replies = { replyBytes, repliedFrom: [...this._replyBytes.keys()] }
    this._options.log.info({ operation, result, durationMs, asked: this._asked, ...replies }, 'operator call relayed')
    this._settle(outcome)
  }
}
