import type { CallId, NodeId, Random } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import type { FrameChannel } from '../runtime/FrameChannel.js'
import { FrameClient } from '../runtime/FrameClient.js'
import type { Clock, Disposable } from '../runtime/Types.js'
import { LINK_OPEN_WAIT_MS, LINK_PING_INTERVAL_MS, LINK_TIMEOUT_MS } from './Constants.js'
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

/**
 * Connection to another node for calls to its instance. Answers are matched by call id within one connection, so an
 * answer from before a reconnect matches no call. A link that times out while calls are outstanding is closed; those
 * calls may have run. Calls that are started while the first connection opens wait for it for a short time.
 *
 * Memory: one entry for each outstanding or waiting call.
 */
export class CallLink implements RoutedCallTarget, Disposable {
  private readonly _client: FrameClient<CallServerFrame, CallClientFrame>
  private readonly _listeners = new Map<CallId, RoutedCallListener>()
  private readonly _waitingCalls = new Map<CallId, WaitingCall>()
  private _waitTimer: NodeJS.Timeout | undefined
  private readonly _openEmitter = new Emitter<void>()
  private readonly _stoppingEmitter = new Emitter<void>()
  private readonly _unresponsiveEmitter = new Emitter<void>()
  private readonly _responsiveEmitter = new Emitter<void>()
  private _isUnresponsive = false
  private _isRetired = false
  private _pingTimer: NodeJS.Timeout | undefined
  /** When the first ping was sent after which nothing was received, in monotonic milliseconds; Infinity if none. */
  private _unansweredPingAtMs = Infinity

  private readonly _handlers: Handlers = {
    answer: ({ id, answer, load }) => this._takeListener(id)?.onAnswer(answer, load),
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
    random: Random
  ) {
    this._client = new FrameClient(node, _clock, random)
    this._client.onChannel(channel => this._onChannel(channel))
    this._client.onDisconnect(() => {
      this._failWaiting()
      this._failOutstanding()
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
    return { cancel: () => this._cancel(call.id) }
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
    this._failOutstanding()
  }

  private _onChannel (channel: Channel): void {
    this._unansweredPingAtMs = Infinity
    this._isUnresponsive = false
    channel.onMessage(frame => {
      this._setUnresponsive(false)
      const handler = this._handlers[frame.type] as ((frame: CallServerFrame) => void) | undefined
      handler?.(frame)
    })
    channel.send({ type: 'callHello', node: this._self })
    this._openEmitter.fire()
    this._sendWaiting(channel)
  }

  private _send (channel: Channel, call: RoutedCall, listener: RoutedCallListener): void {
    this._listeners.set(call.id, listener)
    channel.send({ type: 'call', call })
    this._pingTimer ??= setInterval(() => this._checkLiveness(), LINK_PING_INTERVAL_MS)
  }

  private _cancel (id: CallId): void {
    if (this._listeners.delete(id)) this._client.channel?.send({ type: 'cancel', id })
    this._waitingCalls.delete(id)
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
    this._disposeIfRetired()
    return listener
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

  private _failOutstanding (): void {
    const outstanding = [...this._listeners.values()]
    this._listeners.clear()
    for (const listener of outstanding) listener.onFailed('unknown', 'link-lost', undefined)
  }
}
