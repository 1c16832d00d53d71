import type { CallId, NodeId, Random } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import type { FrameChannel } from '../runtime/FrameChannel.js'
import { FrameClient } from '../runtime/FrameClient.js'
import type { Clock, Disposable } from '../runtime/Types.js'
import { LINK_PING_MS, LINK_SILENCE_MS } from './Constants.js'
import type { FromInstanceNode, RoutedCall, RoutedCallHandle, RoutedCallSink, RoutedCallTarget, ToInstanceNode } from './Types.js'

type Channel = FrameChannel<FromInstanceNode, ToInstanceNode>

type Handlers = {
  readonly [Type in FromInstanceNode['type']]: (frame: Extract<FromInstanceNode, { type: Type }>) => void
}

/**
 * A connection to another node, for calls to its instance. Answers are matched by call id within one connection, so
 * a late one from before a reconnect meets no call. A link that goes silent while calls are out is closed: those
 * calls may have run.
 *
 * Memory: one entry for each call that is out.
 */
export class CallLink implements RoutedCallTarget, Disposable {
  private readonly _client: FrameClient<FromInstanceNode, ToInstanceNode>
  private readonly _sinks = new Map<CallId, RoutedCallSink>()
  private readonly _opens = new Emitter<void>()
  private readonly _stops = new Emitter<void>()
  private readonly _silences = new Emitter<void>()
  private readonly _returns = new Emitter<void>()
  private _isSilent = false
  private _timer: NodeJS.Timeout | undefined
  /** When the first ping that nothing has followed was sent; infinite when none is open. */
  private _pingedAtMs = Infinity

  private readonly _handlers: Handlers = {
    answer: ({ id, answer, load }) => this._take(id)?.onAnswer(answer, load),
    turnedAway: ({ id, reason, retryAfterMs, load }) => this._take(id)?.onTurnedAway(reason, retryAfterMs, load),
    failed: ({ id, proof, reason, load }) => this._take(id)?.onFailed(proof, reason, load),
    stopping: () => this._stops.fire(),
    pong: () => {}
  }

  /**
   * @param node The other node, which is also its address.
   * @param _self This node.
   */
  public constructor (
    public readonly node: NodeId,
    private readonly _self: NodeId,
    private readonly _clock: Clock,
    random: Random
  ) {
    this._client = new FrameClient(node, _clock, random)
    this._client.onChannel(channel => this._open(channel))
    this._client.onLoss(() => this._lose())
  }

  /** Fires when the connection has opened. */
  public readonly onOpen = this._opens.event

  /** Fires when the other node says that it stops. */
  public readonly onStopping = this._stops.event

  /** Fires when a ping has no answer yet: new calls should go elsewhere, those that are out may still end. */
  public readonly onSilence = this._silences.event

  /** Fires when something was heard again after `onSilence`. */
  public readonly onReturn = this._returns.event

  /** True while a call can be sent. */
  public get isOpen (): boolean {
    return this._client.channel !== undefined
  }

  /** Starts to connect. */
  public connect (): void {
    this._client.start()
  }

  /** Sends a call; without a connection it fails at once as unsent. */
  public start (call: RoutedCall, sink: RoutedCallSink): RoutedCallHandle {
    const { channel } = this._client
    if (channel === undefined) {
      sink.onFailed('unsent', 'link-lost', undefined)
      return { cancel: () => {} }
    }
    this._sinks.set(call.id, sink)
    channel.send({ type: 'call', call })
    this._timer ??= setInterval(() => this._watch(), LINK_PING_MS)
    return {
      cancel: () => {
        if (this._sinks.delete(call.id)) channel.send({ type: 'cancel', id: call.id })
      }
    }
  }

  /** Ends the link; calls that are out fail as unknown. */
  public dispose (): void {
    clearInterval(this._timer)
    this._client.dispose()
    this._lose()
  }

  private _open (channel: Channel): void {
    this._pingedAtMs = Infinity
    this._isSilent = false
    channel.onMessage(frame => {
      this._setSilent(false)
      const handler = this._handlers[frame.type] as ((frame: FromInstanceNode) => void) | undefined
      handler?.(frame)
    })
    channel.send({ type: 'callHello', node: this._self })
    this._opens.fire()
  }

  private _take (id: CallId): RoutedCallSink | undefined {
    const sink = this._sinks.get(id)
    this._sinks.delete(id)
    return sink
  }

  private _watch (): void {
    const { channel } = this._client
    if (channel === undefined || this._sinks.size === 0) {
      clearInterval(this._timer)
      this._timer = undefined
      return
    }
    const nowMs = this._clock.nowMs()
    if (channel.lastReceivedMs >= this._pingedAtMs) this._pingedAtMs = Infinity
    if (nowMs - this._pingedAtMs >= LINK_PING_MS) this._setSilent(true)
    if (nowMs - this._pingedAtMs > LINK_SILENCE_MS) channel.destroy('no answer to pings')
    else if (nowMs - channel.lastReceivedMs >= LINK_PING_MS) this._ping(channel, nowMs)
  }

  private _setSilent (isSilent: boolean): void {
    if (isSilent === this._isSilent) return
    this._isSilent = isSilent
    if (isSilent) this._silences.fire()
    else this._returns.fire()
  }

  private _ping (channel: Channel, nowMs: number): void {
    this._pingedAtMs = Math.min(this._pingedAtMs, nowMs)
    channel.send({ type: 'ping' })
  }

  private _lose (): void {
    const lost = [...this._sinks.values()]
    this._sinks.clear()
    for (const sink of lost) sink.onFailed('unknown', 'link-lost', undefined)
  }
}
