import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'

/** Timeout of requests without a deadline header, 1 h. */
const DEFAULT_TIMEOUT_MS = 3_600_000
const DEADLINE_HEADER = 'sassafras-deadline-ms'

/** One request to a test upstream, with the signals that end it early: a disconnect of the client and the deadline. */
export class RequestRun {
  public readonly request: IncomingMessage
  public readonly response: ServerResponse
  public readonly url: URL
  /** Aborts when the client closes the connection before the answer is complete. */
  public readonly cancelled: AbortSignal
  /** Aborts when `cancelled` does or the deadline has passed. */
  public readonly ended: AbortSignal
  private readonly _deadlineAtMs: number

  /**
   * @param request The incoming request.
   * @param response Its response.
   */
  public constructor (request: IncomingMessage, response: ServerResponse) {
    this.request = request
    this.response = response
    this.url = new URL(request.url ?? '/', 'http://test-upstream')
    const cancel = new AbortController()
    const deadline = new AbortController()
    const leftMs = Number(this.header(DEADLINE_HEADER) || DEFAULT_TIMEOUT_MS)
    const timer = setTimeout(() => { deadline.abort() }, leftMs)
    response.once('close', () => {
      clearTimeout(timer)
      if (!response.writableFinished) cancel.abort()
    })
    this.cancelled = cancel.signal
    this._deadlineAtMs = performance.now() + leftMs
    this.ended = AbortSignal.any([cancel.signal, deadline.signal])
  }

  /** Non-empty segments of the path. */
  public get segments (): string[] {
    return this.url.pathname.split('/').filter(segment => segment !== '')
  }

  /** Milliseconds until the deadline, at least 0. */
  public get leftMs (): number {
    return Math.max(0, this._deadlineAtMs - performance.now())
  }

  /**
   * Returns a header's value, or an empty string.
   * @param name Name in lower case.
   */
  public header (name: string): string {
    const value = this.request.headers[name]
    return typeof value === 'string' ? value : ''
  }

  /**
   * Simulates work by waiting.
   * @param ms Milliseconds.
   * @param signal Ends the work early.
   * @returns Whether the work was completed.
   */
  public async work (ms: number, signal: AbortSignal | undefined): Promise<boolean> {
    // A timer takes at least 1 ms, but a service time of 0 must take no time.
    if (ms <= 0) return signal?.aborted !== true
    try {
      await delay(ms, undefined, signal === undefined ? {} : { signal })
      return signal?.aborted !== true
    } catch {
      return false
    }
  }

  /**
   * Answers with JSON.
   * @param status HTTP status.
   * @param body Any JSON value.
   */
  public answer (status: number, body: object): void {
    const bytes = Buffer.from(JSON.stringify(body))
    this.response.writeHead(status, { 'content-type': 'application/json', 'content-length': bytes.length })
    this.response.end(bytes)
  }

  /** Reads the complete body of the request into memory. */
  public async body (): Promise<Buffer> {
    const chunks: Buffer[] = []
    for await (const chunk of this.request) chunks.push(chunk as Buffer)
    return Buffer.concat(chunks)
  }
}
