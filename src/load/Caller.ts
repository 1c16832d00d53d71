import { setTimeout as delay } from 'node:timers/promises'
import { Agent } from 'undici'
import type { Dispatcher } from 'undici'
import type { Disposable } from '../runtime/Types.js'
import { BODY_CHECKS, downloadSeed } from './AnswerCheck.js'
import type { LoadPlan } from './LoadPlan.js'
import type { AttemptResult, CallEnd, CallResult, PlannedCall } from './Types.js'

interface Request {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body: string | null
}

const DISPOSITIONS: ReadonlySet<string> = new Set(['not-run', 'unknown', 'quarantined'])

/**
 * Whether a call that ended in this way is retried. A guarded request keeps its idempotency key, so a retry can't run
 * it twice; an error that its upstream itself returned is final.
 */
const RETRY_RULES: Readonly<Record<CallEnd, (call: PlannedCall, retryRequested: boolean) => boolean>> = {
  ok: () => false,
  wrong: () => false,
  error: (call, retryRequested) => retryRequested && call.stream.kind !== 'guarded',
  failed: () => true,
  'not-run': () => true,
  unknown: (call, retryRequested) => retryRequested || call.stream.kind !== 'guarded',
  quarantined: () => false
}

const REQUESTS: Readonly<Record<PlannedCall['stream']['kind'], (call: PlannedCall) => Request>> = {
  lookup: call => ({ method: 'GET', path: `${streamPath(call)}/${call.id}`, body: null }),
  guarded: call => ({ method: 'POST', path: `${streamPath(call)}/${call.id}`, body: JSON.stringify({ order: call.id }) }),
  download: call => ({ method: 'GET', path: downloadPath(call), body: null }),
  chain: call => ({ method: 'GET', path: `/chain/${call.stream.kind === 'chain' ? call.stream.depth : 0}`, body: null })
}

/** Sends calls with an idempotency key and a deadline, and retries them after the time that an answer asks for. */
export class Caller implements Disposable {
  private readonly _plan: LoadPlan
  private readonly _agent: Agent

  /**
   * @param plan Targets and retry limits.
   */
  public constructor (plan: LoadPlan) {
    this._plan = plan
    this._agent = new Agent({ connections: plan.connectionsPerTarget, bodyTimeout: 0, headersTimeout: 0 })
  }

  /**
   * Sends a call and retries it until its answer is final, its attempts are used up or its deadline is too near.
   * @param call The call to send.
   * @param startedAtMs Monotonic milliseconds at which the run started; the due time of the call counts from it.
   */
  public async call (call: PlannedCall, startedAtMs: number): Promise<CallResult> {
    const dueAtMs = startedAtMs + call.dueMs
    const lateMs = performance.now() - dueAtMs
    const deadlineAtMs = dueAtMs + call.stream.deadlineMs
    let reportedNotRun = true
    let attempts = 0
    let result: AttemptResult
    do {
      result = await this._attempt(call, attempts++, deadlineAtMs)
      reportedNotRun &&= result.end === 'not-run'
    } while (await this._waitForRetry(call, result, attempts, deadlineAtMs))
    const latencyMs = performance.now() - dueAtMs
    return { call, end: result.end, reason: result.reason, attempts, reportedNotRun, latencyMs, lateMs }
  }

  /** Closes the connections. */
  public dispose (): void {
    this._agent.destroy().catch(() => {})
  }

  private async _waitForRetry (
    call: PlannedCall, result: AttemptResult, attempts: number, deadlineAtMs: number
  ): Promise<boolean> {
    const { retry } = this._plan
    if (attempts >= retry.attempts || !isRetryable(call, result)) return false
    const waitMs = Math.min(result.retryAfterMs ?? retry.waitMs, retry.maxWaitMs)
    if (performance.now() + waitMs >= deadlineAtMs) return false
    await delay(waitMs)
    return true
  }

  private async _attempt (call: PlannedCall, attempt: number, deadlineAtMs: number): Promise<AttemptResult> {
    const leftMs = deadlineAtMs - performance.now()
    if (leftMs <= 0) return failedAttempt('deadline passed before it was sent')
    const target = this._plan.targets[(call.target + attempt) % this._plan.targets.length] as string
    const abort = new AbortController()
    const timer = setTimeout(() => { abort.abort() }, leftMs)
    try {
      const answer = await this._agent.request({
        origin: `http://${target}`,
        ...REQUESTS[call.stream.kind](call),
        headers: buildHeaders(call, leftMs),
        signal: abort.signal
      })
      return await readAnswer(call, answer)
    } catch (error) {
      return failedAttempt((error as Error).message)
    } finally {
      clearTimeout(timer)
    }
  }
}

function isRetryable (call: PlannedCall, { end, retryAfterMs }: AttemptResult): boolean {
  return RETRY_RULES[end](call, retryAfterMs !== undefined)
}

async function readAnswer (call: PlannedCall, answer: Dispatcher.ResponseData): Promise<AttemptResult> {
  const status = answer.statusCode
  const disposition = readHeader(answer, 'sassafras-disposition')
  if (status === 200 && disposition === '') {
    const matches = await BODY_CHECKS[call.stream.kind](call, answer.body)
    return { end: matches ? 'ok' : 'wrong', status, reason: matches ? '' : 'body', retryAfterMs: undefined }
  }
  await answer.body.dump()
  const end = DISPOSITIONS.has(disposition) ? disposition as CallEnd : 'error'
  const reason = readHeader(answer, 'sassafras-reason') || `status ${status}`
  return { end, status, reason, retryAfterMs: parseRetryAfterMs(answer) }
}

function parseRetryAfterMs (answer: Dispatcher.ResponseData): number | undefined {
  const milliseconds = readHeader(answer, 'sassafras-retry-after-ms')
  if (milliseconds !== '') return Number(milliseconds)
  const seconds = readHeader(answer, 'retry-after')
  return seconds === '' ? undefined : Number(seconds) * 1000
}

function readHeader (answer: Dispatcher.ResponseData, name: string): string {
  const value = answer.headers[name]
  return typeof value === 'string' ? value : ''
}

function buildHeaders (call: PlannedCall, leftMs: number): Record<string, string> {
  const headers = {
    host: `${call.stream.service}.mesh`,
    'x-request-id': call.id,
    'sassafras-deadline-ms': String(Math.max(1, Math.floor(leftMs)))
  }
  return call.stream.kind === 'guarded'
    ? { ...headers, 'idempotency-key': call.id, 'content-type': 'application/json' }
    : headers
}

function streamPath ({ stream }: PlannedCall): string {
  return stream.kind === 'lookup' || stream.kind === 'guarded' ? stream.path : ''
}

function downloadPath (call: PlannedCall): string {
  if (call.stream.kind !== 'download') return '/downloads/0'
  return `/downloads/${call.stream.bytes}?rate=${call.stream.bytesPerSecond}&seed=${downloadSeed(call)}`
}

function failedAttempt (reason: string): AttemptResult {
  return { end: 'failed', status: 0, reason, retryAfterMs: undefined }
}
