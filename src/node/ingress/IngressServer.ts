import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { ServiceRule } from '../../parts/configuration/Types.js'
import type { RequestFingerprint } from '../../parts/quarantine/RequestFingerprint.js'
import { Deadline } from '../../parts/retry/Deadline.js'
import type { Reason, ServiceName } from '../../parts/Types.js'
import { listenOn } from '../../runtime/Listen.js'
import { readHeader } from '../../runtime/RequestHeader.js'
import { Emitter } from '../../runtime/Emitter.js'
import type { Disposable } from '../../runtime/Types.js'
import { DEFAULT_RETRY_AFTER_MS } from '../Constants.js'
import { selectRequestHeaders } from '../EndToEndHeaders.js'
import type { Refusal } from '../Types.js'
import { readBody } from './BodyReader.js'
import { CallerConnections } from './CallerConnections.js'
import { refuseMalformedHead } from './MalformedHead.js'
import { IngressCall } from './IngressCall.js'
import type { CallSummary } from './IngressCall.js'
import type { RequestClassifier } from './RequestClassifier.js'
import type { ServiceBalancer } from './ServiceBalancer.js'
import { buildRawRefusal, sendRefusal } from './RefusalResponse.js'
import type { IngressContext, IngressRequest, TargetSource } from './Types.js'

/** Limits on the connections and requests of callers. */
export interface IngressLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
  readonly maxConnections: number
}

/** Request classifier and load balancer of one service. */
export interface IngressService {
  readonly classifier: RequestClassifier
  readonly balancer: ServiceBalancer
}

/** Finds services by their name. */
export interface ServiceDirectory {
  /** Version of the configuration in force; undefined until one is confirmed. */
  readonly version: number | undefined
  /** True while at-most-once requests may run. */
  readonly mayRunGuarded: boolean
  findService (name: ServiceName): IngressService | undefined
}

/** Header with the id that a caller gives its request, for the log. */
const REQUEST_ID_HEADER = 'x-request-id'

/** Status line for each error code of Node's HTTP parser; other codes get 400. */
const STATUS_BY_ERROR_CODE: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/**
 * HTTP/1.1 server for callers. Request bodies are read into memory, up to the lower of the service's and the node's
 * limit.
 */
export class IngressServer implements Disposable {
  private readonly _server: Server
  private readonly _connections: CallerConnections
  private readonly _ends = new Emitter<CallSummary>()
  private readonly _idle = new Emitter<void>()
  private _callsInFlight = 0
  private _closing = false

  public constructor (
    private readonly _limits: IngressLimits,
    private readonly _services: ServiceDirectory,
    private readonly _targets: TargetSource,
    private readonly _fingerprints: RequestFingerprint,
    private readonly _context: IngressContext
  ) {
    this._server = createServer({
      maxHeaderSize: _limits.maxHeaderBytes,
      headersTimeout: _limits.headerTimeoutMs,
      // Only the time for the head is limited, so that a slow upload of a body is not cut off.
      requestTimeout: 0,
      keepAliveTimeout: _limits.idleTimeoutMs,
      noDelay: true
    })
    this._server.maxConnections = _limits.maxConnections
    this._connections = new CallerConnections({ ..._context, server: this._server, requestIdHeader: REQUEST_ID_HEADER })
    this._server.on('request', (message, response) => this._onRequest(message, response))
    this._server.on('clientError', (error, socket) => this._onClientError(error, socket))
  }

  /** Fires when a call has been answered or refused, or its caller has disconnected. */
  public readonly onEnd = this._ends.event

  /** Fires when the last call in flight has ended. */
  public readonly onIdle = this._idle.event

  /** Number of calls whose request was read and whose answer has not ended. */
  public get inFlight (): number {
    return this._callsInFlight
  }

  /**
   * Starts to listen.
   * @returns The address in use.
   */
  public async listen (address: string): Promise<string> {
    return await listenOn(this._server, address)
  }

  /**
   * Stops accepting connections, and closes each once no request on it is read or answered. Resolves when all
   * connections have closed.
   */
  public async close (): Promise<void> {
    this._closing = true
    this._connections.recordStop()
    await this._connections.close(() => {})
  }

  /** Closes the listener and all connections at once. */
  public dispose (): void {
    this._connections.dispose()
  }

  private _onRequest (message: IncomingMessage, response: ServerResponse): void {
    if (refuseMalformedHead(message, response)) return
    if (this._closing) response.setHeader('connection', 'close')
    const name = readServiceName(message)
    const service = this._services.findService(name)
    if (service === undefined) {
      const reason = this._services.version === undefined ? 'stale-configuration' : 'service-unknown'
      this._refuse(message, response, reason)
      return
    }
    const limit = Math.min(service.classifier.rule.maxBodyBytes, this._limits.maxBodyBytes)
    readBody(message, limit, result => {
      if (result.type === 'whole') this._onBody(message, response, name, service, result.bytes)
      if (result.type === 'tooLarge') this._refuse(message, response, 'too-large')
    })
  }

  private _onBody (
    message: IncomingMessage, response: ServerResponse, name: ServiceName, service: IngressService, body: Buffer
  ): void {
    const request = this._buildRequest(message, name, service, body)
    const refusalReason = this._findRefusal(request, service.classifier.rule)
    if (refusalReason !== undefined) {
      this._refuse(message, response, refusalReason)
      return
    }
    this._callsInFlight++
    const onEnd = (summary: CallSummary): void => this._onCallEnd(summary)
    new IngressCall(request, response, service.balancer, this._targets, this._context, onEnd).begin()
  }

  private _buildRequest (
    message: IncomingMessage, name: ServiceName, { classifier }: IngressService, body: Buffer
  ): IngressRequest {
    const { rule } = classifier
    const method = message.method ?? 'GET'
    const target = message.url ?? '/'
    const key = readHeader(message, 'idempotency-key')
    const classified = classifier.classify(method, target)
    const unguarded = classified === 'guarded' && key === undefined && rule.keyless === 'run-unguarded'
    const nowMs = this._context.clock.nowMs()
    return {
      service: name,
      rule,
      method,
      target,
      headers: selectRequestHeaders(message.rawHeaders),
      body,
      kind: unguarded ? 'lookup' : classified,
      ...(key === undefined ? {} : { key }),
      fingerprint: this._fingerprints.of(name, method, target, body, body.length),
      deadlineAtMs: Deadline.fromHeader(readHeader(message, 'sassafras-deadline-ms'), rule.deadlineMs, nowMs).atMs,
      depth: Number(readHeader(message, 'sassafras-depth') ?? 0) || 0,
      version: this._services.version ?? 0
    }
  }

  private _findRefusal (request: IngressRequest, rule: ServiceRule): Reason | undefined {
    if (request.kind !== 'guarded') return undefined
    if (request.key === undefined && rule.keyless === 'refuse') return 'key-missing'
    return this._services.mayRunGuarded ? undefined : 'stale-configuration'
  }

  private _refuse (message: IncomingMessage, response: ServerResponse, reason: Reason): void {
    // The unread rest of the body must not be parsed as the next request.
    if (!message.complete) response.setHeader('connection', 'close')
    const refusal: Refusal = { disposition: 'not-run', reason, retryAfterMs: findRetryAfterMs(reason) }
    const call = `${this._context.incarnation}-${this._context.nextCallId()}`
    sendRefusal(response, refusal, call)
    this._ends.fire({ call, status: response.statusCode, disposition: 'not-run', reason, attempts: 0, durationMs: 0 })
  }

  private _onCallEnd (summary: CallSummary): void {
    this._callsInFlight--
    this._ends.fire(summary)
    if (this._callsInFlight === 0) this._idle.fire()
  }

  private _onClientError (error: Error & { code?: string }, socket: Duplex): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    socket.end(buildRawRefusal(STATUS_BY_ERROR_CODE[error.code ?? ''] ?? '400 Bad Request'))
  }
}

function readServiceName (message: IncomingMessage): ServiceName {
  const host = message.headers.host ?? ''
  const end = host.search(/[.:]/)
  return end < 0 ? host : host.slice(0, end)
}

const RETRYABLE_REASONS: ReadonlySet<Reason> = new Set(['stale-configuration'])

function findRetryAfterMs (reason: Reason): number {
  return RETRYABLE_REASONS.has(reason) ? DEFAULT_RETRY_AFTER_MS : 0
}
