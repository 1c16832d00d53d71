import { request as sendRequest } from 'node:http'
import type { Agent, ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { findHeader, selectEndToEnd } from '../node/EndToEndHeaders.js'
import { areWritableHeaders, isWritableStatus, isWritableTarget } from '../node/HeadSyntax.js'
import { isInstanceId } from '../parts/instances/EntryChecks.js'
import type { InstanceIdentity } from '../parts/instances/InstanceRegistry.js'
import { isAtMostOnce } from '../parts/routing/RouteKinds.js'
import { AnswerMemory, type AnswerLease } from '../parts/transfer/AnswerMemory.js'
import { parseAddress } from '../runtime/Address.js'
import { ByteCollector } from '../runtime/ByteCollector.js'
import type { Clock, Disposable } from '../runtime/Types.js'
import type { ColdNotice } from './ColdHeader.js'
import {
  AT_MOST_ONCE_MAX_IDLE_MS, HEALTH_CHECK_TIMEOUT_MS, INSTANCE_CONNECT_TIMEOUT_MS, LOAD_QUERY_TIMEOUT_MS,
  MAX_ANSWER_BYTES, MAX_QUERY_ANSWER_BYTES
} from './Constants.js'
import { InstanceAgent } from './InstanceAgent.js'
import { parseLoadHeader } from './LoadHeader.js'
import type { InstanceLoad } from './LoadHeader.js'
import type { FailureProof, FailureReason, HeaderNames, RoutedAnswer, RoutedCall, RoutedCallHandle } from './Types.js'

/** Receives the outcome of one request to the instance: exactly one of the first two methods is called, once. */
export interface InstanceListener {
  onAnswer (answer: RoutedAnswer): void
  onFailure (proof: FailureProof, reason: FailureReason, detail: string): void
  /** Called when an answer reports the load of the instance. */
  onLoad (load: InstanceLoad): void
  /** Called before the outcome for each answer that belongs to the request, with its header for the request limit. */
  onRequestLimit (header: string | undefined): void
  /** Called before the outcome when an answer that belongs to the request says that the instance is about to stop. */
  onLeaving (): void
  /** Returns whether the request may be sent once more; it then counts as a further request to the instance. */
  mayResend (): boolean
}

/** Result of a health check that succeeded. */
export interface InstanceHealth {
  readonly id: string
  readonly load: InstanceLoad | undefined
}

/** Kind of the calls that may be sent again when their connection breaks. */
const RESENDABLE_KIND = 'idempotent'

/** Value of the header with which an instance says that it is about to stop. */
const LEAVING = '1'

/** Misdirected Request: another instance than the target listens at the address. */
const MISDIRECTED_STATUS = 421

/**
 * HTTP/1.1 client of the instance on the same VM. An answer is valid only when it is complete, repeats the id of the
 * request, is signed if its status is 2xx, and has no content encoding. A rejection ends its connection, and may lack
 * the id on a new one.
 */
export class InstanceClient implements Disposable {
  private readonly _agent = new InstanceAgent()
  /** Separate, since a load query must not wait for a connection that is used by a run. */
  private readonly _loadQueryAgent = new InstanceAgent()
  private readonly _host: string
  private readonly _port: number

  /**
   * @param address Where the instance listens, `host:port`.
   * @param _names Header names.
   * @param _answers Accounts for the answers that are read.
   */
  public constructor (
    address: string,
    private readonly _names: HeaderNames,
    private readonly _clock: Clock,
    private readonly _answers = new AnswerMemory(undefined)
  ) {
    const { host, port } = parseAddress(address)
    this._host = host
    this._port = port
  }

  /**
   * Sends one call.
   * @param instance Id of the instance that must run it; any other instance rejects it.
   * @param timeoutMs Time until the caller stops waiting, in milliseconds.
   */
  public run (call: RoutedCall, instance: string, timeoutMs: number, listener: InstanceListener): RoutedCallHandle {
    if (isAtMostOnce(call.kind)) this._agent.closeIdleSince(performance.now() - AT_MOST_ONCE_MAX_IDLE_MS)
    const deadlineAtMs = this._clock.nowMs() + timeoutMs
    const openRequest = (): ClientRequest => sendRequest({
      agent: this._agent,
      host: this._host,
      port: this._port,
      method: call.method,
      path: call.target,
      headers: this._buildHeaders(call, instance, deadlineAtMs) as unknown as Record<string, string>
    })
    const wasReset = ({ socket }: ClientRequest): boolean => this._agent.wasReset(socket)
    return new InstanceExchange(
      call, deadlineAtMs, listener, this._names, this._clock, this._answers, openRequest, wasReset
    )
  }

  /**
   * Checks the health of the instance on a connection of its own.
   * @param path Path of the health check.
   * @param onResult Called once; without health unless the instance answers in time that it is healthy, and without a
   * notice unless it answers in time.
   */
  public checkHealth (
    path: string, onResult: (health: InstanceHealth | undefined, notice: ColdNotice | undefined) => void
  ): void {
    this._query(path, false, HEALTH_CHECK_TIMEOUT_MS, response => {
      const id = response?.headers[this._names.instanceId]
      const isHealthy = response?.statusCode === 200 && isInstanceId(id)
      onResult(isHealthy ? { id, load: this._readLoad(response) } : undefined, this._readColdNotice(response))
    })
  }

  /**
   * Asks the instance who it is, on a connection of its own.
   * @param path Path of the health check.
   * @param onResult Called once; without an identity unless the instance names its id in time, and without a notice
   * unless it answers in time.
   */
  public queryIdentity (
    path: string, onResult: (identity: InstanceIdentity | undefined, notice: ColdNotice | undefined) => void
  ): void {
    this._query(path, false, HEALTH_CHECK_TIMEOUT_MS, response => {
      const id = response?.headers[this._names.instanceId]
      const identity = isInstanceId(id) ? { id, isHealthy: response?.statusCode === 200 } : undefined
      onResult(identity, this._readColdNotice(response))
    })
  }

  /**
   * Checks whether anything listens at the address of the instance.
   * @param onResult Called once; with true when a connection is refused, with false also when it is not known in time.
   */
  public checkListener (onResult: (isRefused: boolean) => void): void {
    const socket = connect({ host: this._host, port: this._port, timeout: INSTANCE_CONNECT_TIMEOUT_MS })
    let isRefused = false
    socket.once('error', (error: Error & { code?: string }) => { isRefused = error.code === 'ECONNREFUSED' })
    socket.once('connect', () => socket.destroy())
    socket.once('timeout', () => socket.destroy())
    socket.once('close', () => onResult(isRefused))
  }

  /**
   * Queries the load of the instance, healthy or not, on a kept connection.
   * @param path Path of the health check.
   * @param onResult Called once; without a load when none is reported in time, and without a notice when no answer
   * comes in time.
   */
  public queryLoad (
    path: string,
    onResult: (load: InstanceLoad | undefined, notice: ColdNotice | undefined) => void,
    timeoutMs = LOAD_QUERY_TIMEOUT_MS
  ): void {
    this._query(path, this._loadQueryAgent, timeoutMs, response => {
      onResult(response === undefined ? undefined : this._readLoad(response), this._readColdNotice(response))
    })
  }

  /** Closes all idle connections, after one of them was found unresponsive. */
  public closeIdleConnections (): void {
    this._agent.closeIdleSince(Infinity)
  }

  /** Closes all connections at once. */
  public dispose (): void {
    this._agent.destroy()
    this._loadQueryAgent.destroy()
  }

  private _query (
    path: string, agent: Agent | false, timeoutMs: number, onResponse: (response: IncomingMessage | undefined) => void
  ): void {
    if (!isWritableTarget(path)) return process.nextTick(() => onResponse(undefined))
    const request = sendRequest({ host: this._host, port: this._port, path, agent })
    let done = false
    const finish = (response: IncomingMessage | undefined): void => {
      if (done) return
      done = true
      if (response === undefined || agent === false) request.destroy()
      else readToEnd(request, response)
      onResponse(response)
    }
    const timer = setTimeout(() => {
      request.destroy()
      finish(undefined)
    }, timeoutMs)
    request.once('close', () => clearTimeout(timer))
    request.on('error', () => finish(undefined))
    request.on('response', response => finish(isWritableStatus(response.statusCode) ? response : undefined))
    request.end()
  }

  private _readLoad ({ headers }: IncomingMessage): InstanceLoad | undefined {
    return parseLoadHeader(headers[this._names.load] as string | undefined)
  }

  private _readColdNotice (response: IncomingMessage | undefined): ColdNotice | undefined {
    if (response === undefined) return undefined
    const { [this._names.instanceId]: instance, [this._names.coldMs]: header } = response.headers
    return { instance: instance as string | undefined, header: header as string | undefined }
  }

  private _buildHeaders (call: RoutedCall, instance: string, deadlineAtMs: number): string[] {
    const headers = call.headers.slice()
    const leftMs = Math.max(1, Math.floor(deadlineAtMs - this._clock.nowMs()))
    headers.push(this._names.deadlineMs, String(leftMs), this._names.targetInstance, instance)
    const hasContentLength = findHeader(headers, 'content-length') !== undefined
    if (!hasContentLength && call.body.length > 0) headers.push('content-length', String(call.body.length))
    headers.push('connection', 'keep-alive')
    return headers
  }
}

/** Reads the body of a query's answer, so that the connection can be kept; a larger one than usual closes it. */
function readToEnd (request: ClientRequest, response: IncomingMessage): void {
  let receivedBytes = 0
  response.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length
    if (receivedBytes > MAX_QUERY_ANSWER_BYTES) request.destroy()
  })
}

/** One request to the instance and its answer. */
class InstanceExchange implements RoutedCallHandle {
  private _request: ClientRequest
  private _timer: NodeJS.Timeout | undefined
  private _isConnected = false
  /** True once the request was sent a second time or an answer has begun. */
  private _isResendRuledOut = false
  /** True once the request was sent a second time: whatever its outcome, the first one may have run. */
  private _wasResent = false
  private _isEnded = false
  /** Memory of the answer that is being read. */
  private _lease: AnswerLease | undefined

  public constructor (
    private readonly _call: RoutedCall,
    private readonly _deadlineAtMs: number,
    private readonly _listener: InstanceListener,
    private readonly _names: HeaderNames,
    private readonly _clock: Clock,
    private readonly _answers: AnswerMemory,
    private readonly _openRequest: () => ClientRequest,
    private readonly _wasReset: (request: ClientRequest) => boolean
  ) {
    this._request = this._send()
  }

  public cancel (): void {
    this._end()
    this._lease?.release()
    this._request.destroy()
  }

  private _send (): ClientRequest {
    const request = this._openRequest()
    request.once('socket', socket => {
      this._isConnected = !socket.connecting
      if (this._isConnected) return this._startTimer(this._remainingMs())
      this._startTimer(Math.min(INSTANCE_CONNECT_TIMEOUT_MS, this._remainingMs()))
      socket.once('connect', () => {
        this._isConnected = true
        this._startTimer(this._remainingMs())
      })
    })
    request.on('error', error => this._onError(request, error))
    request.once('response', response => this._onResponse(request, response))
    request.end(this._call.body.length > 0 ? this._call.body : undefined)
    return request
  }

  private _remainingMs (): number {
    return this._deadlineAtMs - this._clock.nowMs()
  }

  private _startTimer (ms: number): void {
    clearTimeout(this._timer)
    if (this._isEnded) return
    this._timer = setTimeout(() => this._onTimeout(), Math.max(1, ms))
  }

  private _onTimeout (): void {
    if (this._isConnected) this._fail('unknown', 'timeout', 'no answer within the deadline')
    else this._fail('unsent', 'instance-unreachable', 'connect timed out')
  }

  private _onError (request: ClientRequest, error: Error): void {
    if (this._isEnded || request !== this._request) return
    // The instance has closed the kept connection meanwhile; most often the request never reached it.
    const isResendable = request.reusedSocket && !this._isResendRuledOut && this._call.kind === RESENDABLE_KIND
    if (isResendable && this._listener.mayResend()) {
      this._isResendRuledOut = true
      this._wasResent = true
      this._request = this._send()
      return
    }
    if (this._isConnected) this._fail('unknown', 'instance-lost', error.message)
    else this._fail('unsent', 'instance-unreachable', error.message)
  }

  private _onResponse (request: ClientRequest, response: IncomingMessage): void {
    const { statusCode } = response
    // No answer in HTTP, so that its headers say nothing either, not even that the request was rejected.
    if (!isWritableStatus(statusCode)) return this._fail('unknown', 'answer-invalid', `status ${statusCode}`)
    const announcedBytes = Number(response.headers['content-length'] ?? 0)
    const isAnnounced = announcedBytes > 0 && announcedBytes <= MAX_ANSWER_BYTES
    const body = new ByteCollector(isAnnounced ? announcedBytes : undefined)
    let receivedBytes = 0
    this._isResendRuledOut = true
    const load = parseLoadHeader(response.headers[this._names.load] as string | undefined)
    if (load !== undefined) this._listener.onLoad(load)
    // A faulty instance may write more after such an answer, which would reach the next request on the connection.
    if (this._isRejection(response) || !isWritableHead(response)) request.shouldKeepAlive = false
    // The chunk for which there is no room; the connection is not read meanwhile.
    let waiting: Buffer | undefined
    const take = (chunk: Buffer): void => {
      const hasRoom = lease.tryGrow(chunk.length)
      waiting = hasRoom ? undefined : chunk
      if (hasRoom) body.add(chunk)
      else response.pause()
    }
    const lease = this._answers.open({
      onRoom: () => {
        if (waiting !== undefined) take(waiting)
        if (waiting === undefined) response.resume()
      }
    })
    this._lease = lease
    response.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length
      if (receivedBytes > MAX_ANSWER_BYTES) this._fail('unknown', 'answer-invalid', 'answer is larger than the limit')
      else take(chunk)
    })
    response.on('error', error => this._fail('unknown', 'instance-lost', error.message))
    response.once('close', () => {
      // A body that ends with its connection counts as complete also when this side has closed the connection.
      if (!this._isEnded) this._onBodyEnd(request, response, body)
      lease.release()
    })
  }

  private _onBodyEnd (request: ClientRequest, response: IncomingMessage, body: ByteCollector): void {
    const isComplete = response.complete && (isFramed(response) || !this._wasReset(request))
    if (isComplete) this._validateAnswer(request, response, body.join())
    else this._fail('unknown', 'instance-lost', 'connection closed before the answer was complete')
  }

  private _validateAnswer (request: ClientRequest, response: IncomingMessage, body: Buffer): void {
    const status = response.statusCode ?? 0
    const { headers } = response
    if (headers[this._names.requestId] !== this._call.requestId) {
      // A rejection may lack the id, but must not carry another one, nor belong to an earlier request.
      const isUnnamed = headers[this._names.requestId] === undefined && !request.reusedSocket
      const isProvenRejection = isUnnamed && this._isRejection(response)
      if (!isProvenRejection) return this._fail('unknown', 'answer-foreign', 'answer does not repeat the id of the request')
    }
    this._reportNotices(headers)
    if (this._isRejection(response)) {
      const reason = status === MISDIRECTED_STATUS ? 'instance-replaced' : 'instance-rejected'
      return this._fail('rejected', reason, `status ${status}`)
    }
    const isSigned = headers[this._names.signature] !== undefined
    const isEncoded = headers['content-encoding'] !== undefined
    if (!isWritableHead(response)) {
      return this._fail('unknown', 'answer-invalid', `status ${status} with a malformed head`)
    }
    if ((status < 300 && !isSigned) || isEncoded) {
      return this._fail('unknown', 'answer-invalid', `status ${status}${isSigned ? '' : ' without a signature'}`)
    }
    this._end()
    // The instance has answered without reading the whole body, so the connection can't be used again.
    if (this._call.kind === 'upload' && !this._request.writableFinished) this._request.destroy()
    this._listener.onAnswer({ status, headers: selectEndToEnd(response.rawHeaders, REPLACED_HEADERS), body })
  }

  private _reportNotices (headers: IncomingHttpHeaders): void {
    this._listener.onRequestLimit(headers[this._names.requestLimit] as string | undefined)
    if (headers[this._names.leaving] === LEAVING) this._listener.onLeaving()
  }

  private _isRejection ({ statusCode, headers }: IncomingMessage): boolean {
    return headers[this._names.notExecuted] !== undefined || statusCode === MISDIRECTED_STATUS
  }

  private _fail (proof: FailureProof, reason: FailureReason, detail: string): void {
    if (this._isEnded) return
    this._end()
    this._lease?.release()
    this._request.destroy()
    this._listener.onFailure(this._wasResent ? 'unknown' : proof, reason, detail)
  }

  private _end (): void {
    this._isEnded = true
    clearTimeout(this._timer)
  }
}

/** Headers that are dropped from an answer; its length is set again from the body that was read. */
const REPLACED_HEADERS: ReadonlySet<string> = new Set(['content-length'])

/** Returns whether the head of an answer can be written to a caller. */
function isWritableHead ({ statusCode, rawHeaders }: IncomingMessage): boolean {
  return isWritableStatus(statusCode) && areWritableHeaders(rawHeaders)
}

/** Returns whether the headers of an answer delimit its body; otherwise the body ends with the connection. */
function isFramed ({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}
