import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AnswerMemory } from '../parts/transfer/AnswerMemory.js'
import { readHeader } from '../runtime/RequestHeader.js'
import type { Clock, Log } from '../runtime/Types.js'
import { ANSWER_PIECE_BYTES, REFUSED_BODY_LINGER_MS } from './Constants.js'
import type { GatewayReason, GatewayResult, RoutedAnswer } from './Types.js'

const MS_PER_SECOND = 1000

/** What the answers of a node to its callers share. */
export interface AnswerResources {
  readonly answers: AnswerMemory
  readonly clock: Clock
  readonly log: Log
}

/**
 * Writes the answers and the refusals of a node to its callers. A caller that takes nothing of a large answer, while
 * others need the memory, loses its connection.
 */
export class CallerResponder {
  private _isClosing = false
  /** Bytes of answers in pieces that are not written yet. */
  private readonly _unwrittenBytes = new WeakMap<ServerResponse, number>()

  /**
   * @param _requestIdHeader Name of the header with the id of a request, which refusals repeat.
   * @param _resources Memory of the answers.
   */
  public constructor (private readonly _requestIdHeader: string, private readonly _resources: AnswerResources) {}

  /** Returns the bytes of an answer that its connection has not been given yet. */
  public unwrittenBytes (response: ServerResponse): number {
    return this._unwrittenBytes.get(response) ?? 0
  }

  /** From now on each answer closes its connection. */
  public closeConnections (): void {
    this._isClosing = true
  }

  /** Prepares the response to a request that has arrived. */
  public prepare (response: ServerResponse): void {
    if (this._isClosing) response.setHeader('connection', 'close')
  }

  /** Writes the result of a request: 503 and 429 only where nothing has run. */
  public send (message: IncomingMessage, response: ServerResponse, result: GatewayResult): void {
    if (result.type === 'answer') return this._sendAnswer(message, response, result.answer)
    if (result.type === 'limited') return this.refuse(message, response, 429, result.reason, result.retryAfterMs)
    if (result.type === 'refused') return this.refuse(message, response, 503, result.reason, result.retryAfterMs)
    this.refuse(message, response, result.timedOut ? 504 : 502, result.reason)
  }

  private _sendAnswer (message: IncomingMessage, response: ServerResponse, answer: RoutedAnswer): void {
    if (NOT_EXECUTED_STATUSES.has(answer.status)) {
      // These statuses guarantee that the request has not run, which only a proof by the instance could show.
      return this.refuse(message, response, 502, 'answer-invalid')
    }
    const headers = answer.headers.slice()
    const hasBody = !isBodiless(message, answer.status)
    if (hasBody) headers.push('content-length', String(answer.body.length))
    if (this._isClosing) headers.push('connection', 'close')
    response.writeHead(answer.status, headers)
    if (hasBody && answer.body.length > ANSWER_PIECE_BYTES) this._sendInPieces(message, response, answer.body)
    else response.end(answer.body)
  }

  /** Each piece that the operating system has taken is progress of the caller. */
  private _sendInPieces (message: IncomingMessage, response: ServerResponse, body: Uint8Array): void {
    const { answers, clock, log } = this._resources
    const lease = answers.open({
      onCut: () => {
        const requestId = readHeader(message, this._requestIdHeader)
        log.info({ requestId, bytes: body.length }, 'answer not read, connection closed')
        response.destroy()
      }
    })
    let start = 0
    const write = (): void => {
      lease.recordProgress(clock.nowMs())
      while (!response.destroyed) {
        const piece = body.subarray(start, start + ANSWER_PIECE_BYTES)
        start += piece.length
        this._unwrittenBytes.set(response, body.length - start)
        if (start >= body.length) {
          response.end(piece)
          return
        }
        if (!response.write(piece)) return
      }
    }
    response.on('drain', () => { if (start < body.length) write() })
    response.once('close', () => lease.release())
    write()
    lease.grow(body.length, clock.nowMs())
  }

  /**
   * Writes a refusal.
   * @param retryAfterMs Delay after which the caller may come back; none when absent.
   */
  public refuse (
    message: IncomingMessage, response: ServerResponse, status: number, reason: GatewayReason, retryAfterMs?: number
  ): void {
    if (response.headersSent || response.destroyed) return
    // The unread rest of a body must not be parsed as the next request.
    if (!message.complete) response.setHeader('connection', 'close')
    const requestId = readHeader(message, this._requestIdHeader)
    if (requestId !== undefined) response.setHeader(this._requestIdHeader, requestId)
    if (retryAfterMs !== undefined) response.setHeader('retry-after', (retryAfterMs / MS_PER_SECOND).toFixed(3))
    const text = JSON.stringify({ reason, notRun: status === 503 || status === 429 })
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    if (message.complete || !LINGERING_REASONS.has(reason)) response.end(text)
    else endAfterBody(message, response, text)
  }
}

/** Reasons to refuse a request whose body is still arriving. */
const LINGERING_REASONS: ReadonlySet<GatewayReason> = new Set(['body-memory', 'body-late'])

/** Sends a refusal at once, and ends the response, which closes the connection, when the body has been discarded. */
function endAfterBody (message: IncomingMessage, response: ServerResponse, text: string): void {
  const timer = setTimeout(() => message.socket.destroy(), REFUSED_BODY_LINGER_MS)
  message.once('end', () => response.end())
  response.once('close', () => clearTimeout(timer))
  message.resume()
  response.write(text)
}

/** Statuses that guarantee that a request has not run and never will. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

function isBodiless (message: IncomingMessage, status: number): boolean {
  return message.method === 'HEAD' || status === 204 || status === 304
}
