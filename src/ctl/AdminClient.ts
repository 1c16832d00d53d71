import { setTimeout as delay } from 'node:timers/promises'
import got from 'got'

/** What a process answered. */
export interface AdminAnswer {
  readonly status: number
  readonly body: unknown
  /** Address that answered. */
  readonly from: string
}

/** A request to the admin surface of one of several processes. */
export interface AdminRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly json?: object
}

/**
 * How a request ended: with an answer; `unsent` when no process can have taken it;
 * `lost` when one may have taken it and its answer did not come.
 */
export type AdminOutcome =
  | { readonly type: 'answer', readonly answer: AdminAnswer }
  | { readonly type: 'unsent', readonly problem: string }
  | { readonly type: 'lost', readonly problem: string }

const MAX_REDIRECTS = 5
const ATTEMPT_TIMEOUT_MS = 3000
const RETRY_DELAY_MS = 200
/** An attempt with less time than this would only make a clear outcome unclear. */
const MIN_ATTEMPT_MS = 250

/** Failures before anything was sent. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH'])

/**
 * Sends requests to the admin surfaces of processes. Follows 307 to the leader, and goes on to the next process,
 * round after round, while none answers. A request that is sent again must be safe to repeat.
 */
export class AdminClient {
  private readonly _addresses: readonly string[]
  private readonly _timeoutMs: number

  /**
   * @param addresses Processes that can take the request, as `host:port`.
   * @param timeoutMs Time in all.
   */
  public constructor (addresses: readonly string[], timeoutMs: number) {
    this._addresses = addresses
    this._timeoutMs = timeoutMs
  }

  /**
   * Sends a request until a process answers with anything but 503, or the time is up.
   * @param request What to send.
   */
  public async send (request: AdminRequest): Promise<AdminOutcome> {
    const deadlineAtMs = performance.now() + this._timeoutMs
    let lastOutcome: AdminOutcome = { type: 'unsent', problem: 'no address to ask' }
    let lostOutcome: AdminOutcome | undefined
    for (let attemptIndex = 0; this._addresses.length > 0; attemptIndex++) {
      const address = this._addresses[attemptIndex % this._addresses.length] as string
      lastOutcome = await this._attempt(address, request, deadlineAtMs)
      if (lastOutcome.type === 'answer' && lastOutcome.answer.status !== 503) return lastOutcome
      // 503 says that there is no quorum now; what was proposed before may still be committed.
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
        const answer = await got(url, {
          method: request.method,
          ...(request.json === undefined ? {} : { json: request.json }),
          followRedirect: false,
          throwHttpErrors: false,
          retry: { limit: 0 },
          timeout: { request: Math.max(1, Math.min(ATTEMPT_TIMEOUT_MS, deadlineAtMs - performance.now())) }
        })
        const location = answer.headers.location
        if (answer.statusCode !== 307 || location === undefined) {
          return { type: 'answer', answer: { status: answer.statusCode, body: parseBody(answer.body), from: new URL(url).host } }
        }
        url = new URL(location, url).href
      }
      return { type: 'unsent', problem: `${address} redirects in a circle` }
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
