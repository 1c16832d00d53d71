import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'

const DEFAULT_TIMEOUT_MS = 3_600_000
const DEADLINE_HEADER = 'sassafras-deadline-ms'

/** One request of a stand-in, with what ends it early: the caller's cancel and the deadline. */
export class RequestRun {
  public readonly request: IncomingMessage
  public readonly response: ServerResponse
  public readonly url: URL
  /** Ends when the client closes the connection. */
  public readonly cancelled: AbortSignal
  /** Ends when the client closes the connection or the deadline has passed. */
  public readonly ended: AbortSignal
  private readonly _deadlineAtMs: number

  /**
   * @param request What came in.
   * @param response Where the answer goes.
   */
  public constructor (request: IncomingMessage, response: ServerResponse) {
    this.request = request
    this.response = response
    this.url = new URL(request.url ?? '/', 'http://standin')
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

  /** Segments of the path. */
  public get segments (): string[] {
    return this.url.pathname.split('/').filter(segment => segment !== '')
  }

  /** Milliseconds left until the deadline. */
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
   * Spends time on the request.
   * @param ms Milliseconds.
   * @param signal Ends the work early.
   * @returns Whether the work was done to its end.
   */
  public async work (ms: number, signal: AbortSignal | undefined): Promise<boolean> {
    // A timer takes at least a millisecond, which a service time of 0 must not.
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

  /** Reads the whole body of the request. */
  public async body (): Promise<Buffer> {
    const chunks: Buffer[] = []
    for await (const chunk of this.request) chunks.push(chunk as Buffer)
    return Buffer.concat(chunks)
  }
}
