import type { FrameChannel } from '../../platform/FrameChannel.js'
import type { Disposable } from '../../platform/Types.js'
import type { LoadEvidence, ServiceName } from '../../parts/Types.js'
import type { CallHandle, CallRequest, CallSink, CallTarget } from '../Types.js'
import type { PeerHello, SharedFrame, ToIngressSide, ToUpstreamSide } from './Types.js'

interface Assembly {
  readonly request: CallRequest
  readonly pieces: Uint8Array[]
  readonly expected: number
}

type Handlers = { [Type in ToUpstreamSide['type']]: (frame: Extract<ToUpstreamSide, { type: Type }>) => void }

/** What a session asks of its node. */
export interface PeerHost {
  /** Takes calls for the local upstream. */
  readonly target: CallTarget
  hello (): PeerHello
  /** Load of the local upstream, if it serves the service. */
  evidence (service: ServiceName): LoadEvidence | undefined
  handleShared (frame: SharedFrame, session: PeerSession): void
}

/** The upstream side's end of a connection from another node: runs its calls and sends the answers back. */
export class PeerSession implements Disposable {
  private readonly running = new Map<number, CallHandle>()
  private readonly assemblies = new Map<number, Assembly>()
  private readonly handlers: Handlers
  private starting: number | undefined

  public constructor (
    private readonly channel: FrameChannel<ToUpstreamSide, ToIngressSide>,
    private readonly host: PeerHost
  ) {
    this.handlers = this.buildHandlers()
    channel.onMessage(frame => {
      const handler = this.handlers[frame.type] as ((frame: ToUpstreamSide) => void) | undefined
      handler?.(frame)
    })
    channel.onClose(() => this.cancelAll())
    channel.send(host.hello())
  }

  /** Sends a frame that belongs to no call. */
  public send (frame: ToIngressSide): void {
    this.channel.send(frame)
  }

  /** Calls that run for the other node. */
  public get inFlight (): number {
    return this.running.size
  }

  /** Sends what is waiting and closes. */
  public end (): void {
    this.channel.end()
  }

  /** Closes at once; running calls are cancelled. */
  public dispose (): void {
    this.channel.dispose()
  }

  private buildHandlers (): Handlers {
    const share = (frame: SharedFrame): void => this.host.handleShared(frame, this)
    return {
      peerHello: share,
      peerVersion: share,
      askCopy: share,
      copy: share,
      crashReport: share,
      pong: () => {},
      ping: frame => this.send({ type: 'pong', sequence: frame.sequence }),
      probe: frame => this.answerProbe(frame.service),
      call: frame => this.handleCall(frame.request, frame.pieces),
      callBody: frame => this.handlePiece(frame.id, frame.bytes),
      cancel: frame => this.handleCancel(frame.id),
      credit: frame => this.running.get(frame.id)?.grant(frame.bytes)
    }
  }

  private answerProbe (service: ServiceName): void {
    const evidence = this.host.evidence(service)
    if (evidence !== undefined) this.send({ type: 'evidence', service, evidence })
  }

  private handleCall (request: CallRequest, pieces: number): void {
    if (pieces === 0) this.run(request)
    else this.assemblies.set(request.id, { request, pieces: [], expected: pieces })
  }

  private handlePiece (id: number, bytes: Uint8Array): void {
    const assembly = this.assemblies.get(id)
    if (assembly === undefined) return
    assembly.pieces.push(bytes)
    if (assembly.pieces.length < assembly.expected) return
    this.assemblies.delete(id)
    this.run({ ...assembly.request, body: Buffer.concat(assembly.pieces) })
  }

  private handleCancel (id: number): void {
    this.assemblies.delete(id)
    const handle = this.running.get(id)
    this.running.delete(id)
    handle?.cancel()
  }

  private run (request: CallRequest): void {
    // A refusal may come before `start` returns; such a call must not be kept.
    this.starting = request.id
    const handle = this.host.target.start(request, this.buildSink(request))
    if (this.starting === request.id) this.running.set(request.id, handle)
    this.starting = undefined
  }

  private buildSink ({ id, from }: CallRequest): CallSink {
    const finish = (frame: ToIngressSide): void => {
      this.running.delete(id)
      if (this.starting === id) this.starting = undefined
      this.channel.send(frame)
    }
    return {
      onAnswer: (head, body, evidence) => finish({ type: 'answer', id, from, head, body, evidence }),
      onHead: (head, evidence) => { this.channel.send({ type: 'head', id, from, head, evidence }) },
      onBody: bytes => { this.channel.send({ type: 'body', id, from, bytes }) },
      onEnd: () => finish({ type: 'end', id, from }),
      onAbort: reason => finish({ type: 'abort', id, from, reason }),
      onRefused: (refusal, evidence) => {
        finish({ type: 'refused', id, from, refusal, ...(evidence === undefined ? {} : { evidence }) })
      }
    }
  }

  private cancelAll (): void {
    for (const handle of this.running.values()) handle.cancel()
    this.running.clear()
    this.assemblies.clear()
  }
}
