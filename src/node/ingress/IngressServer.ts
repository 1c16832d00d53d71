import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { ServiceRule } from '../../parts/configuration/Types.js'
import type { RequestFingerprint } from '../../parts/quarantine/RequestFingerprint.js'
import { Deadline } from '../../parts/retry/Deadline.js'
import type { Reason, ServiceName } from '../../parts/Types.js'
import { parseAddress } from '../../platform/Address.js'
import { Emitter } from '../../platform/Emitter.js'
import type { Disposable } from '../../platform/Types.js'
import { DEFAULT_RETRY_AFTER_MS } from '../Constants.js'
import { selectRequestHeaders } from '../EndToEndHeaders.js'
import type { Refusal } from '../Types.js'
import { readBody } from './BodyReader.js'
import { IngressCall } from './IngressCall.js'
import type { CallEnd } from './IngressCall.js'
import type { RequestClassifier } from './RequestClassifier.js'
import type { ServiceLane } from './ServiceLane.js'
import { buildRawRefusal, sendSystemAnswer } from './SystemAnswer.js'
import type { IngressContext, IngressRequest, TargetSource } from './Types.js'

/** Limits on callers' connections. */
export interface IngressLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
  readonly maxConnections: number
}

/** One service as the ingress side needs it. */
export interface IngressService {
  readonly classifier: RequestClassifier
  readonly lane: ServiceLane
}

/** Configuration and lanes by service. */
export interface ServiceDirectory {
  /** Version in force; undefined while nothing is confirmed. */
  readonly version: number | undefined
  /** True while guarded work may run. */
  readonly mayRunGuarded: boolean
  findService (name: ServiceName): IngressService | undefined
}

const BAD_REQUEST_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/** Serves callers over HTTP/1.1. Bodies of requests are held in memory up to the service's limit. */
export class IngressServer implements Disposable {
  private readonly server: Server
  private readonly ends = new Emitter<CallEnd>()
  private readonly emptied = new Emitter<void>()
  private openCalls = 0
  private closing = false

  public constructor (
    private readonly limits: IngressLimits,
    private readonly services: ServiceDirectory,
    private readonly targets: TargetSource,
    private readonly fingerprints: RequestFingerprint,
    private readonly context: IngressContext
  ) {
    this.server = createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: 0,
      keepAliveTimeout: limits.idleTimeoutMs,
      noDelay: true
    })
    this.server.maxConnections = limits.maxConnections
    this.server.on('request', (message, response) => this.handleRequest(message, response))
    this.server.on('clientError', (error, socket) => this.handleClientError(error, socket))
  }

  /** Fires when a call has ended. */
  public readonly onEnd = this.ends.event

  /** Fires when the last open call has ended. */
  public readonly onEmpty = this.emptied.event

  /** Calls that were read and are not answered yet. */
  public get inFlight (): number {
    return this.openCalls
  }

  /**
   * Starts to listen.
   * @returns The address in use.
   */
  public async listen (address: string): Promise<string> {
    const { host, port } = parseAddress(address)
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    const bound = this.server.address()
    return typeof bound === 'object' && bound !== null ? `${host}:${bound.port}` : address
  }

  /** Takes no new connections, closes idle ones, and lets calls in flight end. */
  public close (): void {
    this.closing = true
    this.server.close()
    this.server.closeIdleConnections()
  }

  /** Ends everything at once. */
  public dispose (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private handleRequest (message: IncomingMessage, response: ServerResponse): void {
    if (this.closing) response.setHeader('connection', 'close')
    const name = serviceOf(message)
    const service = this.services.findService(name)
    if (service === undefined) {
      const reason = this.services.version === undefined ? 'stale-configuration' : 'service-unknown'
      this.refuse(message, response, reason)
      return
    }
    const limit = Math.min(service.classifier.rule.maxBodyBytes, this.limits.maxBodyBytes)
    readBody(message, limit, result => {
      if (result.type === 'whole') this.handleBody(message, response, name, service, result.bytes)
      if (result.type === 'tooLarge') this.refuse(message, response, 'too-large')
    })
  }

  private handleBody (
    message: IncomingMessage, response: ServerResponse, name: ServiceName, service: IngressService, body: Buffer
  ): void {
    const request = this.buildRequest(message, name, service, body)
    const refused = this.findRefusal(request, service.classifier.rule)
    if (refused !== undefined) {
      this.refuse(message, response, refused)
      return
    }
    this.openCalls++
    const onEnd = (end: CallEnd): void => this.handleEnd(end)
    new IngressCall(request, response, service.lane, this.targets, this.context, onEnd).begin()
  }

  private buildRequest (
    message: IncomingMessage, name: ServiceName, { classifier }: IngressService, body: Buffer
  ): IngressRequest {
    const { rule } = classifier
    const method = message.method ?? 'GET'
    const target = message.url ?? '/'
    const key = headerOf(message, 'idempotency-key')
    const classified = classifier.classify(method, target)
    const unguarded = classified === 'guarded' && key === undefined && rule.keyless === 'run-unguarded'
    const nowMs = this.context.clock.nowMs()
    return {
      service: name,
      rule,
      method,
      target,
      headers: selectRequestHeaders(message.rawHeaders),
      body,
      kind: unguarded ? 'lookup' : classified,
      ...(key === undefined ? {} : { key }),
      fingerprint: this.fingerprints.of(name, method, target, body, body.length),
      deadlineAtMs: Deadline.fromHeader(headerOf(message, 'sassafras-deadline-ms'), rule.deadlineMs, nowMs).atMs,
      depth: Number(headerOf(message, 'sassafras-depth') ?? 0) || 0,
      version: this.services.version ?? 0
    }
  }

  private findRefusal (request: IngressRequest, rule: ServiceRule): Reason | undefined {
    if (request.kind !== 'guarded') return undefined
    if (request.key === undefined && rule.keyless === 'refuse') return 'key-missing'
    return this.services.mayRunGuarded ? undefined : 'stale-configuration'
  }

  private refuse (message: IncomingMessage, response: ServerResponse, reason: Reason): void {
    // The rest of a body that won't be read must not be taken for the next request.
    if (!message.complete) response.setHeader('connection', 'close')
    const refusal: Refusal = { disposition: 'not-run', reason, retryAfterMs: retryAfterOf(reason) }
    const call = `${this.context.incarnation}-${this.context.nextCall()}`
    sendSystemAnswer(response, refusal, call)
    this.ends.fire({ call, status: response.statusCode, disposition: 'not-run', reason, attempts: 0, durationMs: 0 })
  }

  private handleEnd (end: CallEnd): void {
    this.openCalls--
    this.ends.fire(end)
    if (this.openCalls === 0) this.emptied.fire()
  }

  private handleClientError (error: Error & { code?: string }, socket: Duplex): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    socket.end(buildRawRefusal(BAD_REQUEST_STATUS[error.code ?? ''] ?? '400 Bad Request'))
  }
}

function serviceOf (message: IncomingMessage): ServiceName {
  const host = message.headers.host ?? ''
  const end = host.search(/[.:]/)
  return end < 0 ? host : host.slice(0, end)
}

function headerOf (message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name]
  return Array.isArray(value) ? value[0] : value
}

const RETRY_LATER: ReadonlySet<Reason> = new Set(['stale-configuration'])

function retryAfterOf (reason: Reason): number {
  return RETRY_LATER.has(reason) ? DEFAULT_RETRY_AFTER_MS : 0
}
