import { request } from 'node:http'
import type { Random } from '../../src/parts/Types.js'

/** Longest time that an operator waits for the response to one attempt, redirects included, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 1000

/** Redirects that an operator follows in one attempt. */
const MAX_REDIRECTS = 2

/** First backoff of a call; it doubles with each failed attempt, up to the maximum. */
const BACKOFF_MIN_MS = 80
const BACKOFF_MAX_MS = 2000

/** How one attempt ended. */
export interface Attempt {
  /** 0 without a response. */
  readonly status: number
  readonly body: string
  /** Hosts that were called, the redirected calls included. */
  readonly hosts: readonly string[]
  readonly durationMs: number
}

/** An acknowledged call. */
export interface Acknowledgement {
  /** From the first attempt to the acknowledgement, in milliseconds. */
  readonly afterMs: number
  readonly attempts: readonly Attempt[]
}

/** Dependencies of an operator. */
export interface OperatorOptions {
  /** Hosts that serve operators. */
  readonly hosts: readonly string[]
  readonly port: number
  readonly random: Random
  /** Share of the calls whose first acknowledgement is lost. */
  readonly lossShare: number
}

/**
 * An operator that calls as the platform's protocol says: any host, redirects followed twice, the next attempt after
 * one without a response within a second, with increasing backoff. After a lost acknowledgement, other hosts go first.
 */
export class ProtocolOperator {
  /**
   * @param _options Hosts, random numbers and losses.
   */
  public constructor (private readonly _options: OperatorOptions) {}

  /**
   * Sends a call until it is acknowledged.
   * @throws Error when it is refused.
   */
  public async send (path: string, body: string): Promise<Acknowledgement> {
    const { random, lossShare, hosts } = this._options
    const startMs = performance.now()
    const attempts: Attempt[] = []
    let losesNext = random.next() < lossShare
    let avoided: readonly string[] = []
    for (let backoffMs = BACKOFF_MIN_MS; ; backoffMs = Math.min(2 * backoffMs, BACKOFF_MAX_MS)) {
      const preferred = hosts.filter(host => !avoided.includes(host))
      const attempt = await this.attempt(pick(preferred.length > 0 ? preferred : hosts, random), path, body)
      attempts.push(attempt)
      if (attempt.status === 200 && !losesNext) return { afterMs: performance.now() - startMs, attempts }
      if (attempt.status >= 400 && attempt.status < 500) throw new Error(`refused with ${attempt.status}: ${attempt.body}`)
      avoided = attempt.status === 200 ? attempt.hosts : []
      if (attempt.status === 200) losesNext = false
      await new Promise(resolve => setTimeout(resolve, backoffMs * (0.75 + 0.5 * random.next())))
    }
  }

  /** Sends one attempt to a host and follows its redirects. */
  public async attempt (host: string, path: string, body: string): Promise<Attempt> {
    const startMs = performance.now()
    const hosts = [host]
    for (;;) {
      const leftMs = startMs + ATTEMPT_TIMEOUT_MS - performance.now()
      const response = await this._request(hosts.at(-1)!, path, body, leftMs)
      if (response?.status === 307 && response.location !== undefined && hosts.length <= MAX_REDIRECTS) {
        hosts.push(new URL(response.location).hostname)
        continue
      }
      const { status, text } = response ?? { status: 0, text: '' }
      return { status, body: text, hosts, durationMs: performance.now() - startMs }
    }
  }

  private async _request (
    host: string, path: string, body: string, timeoutMs: number
  ): Promise<{ readonly status: number, readonly location: string | undefined, readonly text: string } | undefined> {
    return await new Promise(resolve => {
      const method = body === '' ? 'GET' : 'POST'
      const call = request({ host, port: this._options.port, path, method, agent: false }, response => {
        let text = ''
        response.setEncoding('utf8')
        response.on('data', (chunk: string) => { text += chunk })
        response.on('end', () => {
          clearTimeout(timer)
          resolve({ status: response.statusCode ?? 0, location: response.headers.location, text })
        })
      })
      const timer = setTimeout(() => call.destroy(new Error('no response in time')), timeoutMs)
      call.on('error', () => {
        clearTimeout(timer)
        resolve(undefined)
      })
      call.end(body)
    })
  }
}

function pick<Item> (items: readonly Item[], random: Random): Item {
  return items[Math.floor(random.next() * items.length)]!
}
