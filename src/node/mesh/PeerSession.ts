import type { FrameChannel } from '../../runtime/FrameChannel.js'
import type { Disposable } from '../../runtime/Types.js'
import type { LoadEvidence, ServiceName } from '../../parts/Types.js'
import type { CallHandle, CallRequest, CallListener, CallTarget } from '../Types.js'
import type { PeerHello, SharedFrame, ToIngressSide, ToUpstreamSide } from './Types.js'

interface PartialRequest {
  readonly request: CallRequest
  readonly chunks: Uint8Array[]
  readonly expected: number
}

type Handlers = { [Type in ToUpstreamSide['type']]: (frame: Extract<ToUpstreamSide, { type: Type }>) => void }

/** Operations of the local node that a session uses. */
export interface PeerHost {
  /** Runs calls at the local upstream. */
  readonly target: CallTarget
  hello (): PeerHello
  /** Load evidence of the local upstream; undefined if it does not serve the service. */
  evidence (service: ServiceName): LoadEvidence | undefined
  handleShared (frame: SharedFrame, session: PeerSession): void
}

/** An accepted connection from another node: runs the calls that it sends and returns the answers. */
export class PeerSession implements Disposable {
  private readonly _running = new Map<number, CallHandle>()
  private readonly _partialRequests = new Map<number, PartialRequest>()
  private readonly _handlers: Handlers
  private _starting: number | undefined

  public constructor (
    private readonly _channel: FrameChannel<ToUpstreamSide, ToIngressSide>,
    private readonly _host: PeerHost
  ) {
    this._handlers = this._buildHandlers()
    _channel.onMessage(frame => {
      const handler = this._handlers[frame.type] as ((frame: ToUpstreamSide) => void) | undefined
      handler?.(frame)
    })
    _channel.onClose(() => this._cancelAll())
    _channel.send(_host.hello())
  }

  /** Sends a frame. */
  public send (frame: ToIngressSide): void {
    this._channel.send(frame)
  }

  /** Number of the other node's calls that are queued or running here. */
  public get inFlight (): number {
    return this._running.size
  }

  /** Closes the connection after sending the buffered frames. */
  public end (): void {
    this._channel.end()
  }

  /** Closes the connection at once; its calls are cancelled. */
  public dispose (): void {
    this._channel.dispose()
  }

  private _buildHandlers (): Handlers {
    const forward = (frame: SharedFrame): void => this._host.handleShared(frame, this)
    return {
      peerHello: forward,
      peerVersion: forward,
      askCopy: forward,
      copy: forward,
      crashReport: forward,
      pong: () => {},
      ping: frame => this.send({ type: 'pong', sequence: frame.sequence }),
      probe: frame => this._answerProbe(frame.service),
      call: frame => this._onCall(frame.request, frame.pieces),
      callBody: frame => this._onBodyChunk(frame.id, frame.bytes),
      cancel: frame => this._onCancel(frame.id),
      credit: frame => this._running.get(frame.id)?.grant(frame.bytes)
    }
  }

  private _answerProbe (service: ServiceName): void {
    const evidence = this._host.evidence(service)
    if (evidence !== undefined) this.send({ type: 'evidence', service, evidence })
  }

  private _onCall (request: CallRequest, pieces: number): void {
    if (pieces === 0) this._startCall(request)
    else this._partialRequests.set(request.id, { request, chunks: [], expected: pieces })
  }

  private _onBodyChunk (id: number, bytes: Uint8Array): void {
    const partial = this._partialRequests.get(id)
    if (partial === undefined) return
    partial.chunks.push(bytes)
    if (partial.chunks.length < partial.expected) return
    this._partialRequests.delete(id)
    this._startCall({ ...partial.request, body: Buffer.concat(partial.chunks) })
  }

  private _onCancel (id: number): void {
    this._partialRequests.delete(id)
    const handle = this._running.get(id)
    this._running.delete(id)
    handle?.cancel()
  }

  private _startCall (request: CallRequest): void {
    // The call may be refused before `start` returns; it must then not be added to the running calls.
    this._starting = request.id
    const handle = this._host.target.start(request, this._buildListener(request))
    if (this._starting === request.id) this._running.set(request.id, handle)
    this._starting = undefined
  }

  private _buildListener ({ id, from }: CallRequest): CallListener {
    const finish = (frame: ToIngressSide): void => {
      this._running.delete(id)
      if (this._starting === id) this._starting = undefined
      this._channel.send(frame)
    }
    return {
      onAnswer: (head, body, evidence) => finish({ type: 'answer', id, from, head, body, evidence }),
      onHead: (head, evidence) => { this._channel.send({ type: 'head', id, from, head, evidence }) },
      onBody: bytes => { this._channel.send({ type: 'body', id, from, bytes }) },
      onEnd: () => finish({ type: 'end', id, from }),
      onAbort: reason => finish({ type: 'abort', id, from, reason }),
      onRefused: (refusal, evidence) => {
        finish({ type: 'refused', id, from, refusal, ...(evidence === undefined ? {} : { evidence }) })
      }
    }
  }

  private _cancelAll (): void {
    for (const handle of this._running.values()) handle.cancel()
    this._running.clear()
    this._partialRequests.clear()
  }
}
