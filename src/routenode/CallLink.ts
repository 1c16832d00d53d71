import type { BodyLease } from '../parts/transfer/BodyMemory.js'
import type { CallId, NodeId, Random } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import type { FrameChannel } from '../runtime/FrameChannel.js'
import { FrameClient } from '../runtime/FrameClient.js'
import type { Clock, Disposable } from '../runtime/Types.js'
import { type BodyResources, BodyTransfer, makeDefaultBodyResources } from './BodyTransfer.js'
import { LINK_OPEN_WAIT_MS, LINK_PING_INTERVAL_MS, LINK_TIMEOUT_MS, MAX_INLINE_BODY_BYTES } from './Constants.js'
import { isOutcomeFrame } from './FrameChecks.js'
import type {
  CallClientFrame, CallServerFrame, RoutedCall, RoutedCallHandle, RoutedCallListener, RoutedCallTarget
} from './Types.js'

type Channel = FrameChannel<CallServerFrame, CallClientFrame>

type Handlers = {
  readonly [Type in CallServerFrame['type']]: (frame: Extract<CallServerFrame, { type: Type }>) => void
}

/** A call that waits for the first connection. */
interface WaitingCall {
  readonly call: RoutedCall
  readonly listener: RoutedCallListener
  readonly sinceMs: number
}

/** Body of an outstanding call that is sent once the call has a slot. */
interface Upload {
  readonly body: Uint8Array
  /** True once the last chunk was passed to the connection: from then on the call may run. */
  isSent: boolean
}

/** What a link lost with its connection. */
export interface LinkLoss {
  /** Why the connection has closed. */
  readonly reason: string
  /** Ids of the requests whose calls were outstanding: at most `MAX_LISTED_REQUESTS`. */
  readonly requests: readonly string[]
  readonly calls: number
  /** Time since anything was received, and since the first ping after that, in milliseconds; absent without a ping. */
  readonly silentMs: number
  readonly unansweredPingMs?: number
}

/** Delay of a liveness check from which this process may have been paused, in milliseconds. */
const LATE_CHECK_MS = LINK_PING_INTERVAL_MS / 2

/** Requests that are listed when a link is lost. */
const MAX_LISTED_REQUESTS = 10

const NO_BYTES = new Uint8Array(0)

/** Frames that end a call. */
const OUTCOME_TYPES: ReadonlySet<unknown> = new Set<CallServerFrame['type']>(['answer', 'turnedAway', 'failed'])

/**
 * Connection to another node for calls to its instance. Answers are matched by call id within one connection, so an
 * answer from before a reconnect matches no call. A link that times out while calls are outstanding is closed; those
 * calls may have run, except uploads whose body was not sent completely. Calls that are started while the first
 * connection opens wait for it for a short time.
 *
 * The body of an upload, and any that is too large for a frame, is sent when the other node asks for it, in chunks, and
 * a large answer to an upload is received so.
 *
 * Memory: one entry for each outstanding or waiting call, the bodies of uploads among them.
 */
export class CallLink implements RoutedCallTarget, Disposable {
  private readonly _client: FrameClient<CallServerFrame, CallClientFrame>
  private readonly _listeners = new Map<CallId, RoutedCallListener>()
  private readonly _requestIds = new Map<CallId, string>()
  private readonly _waitingCalls = new Map<CallId, WaitingCall>()
  private readonly _uploads = new Map<CallId, Upload>()
  /** Memory of the answers that are being received. */
  private readonly _answerLeases = new Map<CallId, BodyLease>()
  /** Channel of the newest connection. */
  private _channel: Channel | undefined
  /** Transfers of bodies on the open connection. */
  private _transfer: BodyTransfer | undefined
  private _waitTimer: NodeJS.Timeout | undefined
  private readonly _openEmitter = new Emitter<void>()
  private readonly _stoppingEmitter = new Emitter<void>()
  private readonly _unresponsiveEmitter = new Emitter<void>()
  private readonly _responsiveEmitter = new Emitter<void>()
  private readonly _lossEmitter = new Emitter<LinkLoss>()
  private _isUnresponsive = false
  private _isRetired = false
  private _pingTimer: NodeJS.Timeout | undefined
  /**
   * When the first ping was sent after which nothing was received, plus the time for which this process was paused
   * since, in monotonic milliseconds; Infinity if none.
   */
  private _unansweredPingAtMs = Infinity
  /** When the liveness was checked last. */
  private _checkedAtMs = 0

  private readonly _handlers: Handlers = {
    answer: frame => this._onAnswer(frame),
    sendBody: ({ id }) => this._sendBody(id),
    bodyChunk: frame => this._transfer?.handle(frame),
    chunkAck: frame => this._transfer?.handle(frame),
    turnedAway: ({ id, reason, retryAfterMs, load }) => this._takeListener(id)?.onDeclined(reason, retryAfterMs, load),
    failed: ({ id, proof, reason, load }) => this._takeListener(id)?.onFailed(proof, reason, load),
    stopping: () => this._stoppingEmitter.fire(),
    pong: () => {}
  }

  /**
   * @param node Name of the other node, which is also its address, `host:port`.
   * @param _self Name of this node.
   */
  public constructor (
    public readonly node: NodeId,
    private readonly _self: NodeId,
    private readonly _clock: Clock,
    random: Random,
    private readonly _bodies: BodyResources = makeDefaultBodyResources()
  ) {
    this._client = new FrameClient(node, _clock, random)
    this._client.onChannel(channel => this._onChannel(channel))
    this._client.onDisconnect(reason => {
      this._failWaiting()
      this._failOutstanding(reason)
      this._disposeIfRetired()
    })
  }

  /** Fires when a connection has opened. */
  public readonly onOpen = this._openEmitter.event

  /** Fires when the other node announces that it is shutting down. */
  public readonly onStopping = this._stoppingEmitter.event

  /** Fires when a ping goes unanswered: new calls should go to other nodes, outstanding ones may still end. */
  public readonly onUnresponsive = this._unresponsiveEmitter.event

  /** Fires when something is received again after `onUnresponsive`. */
  public readonly onResponsive = this._responsiveEmitter.event

  /** Fires when the connection has closed while calls were outstanding, before they fail. */
  public readonly onLost = this._lossEmitter.event

  /** True while a call can be sent. */
  public get isOpen (): boolean {
    return this._client.channel !== undefined
  }

  /** When anything was last received, in monotonic milliseconds; undefined without a connection. */
  public get lastReceivedMs (): number | undefined {
    return this._client.channel?.lastReceivedMs
  }

  /** Asks the other node for a sign of life, also when no call is outstanding. */
  public probe (): void {
    this._client.channel?.send({ type: 'ping' })
  }

  /** Starts to connect; may be called once. */
  public connect (): void {
    this._waitTimer = setTimeout(() => this._failWaiting(), LINK_OPEN_WAIT_MS)
    this._client.start()
  }

  /** Sends a call. Without a connection it fails as `unsent`; while the first one opens, after a short wait. */
  public start (call: RoutedCall, listener: RoutedCallListener): RoutedCallHandle {
    const { channel } = this._client
    if (channel !== undefined) this._send(channel, call, listener)
    else if (this._waitTimer === undefined) listener.onFailed('unsent', 'link-lost', undefined)
    else this._waitingCalls.set(call.id, { call, listener, sinceMs: this._clock.nowMs() })
    const handle = { cancel: () => this._cancel(call.id) }
    return isTransferred(call) ? { ...handle, isUnsent: () => this._isUnsent(call.id) } : handle
  }

  /** Closes the link once its outstanding calls have ended; no more are started. */
  public retire (): void {
    this._isRetired = true
    this._disposeIfRetired()
  }

  /** Closes the link; outstanding calls fail as `unknown`. */
  public dispose (): void {
    clearInterval(this._pingTimer)
    this._client.dispose()
    this._failWaiting()
    this._failOutstanding('closed by this node')
  }

  private _onChannel (channel: Channel): void {
    this._channel = channel
    this._unansweredPingAtMs = Infinity
    this._isUnresponsive = false
    channel.onMessage(frame => {
      this._setUnresponsive(false)
      if (OUTCOME_TYPES.has(frame.type) && !isOutcomeFrame(frame)) return this._failMalformed(frame)
      const handler = this._handlers[frame.type] as ((frame: CallServerFrame) => void) | undefined
      handler?.(frame)
    })
    this._transfer = new BodyTransfer(frame => { channel.send(frame) }, this._clock, this._bodies.metrics)
    channel.send({ type: 'callHello', node: this._self })
    this._openEmitter.fire()
    this._sendWaiting(channel)
  }

  private _send (channel: Channel, call: RoutedCall, listener: RoutedCallListener): void {
    this._listeners.set(call.id, listener)
    this._requestIds.set(call.id, call.requestId)
    if (isTransferred(call)) {
      this._uploads.set(call.id, { body: call.body, isSent: false })
      channel.send({ type: 'call', call: { ...call, body: NO_BYTES, bodyBytes: call.body.length } })
    } else channel.send({ type: 'call', call })
    this._startPings()
  }

  private _startPings (): void {
    if (this._pingTimer !== undefined) return
    this._checkedAtMs = this._clock.nowMs()
    this._pingTimer = setInterval(() => this._checkLiveness(), LINK_PING_INTERVAL_MS)
  }

  /** The call may have run. */
  private _failMalformed (frame: CallServerFrame): void {
    const { id } = frame as Partial<Extract<CallServerFrame, { type: 'failed' }>>
    if (id !== undefined) this._takeListener(id)?.onFailed('unknown', 'answer-invalid', undefined)
  }

  private _cancel (id: CallId): void {
    if (this._listeners.delete(id)) this._client.channel?.send({ type: 'cancel', id })
    this._waitingCalls.delete(id)
    this._endTransfers(id)
    this._disposeIfRetired()
  }

  private _sendWaiting (channel: Channel): void {
    const nowMs = this._clock.nowMs()
    for (const { call, listener, sinceMs } of this._endWaiting()) {
      const waitedMs = Math.ceil(nowMs - sinceMs)
      const leftMs = Math.max(1, call.leftMs - waitedMs)
      this._send(channel, { ...call, leftMs, objectiveLeftMs: call.objectiveLeftMs - waitedMs }, listener)
    }
  }

  private _failWaiting (): void {
    for (const { listener } of this._endWaiting()) listener.onFailed('unsent', 'link-lost', undefined)
  }

  private _endWaiting (): WaitingCall[] {
    clearTimeout(this._waitTimer)
    this._waitTimer = undefined
    const waiting = [...this._waitingCalls.values()]
    this._waitingCalls.clear()
    return waiting
  }

  private _takeListener (id: CallId): RoutedCallListener | undefined {
    const listener = this._listeners.get(id)
    this._listeners.delete(id)
    this._endTransfers(id)
    this._disposeIfRetired()
    return listener
  }

  private _isUnsent (id: CallId): boolean {
    return this._waitingCalls.has(id) || this._uploads.get(id)?.isSent === false
  }

  private _sendBody (id: CallId): void {
    const upload = this._uploads.get(id)
    if (upload !== undefined) this._transfer?.sendBody(id, upload.body, () => { upload.isSent = true })
  }

  private _onAnswer ({ id, answer, bodyBytes, load }: Extract<CallServerFrame, { type: 'answer' }>): void {
    if (bodyBytes === undefined) return this._takeListener(id)?.onAnswer(answer, load)
    if (!this._listeners.has(id)) return
    // The call has run: its answer is received even if its memory exceeds the bound.
    const lease = this._bodies.memory.lease()
    lease.grow(bodyBytes)
    this._answerLeases.set(id, lease)
    this._transfer?.expectBody(id, bodyBytes, {
      onWhole: body => this._takeListener(id)?.onAnswer({ ...answer, body }, load)
    })
  }

  private _endTransfers (id: CallId): void {
    this._requestIds.delete(id)
    this._uploads.delete(id)
    this._transfer?.drop(id)
    this._answerLeases.get(id)?.release()
    this._answerLeases.delete(id)
  }

  private _disposeIfRetired (): void {
    if (this._isRetired && this._listeners.size + this._waitingCalls.size === 0) this.dispose()
  }

  private _checkLiveness (): void {
    const { channel } = this._client
    if (channel === undefined || this._listeners.size === 0) {
      clearInterval(this._pingTimer)
      this._pingTimer = undefined
      return
    }
    const nowMs = this._clock.nowMs()
    const lateMs = Math.max(0, nowMs - this._checkedAtMs - LINK_PING_INTERVAL_MS)
    if (channel.lastReceivedMs >= this._unansweredPingAtMs) this._unansweredPingAtMs = Infinity
    this._unansweredPingAtMs += lateMs
    this._checkedAtMs = nowMs
    if (lateMs < LATE_CHECK_MS) return this._judgeSilence(channel, nowMs)
    // What arrived while this process was paused or starved is read in the next turns of the event loop.
    setImmediate(() => setImmediate(() => {
      if (this._client.channel === channel) this._judgeSilence(channel, this._clock.nowMs())
    }))
  }

  private _judgeSilence (channel: Channel, nowMs: number): void {
    if (channel.lastReceivedMs >= this._unansweredPingAtMs) this._unansweredPingAtMs = Infinity
    if (nowMs - this._unansweredPingAtMs >= LINK_PING_INTERVAL_MS) this._setUnresponsive(true)
    if (nowMs - this._unansweredPingAtMs > LINK_TIMEOUT_MS) channel.destroy('pings went unanswered')
    else if (nowMs - channel.lastReceivedMs >= LINK_PING_INTERVAL_MS) this._ping(channel, nowMs)
  }

  private _setUnresponsive (isUnresponsive: boolean): void {
    if (isUnresponsive === this._isUnresponsive) return
    this._isUnresponsive = isUnresponsive
    if (!isUnresponsive) return this._responsiveEmitter.fire()
    this._unresponsiveEmitter.fire()
    for (const listener of [...this._listeners.values()]) listener.onUnresponsive?.()
  }

  private _ping (channel: Channel, nowMs: number): void {
    this._unansweredPingAtMs = Math.min(this._unansweredPingAtMs, nowMs)
    channel.send({ type: 'ping' })
  }

  private _reportLoss (reason: string): void {
    const calls = this._listeners.size
    if (calls === 0) return
    const nowMs = this._clock.nowMs()
    const silentMs = Math.round(nowMs - (this._channel?.lastReceivedMs ?? nowMs))
    const hasPing = this._unansweredPingAtMs !== Infinity
    const unansweredPingMs = Math.round(nowMs - this._unansweredPingAtMs)
    const requests = [...this._requestIds.values()].slice(0, MAX_LISTED_REQUESTS)
    this._lossEmitter.fire({ reason, requests, calls, silentMs, ...(hasPing ? { unansweredPingMs } : {}) })
  }

  private _failOutstanding (reason: string): void {
    this._reportLoss(reason)
    this._transfer?.dispose()
    this._transfer = undefined
    const outstanding = [...this._listeners].map(([id, listener]) => ({ listener, isUnsent: this._isUnsent(id) }))
    for (const id of this._listeners.keys()) this._endTransfers(id)
    this._listeners.clear()
    for (const { listener, isUnsent } of outstanding) {
      listener.onFailed(isUnsent ? 'unsent' : 'unknown', 'link-lost', undefined)
    }
  }
}

/** Returns whether the body of a call is sent apart from it, once it has a slot. */
function isTransferred ({ kind, body }: RoutedCall): boolean {
  return body.length > (kind === 'upload' ? 0 : MAX_INLINE_BODY_BYTES)
}
