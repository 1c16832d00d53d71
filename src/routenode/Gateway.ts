import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { selectEndToEnd } from '../node/EndToEndHeaders.js'
import { readBody } from '../node/ingress/BodyReader.js'
import { CallerWaitEstimate } from '../parts/routing/CallerWaitEstimate.js'
import { DEFAULT_CALLER_LIMITS } from '../parts/routing/Constants.js'
import type { CallerLimits } from '../parts/routing/Types.js'
import type { RouteEntry, RouteTable } from '../parts/routing/RouteTable.js'
import type { ServiceName } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import { listenOn } from '../runtime/Listen.js'
import type { Disposable, Log } from '../runtime/Types.js'
import { NOT_READY_RETRY_MS, RETRY_MAX_SHARE, RETRY_SPREAD } from './Constants.js'
import { GatewayCall, type GatewayContext, type GatewayReason, type GatewayRequest, type GatewayResult } from './GatewayCall.js'
import { AnswerSizes } from './AnswerSizes.js'
import type { RouteNodeMetrics } from './RouteNodeMetrics.js'
import type { Attempt, HeaderNames, RoutedAnswer } from './Types.js'

/** Largest header that is read; configurations ask for less. */
const MAX_HEADER_BYTES = 64 * 1024

/** Deadline of a request that names none, beyond the timeout of its route. */
const NO_DEADLINE_MS = 600_000

const MS_PER_SECOND = 1000

const BAD_REQUEST_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/** What the gateway is made of. */
export interface GatewayParts extends GatewayContext {
  readonly names: HeaderNames
  readonly log: Log
  /** Service of the instance on this VM, where all requests begin. */
  readonly callerService: () => ServiceName
  readonly metrics: RouteNodeMetrics
  /** Which attempt of a request the instance on this VM runs now, undefined when it doesn't run it. */
  readonly attemptOf: (requestId: string) => Attempt | undefined
}

/** Serves the callers on this VM over HTTP/1.1. */
export class Gateway implements Disposable {
  private readonly _server: Server
  private readonly _emptied = new Emitter<void>()
  private readonly _droppedHeaders: ReadonlySet<string>
  private readonly _sizes = new AnswerSizes()
  private readonly _elapsed = new CallerWaitEstimate()
  private _table: RouteTable | undefined
  private _limits: CallerLimits = DEFAULT_CALLER_LIMITS
  private _open = 0
  private _closing = false

  public constructor (private readonly _parts: GatewayParts) {
    const { names } = _parts
    this._droppedHeaders = new Set([names.deadlineMs, names.targetInstance, names.callerService])
    this._server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
      headersTimeout: this._limits.headerTimeoutMs,
      keepAliveTimeout: this._limits.idleTimeoutMs,
      noDelay: true
    })
    this._server.on('request', (message, response) => this._handleRequest(message, response))
    this._server.on('clientError', (error, socket) => this._handleClientError(error, socket))
  }

  /** Fires when the last open request has ended. */
  public readonly onEmpty = this._emptied.event

  /** Requests that were read and are not answered yet. */
  public get inFlight (): number {
    return this._open
  }

  /** Starts to listen on `host:port`. */
  public async listen (address: string): Promise<void> {
    await listenOn(this._server, address)
  }

  /**
   * Puts a configuration in force for requests that come from now on.
   * @param table Routes.
   * @param limits Limits on callers.
   */
  public apply (table: RouteTable, limits: CallerLimits): void {
    this._table = table
    this._limits = limits
    this._server.keepAliveTimeout = limits.idleTimeoutMs
    this._server.headersTimeout = limits.headerTimeoutMs
  }

  /** Asks callers to leave: each answer closes its connection. */
  public announceClose (): void {
    this._closing = true
  }

  /** Takes no new connections and closes idle ones; requests that were read are answered. */
  public close (): void {
    this._closing = true
    this._server.close()
    this._server.closeIdleConnections()
  }

  /** Ends everything at once. */
  public dispose (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  private _handleRequest (message: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = this._parts.clock.nowMs()
    if (this._closing) response.setHeader('connection', 'close')
    const table = this._table
    if (table === undefined) return this._refuse(message, response, 503, 'no-configuration', this._notReadyRetryMs(message))
    const entry = this._findRoute(table, message)
    if (entry === undefined) return this._refuse(message, response, 404, 'no-route')
    readBody(message, this._limits.maxBodyBytes, result => {
      if (result.type === 'tooLarge') this._refuse(message, response, 413, 'body-too-large')
      if (result.type === 'whole') this._start(message, response, this._buildRequest(message, entry, table, result.bytes, arrivedAtMs))
    })
  }

  /** As late as the caller can bear: a configuration comes within a second or two of a start. */
  private _notReadyRetryMs (message: IncomingMessage): number {
    const deadlineMs = deadlineOf(message, this._parts.names.deadlineMs) ?? NO_DEADLINE_MS
    const spread = 1 - RETRY_SPREAD * this._parts.random.next()
    return spread * Math.min(NOT_READY_RETRY_MS, deadlineMs * RETRY_MAX_SHARE)
  }

  private _findRoute (table: RouteTable, message: IncomingMessage): RouteEntry | undefined {
    const host = (message.headers.host ?? '').replace(/:\d+$/, '').toLowerCase()
    const target = message.url ?? '/'
    const query = target.indexOf('?')
    return table.find(host, query < 0 ? target : target.slice(0, query))
  }

  private _buildRequest (
    message: IncomingMessage, entry: RouteEntry, table: RouteTable, body: Uint8Array, arrivedAtMs: number
  ): GatewayRequest {
    const { names, callerService } = this._parts
    const { route } = entry
    const deadlineMs = deadlineOf(message, names.deadlineMs)
    const elapsedMs = deadlineMs === undefined ? 0 : this._elapsed.observe(route.name, deadlineMs, arrivedAtMs)
    const headers = selectEndToEnd(message.rawHeaders, this._droppedHeaders)
    headers.push(names.callerService, callerService())
    const requestId = headerOf(message, names.requestId) ?? ''
    return {
      requestId,
      method: message.method ?? 'GET',
      target: message.url ?? '/',
      headers,
      body,
      route,
      service: entry.nextService(),
      version: table.version,
      parent: this._parentAttempt(requestId),
      deadlineMs: deadlineMs ?? NO_DEADLINE_MS,
      arrivedAtMs,
      objectiveAtMs: arrivedAtMs - elapsedMs + route.latencyObjectiveMs,
      expectedBytes: body.length + this._sizes.of(route.name)
    }
  }

  /** An instance names its own calls by the request that it runs, a dot, and a part of their own. */
  private _parentAttempt (requestId: string): Attempt | undefined {
    const dot = requestId.lastIndexOf('.')
    return dot > 0 ? this._parts.attemptOf(requestId.slice(0, dot)) : undefined
  }

  private _start (message: IncomingMessage, response: ServerResponse, request: GatewayRequest): void {
    this._open++
    this._parts.metrics.countAsked()
    let ended = false
    const finish = (result: GatewayResult | undefined): void => {
      if (ended) return
      ended = true
      if (result !== undefined) this._send(message, response, result)
      if (result?.type === 'answer') this._sizes.learn(request.route.name, result.answer.body.length)
      this._record(request, call, result)
      this._open--
      if (this._open === 0) this._emptied.fire()
    }
    const call = new GatewayCall(request, this._parts, finish)
    response.once('close', () => {
      if (ended) return
      call.abandon()
      finish(undefined)
    })
    call.begin()
  }

  private _send (message: IncomingMessage, response: ServerResponse, result: GatewayResult): void {
    if (result.type === 'answer') return this._sendAnswer(message, response, result.answer)
    if (result.type === 'refused') return this._refuse(message, response, 503, result.reason, result.retryAfterMs)
    this._refuse(message, response, result.timedOut ? 504 : 502, result.reason)
  }

  private _sendAnswer (message: IncomingMessage, response: ServerResponse, answer: RoutedAnswer): void {
    if (PROMISES.has(answer.status)) {
      // These statuses say that the request has not run, which only the proof of the instance could show.
      return this._refuse(message, response, 502, 'answer-invalid')
    }
    const headers = answer.headers.slice()
    if (!isBodiless(message, answer.status)) headers.push('content-length', String(answer.body.length))
    if (this._closing) headers.push('connection', 'close')
    response.writeHead(answer.status, headers)
    response.end(answer.body)
  }

  private _refuse (
    message: IncomingMessage, response: ServerResponse, status: number, reason: GatewayReason, retryAfterMs?: number
  ): void {
    if (response.headersSent || response.destroyed) return
    // The rest of a body that won't be read must not be taken for the next request.
    if (!message.complete) response.setHeader('connection', 'close')
    const requestId = headerOf(message, this._parts.names.requestId)
    if (requestId !== undefined) response.setHeader(this._parts.names.requestId, requestId)
    if (retryAfterMs !== undefined) response.setHeader('retry-after', (retryAfterMs / MS_PER_SECOND).toFixed(3))
    const text = JSON.stringify({ reason, notRun: status === 503 })
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }

  private _record (request: GatewayRequest, call: GatewayCall, result: GatewayResult | undefined): void {
    const { requestId, route, service, version, arrivedAtMs, parent } = request
    const tookMs = Math.round(this._parts.clock.nowMs() - arrivedAtMs)
    const { sends, declines, lastNode, hedge } = call
    const origin = { requestId, route: route.name, service, version, nested: parent !== undefined }
    const fields = { ...origin, sends, declines, hedge, node: lastNode, tookMs }
    const outcome = OUTCOMES[result?.type ?? 'gone']
    this._parts.metrics.countEnded(outcome, tookMs, sends, declines)
    if (hedge !== undefined) this._parts.metrics.countHedge(hedge)
    if (result?.type === 'answer') this._parts.log.info({ ...fields, status: result.answer.status }, 'answered')
    else this._parts.log.info({ ...fields, outcome, reason: result?.reason ?? 'caller-gone' }, 'not answered')
  }

  private _handleClientError (error: Error & { code?: string }, socket: Duplex): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const status = BAD_REQUEST_STATUS[error.code ?? ''] ?? '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`)
  }
}

const OUTCOMES = { answer: 'answered', refused: 'refused', failed: 'failed', gone: 'gone' } as const

/** Statuses that promise that a request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503])

function isBodiless (message: IncomingMessage, status: number): boolean {
  return message.method === 'HEAD' || status === 204 || status === 304
}

function deadlineOf (message: IncomingMessage, name: string): number | undefined {
  const deadlineMs = Number(message.headers[name])
  return Number.isFinite(deadlineMs) && deadlineMs > 0 ? deadlineMs : undefined
}

function headerOf (message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name]
  return Array.isArray(value) ? value[0] : value
}
