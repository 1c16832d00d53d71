import type { AnswerLease } from '../parts/transfer/AnswerMemory.js'
import { CHUNK_BYTES } from '../parts/transfer/Constants.js'
import type { CallId } from '../parts/Types.js'
import type { FrameChannel } from '../runtime/FrameChannel.js'
import { type FrameLimits, FrameServer } from '../runtime/FrameServer.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { type BodyResources, BodyTransfer, makeDefaultBodyResources } from './BodyTransfer.js'
import { LINK_TIMEOUT_MS } from './Constants.js'
import { isRoutedCall } from './FrameChecks.js'
import type {
  CallClientFrame, CallServerFrame, InstanceStatus, RoutedAnswer, RoutedCall, RoutedCallHandle, RoutedCallTarget
} from './Types.js'

type Channel = FrameChannel<CallClientFrame, CallServerFrame>

type FrameHandlers = {
  readonly [Type in CallClientFrame['type']]: (frame: Extract<CallClientFrame, { type: Type }>) => void
}

/** Connection of another node with its calls. */
interface CallSession {
  readonly channel: Channel
  /** Memory of the answers that are sent and were not passed to the operating system yet. */
  readonly answers: Set<AnswerLease>
  readonly handles: Map<CallId, RoutedCallHandle>
  readonly transfer: BodyTransfer
  /** Name of that node; undefined before its first frame. */
  node: string | undefined
}

/** Copies of an answer that are held while its frame is sent: the answer and its frame. */
const FRAME_COPIES = 2

/** Smallest answer whose memory is counted, in bytes. */
const MIN_COUNTED_ANSWER_BYTES = 16 * 1024

const NO_BYTES = new Uint8Array(0)

/**
 * Accepts calls of other nodes for the instance on this VM. When a connection closes, its calls are cancelled. A body
 * that does not come with its call is requested once the call has a slot; a large answer to an upload goes in chunks.
 *
 * Memory: one handle for each call in progress, and the large answers that are being sent.
 */
export class CallServer implements Disposable {
  private readonly _server: FrameServer<CallClientFrame, CallServerFrame>
  private readonly _sessions = new Set<CallSession>()
  private _isStopping = false
  private _isFinishing = false

  /**
   * @param _target Proxy of the instance.
   * @param _log Log of connections that close with calls on them.
   * @param limits Memory and descriptors of the node; defaults when absent.
   */
  public constructor (
    private readonly _target: RoutedCallTarget,
    private readonly _clock: Clock,
    private readonly _bodies: BodyResources = makeDefaultBodyResources(),
    private readonly _log?: Log,
    limits: FrameLimits = {}
  ) {
    this._server = new FrameServer(_clock, limits)
    this._server.onChannel(channel => this._onChannel(channel))
  }

  /** Number of large answers that are not sent completely. */
  public get outgoingAnswerCount (): number {
    return [...this._sessions].reduce((sum, { transfer }) => sum + transfer.outgoingCount, 0)
  }

  /** Starts to listen on `host:port`. */
  public async listen (address: string): Promise<void> {
    await this._server.listen(address)
  }

  /** Notifies all connected nodes that this one is shutting down. */
  public announceStop (): void {
    this._isStopping = true
    for (const { channel } of this._sessions) channel.send({ type: 'stopping' })
  }

  /** Closes the listener, and each connection once the frames for it have arrived at the other node. */
  public async finish (): Promise<void> {
    this._isFinishing = true
    await this._server.finish(LINK_TIMEOUT_MS)
  }

  /** Closes the listener and all connections at once. */
  public dispose (): void {
    this._server.dispose()
  }

  private _onChannel (channel: Channel): void {
    const transfer = new BodyTransfer(frame => { channel.send(frame) }, this._clock, this._bodies.metrics)
    const session: CallSession = { channel, handles: new Map(), transfer, node: undefined, answers: new Set() }
    const handlers = this._makeHandlers(session)
    this._sessions.add(session)
    channel.onClose(reason => {
      const { handles: { size: calls }, node } = session
      const answers = transfer.outgoingCount
      if (calls + answers > 0) this._log?.info({ node, reason, calls, answers }, 'link from a node lost')
      this._sessions.delete(session)
      transfer.dispose()
      for (const answer of session.answers) answer.release()
      for (const handle of session.handles.values()) handle.cancel()
      session.handles.clear()
    })
    channel.onMessage(frame => {
      const handler = handlers[frame.type] as ((frame: CallClientFrame) => void) | undefined
      handler?.(frame)
    })
    if (this._isStopping) channel.send({ type: 'stopping' })
  }

  private _makeHandlers (session: CallSession): FrameHandlers {
    const { channel, handles, transfer } = session
    return {
      callHello: ({ node }) => { session.node = node },
      call: ({ call }) => {
        // Its answer could not be sent any more.
        if (!this._isFinishing) this._start(session, call)
      },
      cancel: ({ id }) => {
        transfer.drop(id)
        handles.get(id)?.cancel()
        handles.delete(id)
      },
      ping: () => { channel.send({ type: 'pong' }) },
      bodyChunk: frame => transfer.handle(frame),
      chunkAck: frame => transfer.handle(frame)
    }
  }

  private _start (session: CallSession, call: RoutedCall): void {
    const { channel, handles, transfer } = session
    if (!isRoutedCall(call)) return this._refuseInvalid(session, call)
    const { id } = call
    // The call before would keep its slot after its connection has closed.
    if (handles.has(id)) return channel.destroy('the id of a call is in use')
    const lease = this._bodies.memory.lease()
    let ended = false
    const finish = (frame: CallServerFrame): void => {
      ended = true
      lease.release()
      handles.delete(id)
      transfer.drop(id)
      this._send(session, frame)
    }
    const cancel = (): void => {
      lease.release()
      handle.cancel()
    }
    // A body that came with its call is held in any case.
    lease.grow(call.body.length)
    const handle = this._target.start(call, {
      onAnswer: (answer, load) => {
        finish(buildAnswerFrame(call, answer, load))
        if (isChunked(call, answer)) transfer.sendBody(id, answer.body, () => {})
      },
      onDeclined: (reason, retryAfterMs, load) => finish({ type: 'turnedAway', id, reason, retryAfterMs, load }),
      onFailed: (proof, reason, load) => finish({ type: 'failed', id, proof, reason, ...(load === undefined ? {} : { load }) }),
      onBodyWanted: () => this._requestBody(session, call)
    })
    // The target may have answered before it returned.
    if (!ended) handles.set(id, { ...handle, cancel })
  }

  /** An answer is held until it was passed to the operating system; a node that reads nothing loses its connection. */
  private _send (session: CallSession, frame: CallServerFrame): void {
    const { channel, answers } = session
    const bytes = frame.type === 'answer' ? frame.answer.body.length : 0
    if (bytes < MIN_COUNTED_ANSWER_BYTES || channel.isClosed) {
      channel.send(frame)
      return
    }
    const lease = this._bodies.answers.open({ onCut: () => channel.destroy('answers are not read') })
    answers.add(lease)
    channel.send(frame, () => {
      answers.delete(lease)
      lease.release()
      for (const other of answers) other.recordProgress(this._clock.nowMs())
    })
    lease.grow(FRAME_COPIES * bytes, this._clock.nowMs())
  }

  /** A frame without the id of a call can't be answered. */
  private _refuseInvalid ({ channel }: CallSession, call: unknown): void {
    const id = (call as Partial<RoutedCall> | undefined)?.id
    if (!Number.isInteger(id)) return channel.destroy('malformed call')
    channel.send({ type: 'failed', id: id as CallId, proof: 'unsent', reason: 'request-invalid' })
  }

  private _requestBody ({ channel, handles, transfer }: CallSession, { id, bodyBytes = 0 }: RoutedCall): void {
    transfer.expectBody(id, bodyBytes, {
      onWhole: body => handles.get(id)?.supplyBody?.(body),
      onStalled: () => handles.get(id)?.supplyBody?.(undefined)
    })
    channel.send({ type: 'sendBody', id })
  }
}

/** Returns whether the body of an answer is sent in chunks. */
function isChunked ({ kind }: RoutedCall, { body }: RoutedAnswer): boolean {
  return kind === 'upload' && body.length > CHUNK_BYTES
}

function buildAnswerFrame (call: RoutedCall, answer: RoutedAnswer, load: InstanceStatus): CallServerFrame {
  const frame = { type: 'answer', id: call.id, answer, load } as const
  if (!isChunked(call, answer)) return frame
  return { ...frame, answer: { ...answer, body: NO_BYTES }, bodyBytes: answer.body.length }
}
