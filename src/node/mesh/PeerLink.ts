import type { FrameChannel } from '../../platform/FrameChannel.js'
import { FrameClient } from '../../platform/FrameClient.js'
import { Emitter } from '../../platform/Emitter.js'
import type { Clock, Disposable } from '../../platform/Types.js'
import type { Incarnation, LoadEvidence, Random } from '../../parts/Types.js'
import {
  BODY_PIECE_BYTES, DEFAULT_RETRY_AFTER_MS, IDLE_CHECK_MS, IDLE_CHECK_TIMEOUT_MS
} from '../Constants.js'
import type { CallHandle, CallRequest, CallSink, CallTarget } from '../Types.js'
import type { PeerHello, SharedFrame, ToIngressSide, ToUpstreamSide } from './Types.js'

/** What a link has seen so far. */
export interface LinkCounters {
  /** Answers that belonged to no call in flight. */
  readonly droppedAnswers: number
  /** Bytes spent on heartbeats. */
  readonly measuredBytes: number
  readonly inFlight: number
}

/** Limits of a link's liveness check. */
export interface PeerLinkOptions {
  /** Between pings while calls wait for an answer. */
  readonly heartbeatMs: number
  /** Silence after which the connection counts as lost. */
  readonly timeoutMs: number
}

type Channel = FrameChannel<ToIngressSide, ToUpstreamSide>

interface Exchange {
  readonly request: CallRequest
  readonly sink: CallSink
  headSeen: boolean
}

type Handlers = { [Type in ToIngressSide['type']]: (frame: Extract<ToIngressSide, { type: Type }>) => void }

const NO_BYTES = new Uint8Array(0)

/**
 * The ingress side's connection to one other node. Answers are matched by call id, by this process's
 * incarnation and by the connection that the call went out on; others are dropped and counted.
 * Holds one entry for each call in flight.
 */
export class PeerLink implements CallTarget, Disposable {
  private readonly exchanges = new Map<number, Exchange>()
  private readonly client: FrameClient<ToIngressSide, ToUpstreamSide>
  private readonly shared = new Emitter<SharedFrame>()
  private readonly reports = new Emitter<LoadEvidence>()
  private readonly states = new Emitter<boolean>()
  private readonly handlers: Handlers
  private heartbeat: NodeJS.Timeout | undefined
  private sequence = 0
  private pongs = new Map<number, () => void>()
  private droppedAnswers = 0
  private measuredBytes = 0

  /**
   * @param address Peer listener of the other node, `host:port`.
   * @param hello Sent first on each connection.
   * @param incarnation Of this process; answers to an earlier run are dropped.
   * @param mayPing Asks the measuring budget for one heartbeat.
   */
  public constructor (
    public readonly address: string,
    private readonly hello: () => PeerHello,
    private readonly incarnation: Incarnation,
    private readonly options: PeerLinkOptions,
    private readonly clock: Clock,
    random: Random,
    private readonly mayPing: () => boolean
  ) {
    this.client = new FrameClient(address, clock, random)
    this.handlers = this.buildHandlers()
    this.client.onChannel(channel => this.open(channel))
    this.client.onLoss(reason => this.handleLoss(reason))
  }

  /** Fires with frames that don't belong to a call. */
  public readonly onShared = this.shared.event

  /** Fires with evidence that answers a probe. */
  public readonly onEvidence = this.reports.event

  /** Fires with true when the link opens and with false when it is lost. */
  public readonly onState = this.states.event

  /** Starts to connect. */
  public connect (): void {
    this.client.start()
  }

  /** True while a call can be sent. */
  public get isOpen (): boolean {
    return this.client.channel !== undefined
  }

  /** Counts since the start. */
  public get counters (): LinkCounters {
    return { droppedAnswers: this.droppedAnswers, measuredBytes: this.measuredBytes, inFlight: this.exchanges.size }
  }

  /** Sends a call; without a connection it is refused at once as not run. */
  public start (request: CallRequest, sink: CallSink): CallHandle {
    const channel = this.client.channel
    if (channel === undefined) return this.refuseUnsent(sink)
    if (request.kind === 'guarded' && this.isIdle(channel)) return this.startChecked(channel, request, sink)
    return this.startOn(channel, request, sink)
  }

  /** Asks the other node for its load. */
  public probe (service: string): void {
    this.send({ type: 'probe', service })
  }

  /** Sends a frame that belongs to no call; dropped while there is no connection. */
  public send (frame: ToUpstreamSide): void {
    this.client.channel?.send(frame)
  }

  /** Ends the link; calls in flight hear that it was lost. */
  public dispose (): void {
    this.client.dispose()
    this.stopHeartbeat()
  }

  private startOn (channel: Channel, request: CallRequest, sink: CallSink): CallHandle {
    const { id } = request
    this.exchanges.set(id, { request, sink, headSeen: false })
    this.sendCall(channel, request)
    this.startHeartbeat()
    return {
      cancel: () => { if (this.exchanges.delete(id)) this.send({ type: 'cancel', id }) },
      grant: bytes => { if (this.exchanges.has(id)) this.send({ type: 'credit', id, bytes }) }
    }
  }

  // A guarded call must not go out on a connection that died in silence: its outcome would stay unknown.
  private startChecked (channel: Channel, request: CallRequest, sink: CallSink): CallHandle {
    let handle: CallHandle | undefined
    let cancelled = false
    const sequence = ++this.sequence
    const timer = setTimeout(() => {
      this.pongs.delete(sequence)
      if (!cancelled) this.refuseUnsent(sink)
      channel.destroy('no answer to an idle check')
    }, IDLE_CHECK_TIMEOUT_MS)
    this.pongs.set(sequence, () => {
      clearTimeout(timer)
      if (!cancelled) handle = this.startOn(channel, request, sink)
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

  private sendCall (channel: Channel, request: CallRequest): void {
    if (request.body.length <= BODY_PIECE_BYTES) {
      channel.send({ type: 'call', request, pieces: 0 })
      return
    }
    const pieces = Math.ceil(request.body.length / BODY_PIECE_BYTES)
    channel.send({ type: 'call', request: { ...request, body: NO_BYTES }, pieces })
    for (let at = 0; at < request.body.length; at += BODY_PIECE_BYTES) {
      channel.send({ type: 'callBody', id: request.id, bytes: request.body.subarray(at, at + BODY_PIECE_BYTES) })
    }
  }

  private refuseUnsent (sink: CallSink): CallHandle {
    const refusal = { disposition: 'not-run', reason: 'peer-lost', retryAfterMs: DEFAULT_RETRY_AFTER_MS } as const
    queueMicrotask(() => sink.onRefused(refusal, undefined))
    return { cancel: () => {}, grant: () => {} }
  }

  private isIdle (channel: Channel): boolean {
    return this.clock.nowMs() - channel.lastReceivedMs > IDLE_CHECK_MS
  }

  private open (channel: Channel): void {
    channel.onMessage(frame => {
      const handler = this.handlers[frame.type] as ((frame: ToIngressSide) => void) | undefined
      handler?.(frame)
    })
    channel.send(this.hello())
    this.states.fire(true)
  }

  private buildHandlers (): Handlers {
    const share = (frame: SharedFrame): void => this.shared.fire(frame)
    return {
      peerHello: share,
      peerVersion: share,
      askCopy: share,
      copy: share,
      crashReport: share,
      ping: frame => this.send({ type: 'pong', sequence: frame.sequence }),
      pong: frame => this.handlePong(frame.sequence),
      evidence: frame => this.reports.fire(frame.evidence),
      answer: frame => this.finish(frame)?.sink.onAnswer(frame.head, frame.body, frame.evidence),
      refused: frame => this.finish(frame)?.sink.onRefused(frame.refusal, frame.evidence),
      end: frame => this.finish(frame)?.sink.onEnd(),
      abort: frame => this.finish(frame)?.sink.onAbort(frame.reason),
      body: frame => this.find(frame)?.sink.onBody(frame.bytes),
      head: frame => {
        const exchange = this.find(frame)
        if (exchange === undefined) return
        exchange.headSeen = true
        exchange.sink.onHead(frame.head, frame.evidence)
      }
    }
  }

  private find (frame: { readonly id: number, readonly from: Incarnation }): Exchange | undefined {
    const exchange = frame.from === this.incarnation ? this.exchanges.get(frame.id) : undefined
    if (exchange === undefined) this.droppedAnswers++
    return exchange
  }

  private finish (frame: { readonly id: number, readonly from: Incarnation }): Exchange | undefined {
    const exchange = this.find(frame)
    if (exchange !== undefined) this.exchanges.delete(frame.id)
    if (this.exchanges.size === 0) this.stopHeartbeat()
    return exchange
  }

  private handleLoss (reason: string): void {
    this.stopHeartbeat()
    const lost = [...this.exchanges.values()]
    this.exchanges.clear()
    for (const { sink, headSeen } of lost) {
      if (headSeen) sink.onAbort(reason)
      else sink.onRefused({ disposition: 'unknown', reason: 'peer-lost', retryAfterMs: DEFAULT_RETRY_AFTER_MS }, undefined)
    }
    this.states.fire(false)
  }

  private startHeartbeat (): void {
    if (this.heartbeat !== undefined) return
    this.heartbeat = setInterval(() => this.beat(), this.options.heartbeatMs)
  }

  private stopHeartbeat (): void {
    clearInterval(this.heartbeat)
    this.heartbeat = undefined
  }

  private beat (): void {
    const channel = this.client.channel
    if (channel === undefined) return
    const silentMs = this.clock.nowMs() - channel.lastReceivedMs
    if (silentMs > this.options.timeoutMs) {
      channel.destroy('no answer within the heartbeat limit')
      return
    }
    if (silentMs < this.options.heartbeatMs || !this.mayPing()) return
    const before = channel.bytes.sent
    channel.send({ type: 'ping', sequence: ++this.sequence })
    this.measuredBytes += channel.bytes.sent - before
  }

  private handlePong (sequence: number): void {
    const waiter = this.pongs.get(sequence)
    this.pongs.delete(sequence)
    waiter?.()
  }
}
