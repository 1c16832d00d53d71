import type { FrameChannel } from '../../runtime/FrameChannel.js'
import { FrameClient } from '../../runtime/FrameClient.js'
import { Emitter } from '../../runtime/Emitter.js'
import type { Clock, Disposable } from '../../runtime/Types.js'
import type { Incarnation, LoadEvidence, Random } from '../../parts/Types.js'
import {
  MAX_BODY_CHUNK_BYTES, DEFAULT_RETRY_AFTER_MS, IDLE_CHECK_AFTER_MS, IDLE_CHECK_TIMEOUT_MS
} from '../Constants.js'
import type { CallHandle, CallRequest, CallListener, CallTarget } from '../Types.js'
import type { PeerHello, SharedFrame, ToIngressSide, ToUpstreamSide } from './Types.js'

/** Counters of a link. */
export interface LinkCounters {
  /** Frames of answers that matched no call in flight. */
  readonly droppedAnswers: number
  /** Bytes of heartbeat pings sent. */
  readonly measuredBytes: number
  readonly inFlight: number
}

/** Timing of a link's liveness check, in milliseconds. */
export interface PeerLinkOptions {
  /** Interval of pings from the first call until the last answer or the loss of the connection. */
  readonly heartbeatMs: number
  /** Time without any frame after which the connection is closed as lost. */
  readonly timeoutMs: number
}

type Channel = FrameChannel<ToIngressSide, ToUpstreamSide>

interface PendingCall {
  readonly request: CallRequest
  readonly listener: CallListener
  headSeen: boolean
}

type Handlers = { [Type in ToIngressSide['type']]: (frame: Extract<ToIngressSide, { type: Type }>) => void }

const NO_BYTES = new Uint8Array(0)

/** Heartbeat intervals between two liveness checks after which this process counts as starved. */
const LATE_CHECK_INTERVALS = 2

/**
 * The ingress side's connection to one other node, over which calls are sent. An answer is accepted only if its call id
 * and incarnation match a call in flight on the same connection; others are dropped and counted. Memory: one entry for
 * each call in flight.
 */
export class PeerLink implements CallTarget, Disposable {
  private readonly _pendingCalls = new Map<number, PendingCall>()
  private readonly _client: FrameClient<ToIngressSide, ToUpstreamSide>
  private readonly _sharedFrames = new Emitter<SharedFrame>()
  private readonly _evidence = new Emitter<LoadEvidence>()
  private readonly _stateChanges = new Emitter<boolean>()
  private readonly _handlers: Handlers
  private _heartbeat: NodeJS.Timeout | undefined
  /** When the last liveness check ran, in monotonic milliseconds. */
  private _checkedAtMs = 0
  /** Silence counts from here on: before, nothing was expected, or this process itself did not run in time. */
  private _attentiveSinceMs = 0
  private _lastSequence = 0
  private _pongWaiters = new Map<number, () => void>()
  private _droppedAnswers = 0
  private _measuredBytes = 0

  /**
   * @param address Peer listener of the other node, `host:port`.
   * @param _hello Builds the first frame of each connection.
   * @param _incarnation Incarnation of this process; answers to calls of an earlier run are dropped.
   * @param _mayPing Returns whether the budget for control traffic allows one more heartbeat, and charges it.
   */
  public constructor (
    public readonly address: string,
    private readonly _hello: () => PeerHello,
    private readonly _incarnation: Incarnation,
    private readonly _options: PeerLinkOptions,
    private readonly _clock: Clock,
    random: Random,
    private readonly _mayPing: () => boolean
  ) {
    this._client = new FrameClient(address, _clock, random)
    this._handlers = this._buildHandlers()
    this._client.onChannel(channel => this._onOpen(channel))
    this._client.onDisconnect(reason => this._onLoss(reason))
  }

  /** Fires with frames that belong to no call. */
  public readonly onSharedFrame = this._sharedFrames.event

  /** Fires with the load evidence that answers a probe. */
  public readonly onEvidence = this._evidence.event

  /** Fires with true when the link opens and with false when it is lost. */
  public readonly onStateChange = this._stateChanges.event

  /** Starts to connect; the link reconnects by itself after a loss. */
  public connect (): void {
    this._client.start()
  }

  /** True while the link is connected. */
  public get isOpen (): boolean {
    return this._client.channel !== undefined
  }

  /** Counters since the start, and the number of calls in flight. */
  public get counters (): LinkCounters {
    return {
      droppedAnswers: this._droppedAnswers,
      measuredBytes: this._measuredBytes,
      inFlight: this._pendingCalls.size
    }
  }

  /** Sends a call. Without a connection it is refused as not run. */
  public start (request: CallRequest, listener: CallListener): CallHandle {
    const channel = this._client.channel
    if (channel === undefined) return this._refuseUnsent(listener)
    if (request.kind === 'guarded' && this._isIdle(channel)) return this._startAfterIdleCheck(channel, request, listener)
    return this._sendOn(channel, request, listener)
  }

  /** Requests the load evidence of the other node. */
  public probe (service: string): void {
    this.send({ type: 'probe', service })
  }

  /** Sends a frame; it is dropped while there is no connection. */
  public send (frame: ToUpstreamSide): void {
    this._client.channel?.send(frame)
  }

  /** Closes the link; calls in flight fail as after a lost connection. */
  public dispose (): void {
    this._client.dispose()
    this._stopHeartbeat()
  }

  private _sendOn (channel: Channel, request: CallRequest, listener: CallListener): CallHandle {
    const { id } = request
    this._pendingCalls.set(id, { request, listener, headSeen: false })
    this._sendCall(channel, request)
    this._startHeartbeat()
    return {
      cancel: () => { if (this._pendingCalls.delete(id)) this.send({ type: 'cancel', id }) },
      grant: bytes => { if (this._pendingCalls.has(id)) this.send({ type: 'credit', id, bytes }) }
    }
  }

  // On a connection that was lost unnoticed the outcome of an at-most-once call would be unknown, so an idle connection
  // is checked with a ping first.
  private _startAfterIdleCheck (channel: Channel, request: CallRequest, listener: CallListener): CallHandle {
    let handle: CallHandle | undefined
    let cancelled = false
    const sequence = ++this._lastSequence
    const timer = setTimeout(() => {
      this._pongWaiters.delete(sequence)
      if (!cancelled) this._refuseUnsent(listener)
      channel.destroy('no reply to the ping of an idle connection')
    }, IDLE_CHECK_TIMEOUT_MS)
    this._pongWaiters.set(sequence, () => {
      clearTimeout(timer)
      if (!cancelled) handle = this._sendOn(channel, request, listener)
    })
    this.send({ type: 'ping', sequence })
    return {
      cancel: () => {
        cancelled = true
        handle?.cancel()
      },
      grant: bytes => handle?.grant(bytes)
    }
  }

  private _sendCall (channel: Channel, request: CallRequest): void {
    if (request.body.length <= MAX_BODY_CHUNK_BYTES) {
      channel.send({ type: 'call', request, pieces: 0 })
      return
    }
    const pieces = Math.ceil(request.body.length / MAX_BODY_CHUNK_BYTES)
    channel.send({ type: 'call', request: { ...request, body: NO_BYTES }, pieces })
    for (let offset = 0; offset < request.body.length; offset += MAX_BODY_CHUNK_BYTES) {
      channel.send({ type: 'callBody', id: request.id, bytes: request.body.subarray(offset, offset + MAX_BODY_CHUNK_BYTES) })
    }
  }

  private _refuseUnsent (listener: CallListener): CallHandle {
    const refusal = { disposition: 'not-run', reason: 'peer-lost', retryAfterMs: DEFAULT_RETRY_AFTER_MS } as const
    queueMicrotask(() => listener.onRefused(refusal, undefined))
    return { cancel: () => {}, grant: () => {} }
  }

  private _isIdle (channel: Channel): boolean {
    return this._clock.nowMs() - channel.lastReceivedMs > IDLE_CHECK_AFTER_MS
  }

  private _onOpen (channel: Channel): void {
    channel.onMessage(frame => {
      const handler = this._handlers[frame.type] as ((frame: ToIngressSide) => void) | undefined
      handler?.(frame)
    })
    channel.send(this._hello())
    this._stateChanges.fire(true)
  }

  private _buildHandlers (): Handlers {
    const forward = (frame: SharedFrame): void => this._sharedFrames.fire(frame)
    return {
      peerHello: forward,
      peerVersion: forward,
      askCopy: forward,
      copy: forward,
      crashReport: forward,
      ping: frame => this.send({ type: 'pong', sequence: frame.sequence }),
      pong: frame => this._onPong(frame.sequence),
      evidence: frame => this._evidence.fire(frame.evidence),
      answer: frame => this._finish(frame)?.listener.onAnswer(frame.head, frame.body, frame.evidence),
      refused: frame => this._finish(frame)?.listener.onRefused(frame.refusal, frame.evidence),
      end: frame => this._finish(frame)?.listener.onEnd(),
      abort: frame => this._finish(frame)?.listener.onAbort(frame.reason),
      body: frame => this._find(frame)?.listener.onBody(frame.bytes),
      head: frame => {
        const pendingCall = this._find(frame)
        if (pendingCall === undefined) return
        pendingCall.headSeen = true
        pendingCall.listener.onHead(frame.head, frame.evidence)
      }
    }
  }

  private _find (frame: { readonly id: number, readonly from: Incarnation }): PendingCall | undefined {
    const pendingCall = frame.from === this._incarnation ? this._pendingCalls.get(frame.id) : undefined
    if (pendingCall === undefined) this._droppedAnswers++
    return pendingCall
  }

  private _finish (frame: { readonly id: number, readonly from: Incarnation }): PendingCall | undefined {
    const pendingCall = this._find(frame)
    if (pendingCall !== undefined) this._pendingCalls.delete(frame.id)
    if (this._pendingCalls.size === 0) this._stopHeartbeat()
    return pendingCall
  }

  private _onLoss (reason: string): void {
    this._stopHeartbeat()
    const lost = [...this._pendingCalls.values()]
    this._pendingCalls.clear()
    for (const { listener, headSeen } of lost) {
      if (headSeen) listener.onAbort(reason)
      else listener.onRefused({ disposition: 'unknown', reason: 'peer-lost', retryAfterMs: DEFAULT_RETRY_AFTER_MS }, undefined)
    }
    this._stateChanges.fire(false)
  }

  private _startHeartbeat (): void {
    if (this._heartbeat !== undefined) return
    this._checkedAtMs = this._clock.nowMs()
    this._attentiveSinceMs = this._checkedAtMs
    this._heartbeat = setInterval(() => this._checkLiveness(), this._options.heartbeatMs)
  }

  private _stopHeartbeat (): void {
    clearInterval(this._heartbeat)
    this._heartbeat = undefined
  }

  private _checkLiveness (): void {
    const channel = this._client.channel
    if (channel === undefined) return
    const nowMs = this._clock.nowMs()
    // Frames that arrived while this process was paused or starved have not been read yet.
    if (nowMs - this._checkedAtMs > LATE_CHECK_INTERVALS * this._options.heartbeatMs) this._attentiveSinceMs = nowMs
    this._checkedAtMs = nowMs
    const silentMs = nowMs - Math.max(channel.lastReceivedMs, this._attentiveSinceMs)
    if (silentMs > this._options.timeoutMs) {
      channel.destroy('no frame received within the peer timeout')
      return
    }
    if (silentMs < this._options.heartbeatMs || !this._mayPing()) return
    const before = channel.bytes.sent
    channel.send({ type: 'ping', sequence: ++this._lastSequence })
    this._measuredBytes += channel.bytes.sent - before
  }

  private _onPong (sequence: number): void {
    const waiter = this._pongWaiters.get(sequence)
    this._pongWaiters.delete(sequence)
    waiter?.()
  }
}
