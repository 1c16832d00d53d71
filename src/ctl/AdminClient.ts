import { setTimeout as delay } from 'node:timers/promises'
import got from 'got'

/** Answer of a process to an admin request. */
export interface AdminAnswer {
  readonly status: number
  readonly body: unknown
  /** Address of the process that answered, after redirects. */
  readonly from: string
}

/** A request to the admin endpoint of a process. */
export interface AdminRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly json?: object
}

/**
 * How a request ended: `answer` when a process answered, `unsent` when no process can have received it, `lost` when one
 * may have received it but no answer arrived.
 */
export type AdminOutcome =
  | { readonly type: 'answer', readonly answer: AdminAnswer }
  | { readonly type: 'unsent', readonly problem: string }
  | { readonly type: 'lost', readonly problem: string }

const MAX_REDIRECTS = 5
const ATTEMPT_TIMEOUT_MS = 3000
const RETRY_DELAY_MS = 200
/** No attempt starts with less time left: it would likely time out and turn a known outcome into `lost`. */
const MIN_ATTEMPT_MS = 250

/** Largest answer of a process, in bytes; a configuration of thousands of routes has some megabytes. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024

/** Error codes of connections that failed before anything was sent. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH'])

/**
 * Sends requests to the admin endpoints of processes. Follows 307 redirects to the leader. While no process answers, it
 * retries the processes in turn, so a request must be idempotent.
 */
export class AdminClient {
  private readonly _addresses: readonly string[]
  private readonly _timeoutMs: number

  /**
   * @param addresses Admin addresses of the processes that can handle the requests, as `host:port`.
   * @param timeoutMs Timeout of a request, including its retries.
   */
  public constructor (addresses: readonly string[], timeoutMs: number) {
    this._addresses = addresses
    this._timeoutMs = timeoutMs
  }

  /**
   * Sends a request until a process answers with a status other than 503, or the timeout expires.
   * @param request The request to send.
   */
  public async send (request: AdminRequest): Promise<AdminOutcome> {
    const deadlineAtMs = performance.now() + this._timeoutMs
    let lastOutcome: AdminOutcome = { type: 'unsent', problem: 'no address to send the request to' }
    let lostOutcome: AdminOutcome | undefined
    for (let attemptIndex = 0; this._addresses.length > 0; attemptIndex++) {
      const address = this._addresses[attemptIndex % this._addresses.length] as string
      lastOutcome = await this._attempt(address, request, deadlineAtMs)
      if (lastOutcome.type === 'answer' && lastOutcome.answer.status !== 503) return lastOutcome
      // 503 means that there is no quorum now; a change proposed before may still be committed.
      if (lastOutcome.type !== 'unsent') lostOutcome = lastOutcome
      const isRoundComplete = (attemptIndex + 1) % this._addresses.length === 0
      if (performance.now() + RETRY_DELAY_MS + MIN_ATTEMPT_MS >= deadlineAtMs) break
      if (isRoundComplete) await delay(RETRY_DELAY_MS)
    }
    return lostOutcome ?? lastOutcome
  }

  private async _attempt (address: string, request: AdminRequest, deadlineAtMs: number): Promise<AdminOutcome> {
    let url = `http://${address}${request.path}`
    try {
      for (let redirects = 0; redirects <= MAX_REDIRECTS; redirects++) {
        const pending = got(url, {
          method: request.method,
          ...(request.json === undefined ? {} : { json: request.json }),
          followRedirect: false,
          throwHttpErrors: false,
          retry: { limit: 0 },
          timeout: { request: Math.max(1, Math.min(ATTEMPT_TIMEOUT_MS, deadlineAtMs - performance.now())) }
        })
        pending.on('downloadProgress', ({ transferred }) => {
          if (transferred > MAX_ANSWER_BYTES) pending.cancel(`answer is larger than ${MAX_ANSWER_BYTES} bytes`)
        }).catch(() => {}) // The failure is reported where the answer is awaited.
        const answer = await pending
        const location = answer.headers.location
        if (answer.statusCode !== 307 || location === undefined) {
          return { type: 'answer', answer: { status: answer.statusCode, body: parseBody(answer.body), from: new URL(url).host } }
        }
        url = new URL(location, url).href
      }
      return { type: 'unsent', problem: `${address} redirects too many times` }
    } catch (error) {
      const { code, message } = error as Error & { code?: string }
      const problem = `${url}: ${message}`
      return UNSENT_ERROR_CODES.has(code ?? '') ? { type: 'unsent', problem } : { type: 'lost', problem }
    }
  }
}

function parseBody (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
