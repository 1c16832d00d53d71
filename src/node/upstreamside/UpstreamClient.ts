import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import type { Disposable } from '../../runtime/Types.js'
import { BODY_WINDOW_BYTES, MAX_INLINE_ANSWER_BYTES } from '../Constants.js'
import { findHeader, selectEndToEnd } from '../EndToEndHeaders.js'
import { isWritableStatus } from '../HeadSyntax.js'
import type { AnswerHead, CallHandle, CallRequest, RawHeaders } from '../Types.js'

/** Idle connections are closed before the upstream may close them, so that no request is sent on a closing one. */
const KEEP_ALIVE_MS = 1000

/** Time without data within a body after which the connection counts as lost. */
const BODY_TIMEOUT_MS = 10_000

/** Longest answer to an at-most-once call that is buffered completely so that it can be stored. */
const MAX_RECORDED_ANSWER_BYTES = 1024 * 1024

/** How a request to the upstream can fail. `unsent` proves that the upstream never received it. */
export type RunFailure = 'unsent' | 'lost' | 'timeout'

/** Receives the answer of the upstream to one request. */
export interface RunListener {
  onAnswer (head: AnswerHead, body: Uint8Array): void
  onHead (head: AnswerHead): void
  onBody (bytes: Uint8Array): void
  onEnd (): void
  /** The request failed: after `onHead` the answer was interrupted, before it there is no answer. */
  onFailure (failure: RunFailure, message: string): void
}

/** HTTP/1.1 client of the local upstream. */
export class UpstreamClient implements Disposable {
  private readonly _keepAlivePool: Pool
  private readonly _freshPool: Pool

  /**
   * @param address Listener of the upstream, `host:port`.
   * @param connections Limit of connections in each of the two pools, so up to twice as many may be open.
   */
  public constructor (public readonly address: string, connections: number) {
    const origin = `http://${address}`
    const poolOptions = { connections, bodyTimeout: BODY_TIMEOUT_MS }
    this._keepAlivePool = new Pool(origin, { ...poolOptions, pipelining: 1, keepAliveTimeout: KEEP_ALIVE_MS })
    // An at-most-once request is never sent on a reused connection: if that was lost unnoticed, the outcome would be
    // unknown.
    this._freshPool = new Pool(origin, { ...poolOptions, pipelining: 0 })
  }

  /**
   * Sends one request.
   * @param deadlineMs Time within which the head of the answer must be received, in milliseconds.
   */
  public run (request: CallRequest, deadlineMs: number, listener: RunListener): CallHandle {
    const upstreamRequest = new UpstreamRequest(listener, request.kind === 'guarded', deadlineMs)
    const pool = request.kind === 'guarded' ? this._freshPool : this._keepAlivePool
    pool.dispatch({
      path: request.target,
      method: request.method as Dispatcher.HttpMethod,
      headers: this._buildHeaders(request, deadlineMs),
      body: request.body.length === 0 ? null : request.body,
      headersTimeout: Math.max(1, Math.ceil(deadlineMs))
    }, upstreamRequest)
    return upstreamRequest
  }

  /** Closes the idle connections at once and the others when their requests have ended. */
  public close (): void {
    this._keepAlivePool.close().catch(() => {})
    this._freshPool.close().catch(() => {})
  }

  /** Closes all connections at once. */
  public dispose (): void {
    this._keepAlivePool.destroy().catch(() => {})
    this._freshPool.destroy().catch(() => {})
  }

  private _buildHeaders (request: CallRequest, deadlineMs: number): string[] {
    const headers = request.headers.slice()
    headers.push('sassafras-call', `${request.from}-${request.id}`)
    headers.push('sassafras-deadline-ms', String(Math.floor(deadlineMs)))
    headers.push('sassafras-depth', String(request.depth))
    return headers
  }
}

/** One request and its answer. A short answer is buffered and reported at once, a long one is streamed. */
class UpstreamRequest implements Dispatcher.DispatchHandler, CallHandle {
  private _controller: Dispatcher.DispatchController | undefined
  private _head: AnswerHead | undefined
  private _chunks: Buffer[] = []
  private _bufferedBytes = 0
  private _streaming = false
  private _sentBytes = 0
  private _grantedBytes = BODY_WINDOW_BYTES
  private _ended = false
  private _dispatched = false
  private readonly _inlineLimit: number
  /** The timeout of undici starts anew with each informational response. */
  private readonly _headTimer: NodeJS.Timeout

  /**
   * @param headTimeoutMs Time within which the head of the answer must be received, in milliseconds.
   */
  public constructor (
    private readonly _listener: RunListener, private readonly _guarded: boolean, headTimeoutMs: number
  ) {
    this._inlineLimit = _guarded ? MAX_RECORDED_ANSWER_BYTES : MAX_INLINE_ANSWER_BYTES
    this._headTimer = setTimeout(() => this._onHeadTimeout(), Math.max(1, headTimeoutMs))
  }

  public onRequestStart (controller: Dispatcher.DispatchController): void {
    this._controller = controller
    this._dispatched = true
    if (this._ended) controller.abort(new Error('cancelled'))
  }

  public onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    if (status >= 100 && status < 200) return
    clearTimeout(this._headTimer)
    if (!isWritableStatus(status)) return this._endInvalid(controller, status)
    const raw = (controller.rawHeaders ?? []) as Array<Buffer | string>
    const headers = selectEndToEnd(raw.map(part => typeof part === 'string' ? part : part.toString('latin1')))
    this._head = { status, headers }
    if (findHeader(headers, 'sassafras-shed') !== undefined) return this._endConnection(controller)
    if (this._mustStream(status, headers)) this._startStream()
  }

  public onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this._ended) return
    if (this._streaming) this._sendChunk(chunk)
    else this._buffer(chunk)
  }

  public onResponseEnd (): void {
    if (this._ended || this._head === undefined) return
    this._ended = true
    if (this._streaming) this._listener.onEnd()
    else this._listener.onAnswer(this._head, this._joinChunks())
  }

  public onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this._ended) return
    this._ended = true
    clearTimeout(this._headTimer)
    this._listener.onFailure(this._classifyError(error), error.message)
  }

  public cancel (): void {
    if (this._ended) return
    this._ended = true
    clearTimeout(this._headTimer)
    this._controller?.abort(new Error('cancelled'))
  }

  public grant (bytes: number): void {
    this._grantedBytes += bytes
    if (this._sentBytes < this._grantedBytes && this._controller?.paused === true) this._controller.resume()
  }

  private _endInvalid (controller: Dispatcher.DispatchController, status: number): void {
    this._ended = true
    const detail = `status ${status} is none of an answer`
    this._listener.onFailure('lost', detail)
    controller.abort(new Error(detail))
  }

  /** A faulty upstream may write a shed once more, which would reach the next request on the connection. */
  private _endConnection (controller: Dispatcher.DispatchController): void {
    this._ended = true
    this._listener.onAnswer(this._head as AnswerHead, new Uint8Array(0))
    controller.abort(new Error('the upstream has shed the request'))
  }

  private _onHeadTimeout (): void {
    if (this._ended || this._head !== undefined) return
    this._ended = true
    this._controller?.abort(new Error('no head of an answer within the deadline'))
    this._listener.onFailure(this._dispatched ? 'timeout' : 'unsent', 'no head of an answer within the deadline')
  }

  private _classifyError (error: Error): RunFailure {
    if (!this._dispatched) return 'unsent'
    return (error as { code?: string }).code === 'UND_ERR_HEADERS_TIMEOUT' ? 'timeout' : 'lost'
  }

  // An answer of unknown length may take long, so it is streamed from the start, with two exceptions. The answer to an
  // at-most-once request is buffered to be stored, and a server error because the request may have been shed or may be
  // retried.
  private _mustStream (status: number, headers: RawHeaders): boolean {
    if (status === 204 || status === 304) return false
    const length = findHeader(headers, 'content-length')
    return length === undefined ? !this._guarded && status < 500 : Number(length) > this._inlineLimit
  }

  private _joinChunks (): Buffer {
    const only = this._chunks[0]
    return this._chunks.length === 1 && only !== undefined ? only : Buffer.concat(this._chunks)
  }

  private _buffer (chunk: Buffer): void {
    this._chunks.push(chunk)
    this._bufferedBytes += chunk.length
    if (this._bufferedBytes > this._inlineLimit) this._startStream()
  }

  private _startStream (): void {
    this._streaming = true
    this._listener.onHead(this._head as AnswerHead)
    for (const chunk of this._chunks) this._sendChunk(chunk)
    this._chunks = []
  }

  private _sendChunk (chunk: Buffer): void {
    this._sentBytes += chunk.length
    this._listener.onBody(chunk)
    if (this._sentBytes >= this._grantedBytes) this._controller?.pause()
  }
}
