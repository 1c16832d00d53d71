import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { selectEndToEnd } from '../node/EndToEndHeaders.js'
import { CallerConnections } from '../node/ingress/CallerConnections.js'
import { refuseMalformedHead } from '../node/ingress/MalformedHead.js'
import { CallerWaitEstimate } from '../parts/routing/CallerWaitEstimate.js'
import { DEFAULT_CALLER_LIMITS } from '../parts/routing/Constants.js'
import type { CallerLimits, Route, Workspace } from '../parts/routing/Types.js'
import { parseRequestTarget, type RequestTarget } from '../parts/routing/RequestTarget.js'
import type { RouteEntry, RouteTable } from '../parts/routing/RouteTable.js'
import type { BodyLease } from '../parts/transfer/BodyMemory.js'
import type { ServiceName } from '../parts/Types.js'
import type { KeyTable } from '../parts/workspaces/KeyTable.js'
import { WorkspaceUsage } from '../parts/workspaces/WorkspaceUsage.js'
import { computeConnectionLimit } from '../parts/transfer/ConnectionQueue.js'
import { computeKeyDigest } from '../runtime/Digest.js'
import { listenOn } from '../runtime/Listen.js'
import { readHeader } from '../runtime/RequestHeader.js'
import type { Disposable, Log, LogFields } from '../runtime/Types.js'
import { BodyIntake } from './BodyIntake.js'
import type { BodyResources } from './BodyTransfer.js'
import { NOT_READY_RETRY_AFTER_MS, RETRY_AFTER_JITTER, RETRY_AFTER_MAX_SHARE } from './Constants.js'
import { DEFAULT_DEADLINE_MS, readDeadlineMs } from './DeadlineHeader.js'
import { GatewayCall, type GatewayContext } from './GatewayCall.js'
import { AnswerSizeEstimate } from './AnswerSizeEstimate.js'
import { CallerResponder } from './CallerResponder.js'
import type { QuotaHost } from './QuotaHost.js'
import type { RouteNodeMetrics } from './RouteNodeMetrics.js'
import type {
  CallerWorkspace, GatewayReason, GatewayRequest, GatewayResult, HeaderNames, RoutedCall
} from './Types.js'

/** Largest header of a request that is accepted, in bytes; `maxHeaderBytes` of the configuration isn't enforced. */
const MAX_HEADER_BYTES = 64 * 1024

/** Interval at which connections whose head has not arrived in time are closed, in milliseconds; 30 s by default. */
const HEADER_CHECK_INTERVAL_MS = 500

/** Longest time that a timer of Node.js can wait, in milliseconds; operators may set longer limits. */
const MAX_TIMER_MS = 2 ** 31 - 1

/** Status line for a request that the HTTP parser rejects, by error code; other errors get 400. */
const STATUS_LINE_BY_ERROR_CODE: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/** What the gateway needs of its node. */
export interface GatewayOptions extends GatewayContext {
  readonly names: HeaderNames
  readonly log: Log
  /** Returns the service of the instance on this VM, where all requests originate. */
  readonly callerService: () => ServiceName
  readonly metrics: RouteNodeMetrics
  readonly quotas: QuotaHost
  /** Returns the call of a request that the instance on this VM runs now, if it runs one. */
  readonly findRunning: (requestId: string) => RoutedCall | undefined
  /** Returns whether this node is connected to a control replica, so that its configuration is current. */
  readonly isInTouch: () => boolean
  readonly bodies: BodyResources
  /** Most descriptors of this process, half of which the connections of callers may take; a default when absent. */
  readonly maxDescriptors?: number | undefined
}

/**
 * HTTP/1.1 proxy for the callers on this VM: it routes each request to an instance of a service and relays the answer.
 *
 * Memory: the body and the answer of each open request, at most `maxBodyBytes` and `MAX_ANSWER_BYTES`; `BodyMemory`
 * bounds the sum of the bodies.
 */
export class Gateway implements Disposable {
  private readonly _server: Server
  private readonly _connections: CallerConnections
  private readonly _responder: CallerResponder
  private readonly _intake: BodyIntake
  private readonly _droppedHeaders: ReadonlySet<string>
  private readonly _droppedWithKeys: ReadonlySet<string>
  private readonly _answerSizes = new AnswerSizeEstimate()
  private readonly _callerWaitEstimate = new CallerWaitEstimate()
  private readonly _workspaceUsage = new WorkspaceUsage()
  private _routeTable: RouteTable | undefined
  private _keys: KeyTable | undefined
  private _callerLimits: CallerLimits = DEFAULT_CALLER_LIMITS
  private _openRequestCount = 0
  /** True once the listener has closed for a shutdown, or its limit is reached. */
  private _isStopping = false
  /** When the listener is due to close, and when open requests are ended, in monotonic milliseconds. */
  private _shutdown = { closeAtMs: Infinity, limitAtMs: Infinity }
  private readonly _openCalls = new Set<GatewayCall>()

  public constructor (private readonly _options: GatewayOptions) {
    const { names } = _options
    this._droppedHeaders = new Set([names.deadlineMs, names.targetInstance, names.callerService])
    this._droppedWithKeys = new Set([...this._droppedHeaders, names.apiKey, names.workspace])
    this._server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
      headersTimeout: this._callerLimits.headerTimeoutMs,
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
      keepAliveTimeout: this._callerLimits.idleTimeoutMs,
      noDelay: true
    })
    const { bodies: { answers }, clock, log, maxDescriptors, metrics } = _options
    const limit = computeConnectionLimit(maxDescriptors)
    this._connections = new CallerConnections({
      server: this._server,
      requestIdHeader: names.requestId,
      clock,
      log,
      unwrittenBytes: response => this._responder.unwrittenBytes(response),
      limit,
      onGivenWay: state => {
        metrics.countConnectionGivenWay()
        log.info({ state, limit }, 'connection closed for a new one')
      }
    })
    this._responder = new CallerResponder(names.requestId, { answers, clock, log })
    this._intake = new BodyIntake(_options, this._responder)
    this._server.on('request', (message, response) => {
      this._contain(message, response, 503, () => this._onRequest(message, response))
    })
    this._server.on('clientError', (error, socket) => this._onClientError(error, socket))
  }

  /** Number of requests that were read and are not answered yet. */
  public get inFlight (): number {
    return this._openRequestCount
  }

  /** Starts to listen on `host:port`. */
  public async listen (address: string): Promise<void> {
    await listenOn(this._server, address)
  }

  /**
   * Applies a configuration to requests that arrive from now on.
   * @param table Routes to services.
   * @param limits Limits on the connections and requests of callers.
   * @param keys API keys in force; undefined when callers need none.
   */
  public apply (table: RouteTable, limits: CallerLimits, keys: KeyTable | undefined): void {
    this._routeTable = table
    this._keys = keys
    this._callerLimits = limits
    this._server.keepAliveTimeout = Math.min(limits.idleTimeoutMs, MAX_TIMER_MS)
    this._server.headersTimeout = Math.min(limits.headerTimeoutMs, MAX_TIMER_MS)
  }

  /**
   * Announces the shutdown to callers: from now on each answer closes its connection.
   * @param closeAtMs When `close` is due, in monotonic milliseconds.
   * @param limitAtMs When `endRequests` is due, in monotonic milliseconds.
   */
  public announceClose (closeAtMs: number, limitAtMs: number): void {
    this._shutdown = { closeAtMs, limitAtMs }
    this._connections.recordStop()
    this._responder.closeConnections()
  }

  /**
   * Closes the listener, and each connection once the requests on it are answered; further requests are refused.
   * Resolves when all connections have closed.
   */
  public async close (): Promise<void> {
    this._responder.closeConnections()
    await this._connections.close(() => { this._isStopping = true })
  }

  /** Answers all open requests: 503 where it is proved that nothing has run, otherwise 502. No more are passed on. */
  public endRequests (): void {
    this._isStopping = true
    for (const call of [...this._openCalls]) call.endWithoutAnswer('stopping')
  }

  /** Closes the listener and all connections at once. */
  public dispose (): void {
    this._connections.dispose()
  }

  private _onRequest (message: IncomingMessage, response: ServerResponse): void {
    if (refuseMalformedHead(message, response)) return
    const arrivedAtMs = this._options.clock.nowMs()
    this._responder.prepare(response)
    const table = this._routeTable
    if (table === undefined) {
      return this._refuseUnrouted(message, response, 503, 'no-configuration', this._notReadyRetryAfterMs(message))
    }
    const target = parseRequestTarget(message.url ?? '/', message.headers.host)
    const entry = table.find(target.host, target.path)
    if (entry === undefined) return this._refuseUnrouted(message, response, 404, 'no-route')
    const origin = this._identify(message, entry.route)
    if (origin === undefined) return this._refuseUnknownKey(message, response)
    if (this._refuseIfStopping(message, response, origin, entry.route)) return
    const request = { message, response, route: entry.route, maxBytes: this._callerLimits.maxBodyBytes }
    this._intake.read(request, (bytes, lease) => {
      if (this._refuseIfStopping(message, response, origin, entry.route)) return lease.release()
      let built: GatewayRequest | undefined
      this._contain(message, response, 503, () => {
        built = this._buildRequest(message, target, entry, table, origin, bytes, arrivedAtMs)
      })
      if (built === undefined) lease.release()
      else this._start(message, response, built, lease)
    }, () => this._refuseUnrouted(message, response, 413, 'body-too-large'))
  }

  /**
   * Handles a step of one request that changes no state of others: an unexpected error there ends this request only.
   * @param status Status that the caller then gets: 503 before the request can have run, otherwise 502.
   */
  private _contain (message: IncomingMessage, response: ServerResponse, status: number, handle: () => void): void {
    try {
      handle()
    } catch (error) {
      const requestId = readHeader(message, this._options.names.requestId)
      this._options.log.error({ requestId, error: (error as Error).stack }, 'request failed unexpectedly')
      try {
        this._responder.refuse(message, response, status, 'request-invalid', status === 503 ? 0 : undefined)
      } catch {
        response.destroy()
      }
    }
  }

  /**
   * Refuses a request that can't be passed on before the shutdown ends; nested calls belong to requests that still run.
   * @returns True when the request was refused.
   */
  private _refuseIfStopping (
    message: IncomingMessage, response: ServerResponse, { parent }: RequestOrigin, { timeoutMs }: Route
  ): boolean {
    if (parent !== undefined || !(this._isStopping || this._wouldBeCut(message, timeoutMs))) return false
    this._refuseUnrouted(message, response, 503, 'stopping', this._notReadyRetryAfterMs(message))
    return true
  }

  /** After the listener was due to close, a node that runs late may have no time left for the whole request. */
  private _wouldBeCut (message: IncomingMessage, timeoutMs: number): boolean {
    const nowMs = this._options.clock.nowMs()
    const { closeAtMs, limitAtMs } = this._shutdown
    if (nowMs <= closeAtMs) return false
    return nowMs + Math.min(readDeadlineMs(message, this._options.names.deadlineMs) ?? Infinity, timeoutMs) > limitAtMs
  }

  /** Returns where a request comes from, or undefined when it needs an API key and has none in force. */
  private _identify (message: IncomingMessage, { isPublic }: Route): RequestOrigin | undefined {
    const parent = this._findParent(readHeader(message, this._options.names.requestId) ?? '')
    const keys = this._keys
    if (parent !== undefined) return { parent, keys, workspace: workspaceOf(parent) }
    const key = keys === undefined ? undefined : readHeader(message, this._options.names.apiKey)
    const workspace = key === undefined ? undefined : keys?.find(computeKeyDigest(key))
    if (workspace !== undefined) return { parent, keys, workspace: toCallerWorkspace(workspace) }
    return keys === undefined || isPublic === true ? { parent, keys, workspace: undefined } : undefined
  }

  /** A node that has lost its control replica may not know a new key yet. */
  private _refuseUnknownKey (message: IncomingMessage, response: ServerResponse): void {
    this._options.metrics.countWorkspaceRefusal(undefined, 'unknown-key')
    if (this._options.isInTouch()) this._refuseUnrouted(message, response, 401, 'unknown-key')
    else this._refuseUnrouted(message, response, 503, 'unknown-key', this._notReadyRetryAfterMs(message))
  }

  private _refuseUnrouted (
    message: IncomingMessage, response: ServerResponse, status: number, reason: GatewayReason, retryAfterMs?: number
  ): void {
    const requestId = readHeader(message, this._options.names.requestId)
    this._options.log.info({ requestId, status, reason, retryAfterMs }, 'request refused')
    this._responder.refuse(message, response, status, reason, retryAfterMs)
  }

  /** Counts the use of a caller's request; a nested call has been counted with its parent. */
  private _withShareUsed (workspace: CallerWorkspace, nowMs: number): CallerWorkspace {
    const quotaShare = workspace.quota === undefined ? undefined : this._options.quotas.shareUsed(workspace.name)
    const shareUsed = this._workspaceUsage.take(workspace.name, quotaShare, nowMs)
    this._options.metrics.countWorkspaceRequest(workspace.name, shareUsed, nowMs)
    return { ...workspace, shareUsed }
  }

  /** Returns a delay within which a starting node usually has a configuration, at most a share of the deadline. */
  private _notReadyRetryAfterMs (message: IncomingMessage): number {
    const deadlineMs = readDeadlineMs(message, this._options.names.deadlineMs) ?? DEFAULT_DEADLINE_MS
    const jitterFactor = 1 - RETRY_AFTER_JITTER * this._options.random.next()
    return jitterFactor * Math.min(NOT_READY_RETRY_AFTER_MS, deadlineMs * RETRY_AFTER_MAX_SHARE)
  }

  private _buildRequest (
    message: IncomingMessage,
    target: RequestTarget,
    entry: RouteEntry,
    table: RouteTable,
    { parent, keys, workspace }: RequestOrigin,
    body: Uint8Array,
    arrivedAtMs: number
  ): GatewayRequest {
    const { names, callerService } = this._options
    const { route } = entry
    const deadlineMs = readDeadlineMs(message, names.deadlineMs)
    const waitedMs = deadlineMs === undefined
      ? 0
      : this._callerWaitEstimate.recordDeadline(route.name, deadlineMs, arrivedAtMs)
    const dropped = keys === undefined ? this._droppedHeaders : this._droppedWithKeys
    const headers = selectEndToEnd(message.rawHeaders, target.isAbsolute ? new Set([...dropped, 'host']) : dropped)
    if (target.isAbsolute) headers.push('host', target.host)
    headers.push(names.callerService, encodeHeaderValue(callerService()))
    if (workspace !== undefined) headers.push(names.workspace, encodeHeaderValue(workspace.name))
    const requestId = readHeader(message, names.requestId) ?? ''
    return {
      requestId,
      method: message.method ?? 'GET',
      target: target.originForm,
      headers,
      body,
      route,
      service: entry.nextService(),
      version: table.version,
      parentAttemptKind: parent?.attempt,
      workspace: parent === undefined && workspace !== undefined
        ? this._withShareUsed(workspace, arrivedAtMs)
        : workspace,
      deadlineMs: deadlineMs ?? DEFAULT_DEADLINE_MS,
      arrivedAtMs,
      objectiveAtMs: arrivedAtMs - waitedMs + route.latencyObjectiveMs,
      expectedBytes: body.length + this._answerSizes.expectedBytes(route.name)
    }
  }

  /** The id of a nested call is the id of the request that the instance runs, a dot, and a suffix of its own. */
  private _findParent (requestId: string): RoutedCall | undefined {
    const dot = requestId.lastIndexOf('.')
    return dot > 0 ? this._options.findRunning(requestId.slice(0, dot)) : undefined
  }

  private _start (
    message: IncomingMessage, response: ServerResponse, request: GatewayRequest, lease: BodyLease
  ): void {
    this._openRequestCount++
    this._options.metrics.countReceived()
    let ended = false
    const finish = (result: GatewayResult | undefined): void => {
      if (ended) return
      ended = true
      this._openCalls.delete(call)
      lease.release()
      credit.end(result === undefined ? call.sends === 0 : result.type === 'refused')
      if (result !== undefined) {
        this._contain(message, response, 502, () => this._responder.send(message, response, result))
      }
      if (result?.type === 'answer') this._answerSizes.recordAnswer(request.route.name, result.answer.body.length)
      this._recordEnd(request, call, result)
      this._openRequestCount--
    }
    const credit = this._options.quotas.openCredit(request)
    const call = new GatewayCall(request, this._options, finish)
    this._openCalls.add(call)
    response.once('close', () => {
      if (ended) return
      call.cancel()
      finish(undefined)
    })
    credit.request(() => call.start(), refusal => {
      call.cancel()
      finish(refusal)
    })
  }

  private _recordEnd (request: GatewayRequest, call: GatewayCall, result: GatewayResult | undefined): void {
    const { requestId, route, service, version, arrivedAtMs, parentAttemptKind, workspace } = request
    const tookMs = Math.round(this._options.clock.nowMs() - arrivedAtMs)
    const { sends, declines, lastNode, hedge } = call
    const { name, priority, shareUsed } = workspace ?? {}
    const nested = parentAttemptKind !== undefined
    const caller = { workspace: name, workspacePriority: priority, shareUsed }
    const origin = { requestId, route: route.name, service, version, nested, ...caller }
    const bodyBytes = route.kind === 'upload' ? request.body.length : undefined
    const fields = { ...origin, sends, declines, hedge, node: lastNode, tookMs, bodyBytes }
    const outcome = OUTCOME_BY_RESULT[result?.type ?? 'gone']
    this._options.metrics.countEnded(outcome, tookMs, sends, declines)
    if (hedge !== undefined) this._options.metrics.countHedge(hedge)
    if (result?.type !== 'answer' && result?.reason === 'quarantined') this._options.metrics.countQuarantined()
    const answered = this._connections.isStopping ? 'answered while stopping' : 'answered'
    if (result?.type === 'answer') this._options.log.info({ ...fields, status: result.answer.status }, answered)
    else if (result?.type === 'refused' || result?.type === 'limited') this._recordRefusal(request, result, fields)
    else this._options.log.info({ ...fields, outcome, reason: result?.reason ?? 'caller-gone' }, 'not answered')
  }

  private _recordRefusal (
    request: GatewayRequest,
    { reason, retryAfterMs }: Extract<GatewayResult, { type: 'refused' | 'limited' }>,
    fields: LogFields
  ): void {
    const { workspace, parentAttemptKind, arrivedAtMs } = request
    const { log, metrics, clock } = this._options
    log.info({ ...fields, outcome: 'refused', reason, retryAfterMs: Math.round(retryAfterMs) }, 'not answered')
    if (workspace === undefined || parentAttemptKind !== undefined) return
    this._workspaceUsage.giveBack(workspace.name, arrivedAtMs, clock.nowMs())
    metrics.countWorkspaceRefusal(workspace.name, reason)
  }

  private _onClientError (error: Error & { code?: string }, socket: Duplex): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const status = STATUS_LINE_BY_ERROR_CODE[error.code ?? ''] ?? '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`)
  }
}

/** Where a request comes from. */
interface RequestOrigin {
  /** Call whose run makes this nested call. */
  readonly parent: RoutedCall | undefined
  /** API keys in force when the request arrived; undefined when callers need none. */
  readonly keys: KeyTable | undefined
  readonly workspace: CallerWorkspace | undefined
}

function toCallerWorkspace ({ name, priority = 0, ratePerS = 0, burst = 0 }: Workspace): CallerWorkspace {
  return ratePerS === 0 ? { name, priority } : { name, priority, quota: { ratePerS, burst } }
}

/** A nested call has no quota of its own: its parent has used it. */
function workspaceOf ({ workspace, workspacePriority = 0, shareUsed }: RoutedCall): CallerWorkspace | undefined {
  if (workspace === undefined) return undefined
  return { name: workspace, priority: workspacePriority, ...(shareUsed === undefined ? {} : { shareUsed }) }
}

const OUTCOME_BY_RESULT = {
  answer: 'answered', refused: 'refused', limited: 'refused', failed: 'failed', gone: 'gone'
} as const

/** Node.js writes each character of a header as one byte and throws on others, so it is given the bytes of UTF-8. */
function encodeHeaderValue (text: string): string {
  return Buffer.from(text).toString('latin1')
}
