import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import type { Disposable } from '../../platform/Types.js'
import { BODY_WINDOW_BYTES, INLINE_ANSWER_BYTES } from '../Constants.js'
import { findHeader, selectEndToEnd } from '../EndToEndHeaders.js'
import type { AnswerHead, CallHandle, CallRequest, RawHeaders } from '../Types.js'

/** Idle connections close before the upstream may close them, so that no request meets a closing one. */
const KEEP_ALIVE_MS = 1000

/** Silence within a body after which the connection counts as lost. */
const BODY_TIMEOUT_MS = 10_000

/** Longest answer to a guarded call that is kept whole for its record. */
const RECORDED_ANSWER_BYTES = 1024 * 1024

/** How a run at the upstream can break. `unsent` proves that the upstream never saw the request. */
export type RunFailure = 'unsent' | 'lost' | 'timeout'

/** Hears how one run at the upstream goes. */
export interface RunListener {
  onAnswer (head: AnswerHead, body: Uint8Array): void
  onHead (head: AnswerHead): void
  onBody (bytes: Uint8Array): void
  onEnd (): void
  /** After `onHead` the answer broke off; before it there is none. */
  onFailure (failure: RunFailure, message: string): void
}

/** HTTP/1.1 connections to the local upstream. */
export class UpstreamClient implements Disposable {
  private readonly kept: Pool
  private readonly fresh: Pool

  /**
   * @param address `host:port` of the upstream.
   * @param connections Most connections that the upstream takes.
   */
  public constructor (public readonly address: string, connections: number) {
    const origin = `http://${address}`
    const shared = { connections, bodyTimeout: BODY_TIMEOUT_MS }
    this.kept = new Pool(origin, { ...shared, pipelining: 1, keepAliveTimeout: KEEP_ALIVE_MS })
    // A guarded request never goes out on an old connection: one that died in silence would leave its outcome unknown.
    this.fresh = new Pool(origin, { ...shared, pipelining: 0 })
  }

  /**
   * Runs one request.
   * @param request Its deadline bounds the wait for the head.
   * @param deadlineMs Milliseconds left for the head of the answer.
   */
  public run (request: CallRequest, deadlineMs: number, listener: RunListener): CallHandle {
    const exchange = new Exchange(listener, request.kind === 'guarded')
    const pool = request.kind === 'guarded' ? this.fresh : this.kept
    pool.dispatch({
      path: request.target,
      method: request.method as Dispatcher.HttpMethod,
      headers: this.buildHeaders(request, deadlineMs),
      body: request.body.length === 0 ? null : request.body,
      headersTimeout: Math.max(1, Math.ceil(deadlineMs))
    }, exchange)
    return exchange
  }

  /** Closes idle connections and, when their requests end, the others. */
  public close (): void {
    this.kept.close().catch(() => {})
    this.fresh.close().catch(() => {})
  }

  /** Closes all connections at once. */
  public dispose (): void {
    this.kept.destroy().catch(() => {})
    this.fresh.destroy().catch(() => {})
  }

  private buildHeaders (request: CallRequest, deadlineMs: number): string[] {
    const headers = request.headers.slice()
    headers.push('sassafras-call', `${request.from}-${request.id}`)
    headers.push('sassafras-deadline-ms', String(Math.floor(deadlineMs)))
    headers.push('sassafras-depth', String(request.depth))
    return headers
  }
}

/** One request and its answer; short answers are collected and told in one go. */
class Exchange implements Dispatcher.DispatchHandler, CallHandle {
  private controller: Dispatcher.DispatchController | undefined
  private head: AnswerHead | undefined
  private pieces: Buffer[] = []
  private collected = 0
  private streaming = false
  private sent = 0
  private granted = BODY_WINDOW_BYTES
  private ended = false
  private dispatched = false
  private readonly inlineLimit: number

  public constructor (private readonly listener: RunListener, private readonly guarded: boolean) {
    this.inlineLimit = guarded ? RECORDED_ANSWER_BYTES : INLINE_ANSWER_BYTES
  }

  public onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    this.dispatched = true
    if (this.ended) controller.abort(new Error('cancelled'))
  }

  public onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    if (status < 200) return
    const raw = (controller.rawHeaders ?? []) as Array<Buffer | string>
    const headers = selectEndToEnd(raw.map(part => typeof part === 'string' ? part : part.toString('latin1')))
    this.head = { status, headers }
    if (this.mustStream(status, headers)) this.startStream()
  }

  public onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.ended) return
    if (this.streaming) this.sendPiece(chunk)
    else this.collect(chunk)
  }

  public onResponseEnd (): void {
    if (this.ended || this.head === undefined) return
    this.ended = true
    if (this.streaming) this.listener.onEnd()
    else this.listener.onAnswer(this.head, this.joinPieces())
  }

  public onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.ended) return
    this.ended = true
    this.listener.onFailure(this.classify(error), error.message)
  }

  public cancel (): void {
    if (this.ended) return
    this.ended = true
    this.controller?.abort(new Error('cancelled'))
  }

  public grant (bytes: number): void {
    this.granted += bytes
    if (this.sent < this.granted && this.controller?.paused === true) this.controller.resume()
  }

  private classify (error: Error): RunFailure {
    if (!this.dispatched) return 'unsent'
    return (error as { code?: string }).code === 'UND_ERR_HEADERS_TIMEOUT' ? 'timeout' : 'lost'
  }

  // An answer of unknown length may be slow to end, so it starts at once. A guarded one is collected for its record,
  // and a server error because it may be a shed request, or be tried elsewhere.
  private mustStream (status: number, headers: RawHeaders): boolean {
    if (status === 204 || status === 304) return false
    const length = findHeader(headers, 'content-length')
    return length === undefined ? !this.guarded && status < 500 : Number(length) > this.inlineLimit
  }

  private joinPieces (): Buffer {
    const only = this.pieces[0]
    return this.pieces.length === 1 && only !== undefined ? only : Buffer.concat(this.pieces)
  }

  private collect (chunk: Buffer): void {
    this.pieces.push(chunk)
    this.collected += chunk.length
    if (this.collected > this.inlineLimit) this.startStream()
  }

  private startStream (): void {
    this.streaming = true
    this.listener.onHead(this.head as AnswerHead)
    for (const piece of this.pieces) this.sendPiece(piece)
    this.pieces = []
  }

  private sendPiece (chunk: Buffer): void {
    this.sent += chunk.length
    this.listener.onBody(chunk)
    if (this.sent >= this.granted) this.controller?.pause()
  }
}
