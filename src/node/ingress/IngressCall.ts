import type { ServerResponse } from 'node:http'
import type { RetryAction } from '../../parts/retry/Types.js'
import type { CallId, Disposition, InstanceId, Reason } from '../../parts/Types.js'
import { Deadline } from '../../parts/retry/Deadline.js'
import { findHeader } from '../EndToEndHeaders.js'
import type { AnswerHead, Refusal } from '../Types.js'
import { Attempt } from './Attempt.js'
import type { AttemptListener } from './Attempt.js'
import type { RetryListener, ServiceBalancer } from './ServiceBalancer.js'
import { sendRefusal } from './RefusalResponse.js'
import type { IngressContext, IngressRequest, TargetSource } from './Types.js'

/** Summary of a call that has ended, for the log and the metrics. */
export interface CallSummary {
  readonly call: string
  readonly status: number
  readonly disposition?: Disposition
  readonly reason?: Reason
  readonly attempts: number
  readonly durationMs: number
}

/** Server error that a retry may replace; it is sent to the caller if no retry gets a better answer. */
interface FallbackAnswer {
  readonly head: AnswerHead
  readonly body: Uint8Array
}

type RetryHandlers = {
  [Type in Exclude<RetryAction['type'], 'wake'>]: (action: Extract<RetryAction, { type: Type }>) => void
}

/** Statuses with which another instance may answer better. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([502, 503, 504])

/**
 * Number of attempts with an unknown outcome after which a call is refused. A request that crashes its upstream must
 * not be retried at every instance of a service.
 */
const MAX_UNKNOWN_OUTCOMES = 2

/**
 * One request of a caller, from the first attempt to the last byte of its answer, with its retries and hedges. It is
 * answered exactly once.
 */
export class IngressCall implements AttemptListener, RetryListener {
  private readonly _id: CallId
  private readonly _deadline: Deadline
  private readonly _startedAtMs: number
  private readonly _excluded: InstanceId[] = []
  private readonly _handlers: RetryHandlers
  private _attempts: Attempt[] = []
  private _streamingAttempt: Attempt | undefined
  private _fallbackAnswer: FallbackAnswer | undefined
  private _lastRefusal: Refusal | undefined
  private _mayHaveRun = false
  private _unknownOutcomes = 0
  private _ended = false
  private _pendingCredit = 0
  private _timer: NodeJS.Timeout | undefined

  /**
   * @param _onEnd Called once, when the caller has its answer or has disconnected.
   */
  public constructor (
    private readonly _request: IngressRequest,
    private readonly _response: ServerResponse,
    private readonly _balancer: ServiceBalancer,
    private readonly _targets: TargetSource,
    private readonly _context: IngressContext,
    private readonly _onEnd: (summary: CallSummary) => void
  ) {
    this._id = _context.nextCallId()
    this._startedAtMs = _context.clock.nowMs()
    this._deadline = new Deadline(_request.deadlineAtMs)
    this._handlers = {
      retry: action => this._startAttempt(action.attempt),
      hedge: action => this._startHedge(action.attempt),
      giveUp: action => this._giveUp(action.reason, action.retryAfterMs),
      // Attempts are cancelled when the head of an answer is received and when the call ends.
      cancelAttempts: () => {}
    }
  }

  /** Identifier of the call for log lines and refusals; unique across restarts of the node. */
  public get name (): string {
    return `${this._context.incarnation}-${this._id}`
  }

  /** Starts the first attempt. */
  public begin (): void {
    const { _request: request } = this
    this._response.once('close', () => this._onClose())
    this._response.on('drain', () => this._grantPendingCredit())
    const leftMs = this._deadline.leftMs(this._context.clock.nowMs())
    this._timer = setTimeout(() => this._onDeadline(), Math.max(1, leftMs))
    this._balancer.beginCall({
      type: 'begin',
      call: this._id,
      idempotent: request.kind !== 'guarded',
      deadlineAtMs: request.deadlineAtMs,
      retriesAbove: request.depth > 0,
      // Downloads aren't hedged: a second run of a large download costs more than it gains.
      hedge: request.kind === 'lookup'
    }, this)
    if (!this._ended) this._startAttempt(1)
  }

  public handleRetryAction (action: RetryAction): void {
    if (this._ended || action.type === 'wake') return
    const handler = this._handlers[action.type] as (action: RetryAction) => void
    handler(action)
  }

  public handleAnswer (attempt: Attempt, head: AnswerHead, body: Uint8Array): void {
    if (this._ended) return
    if (RETRYABLE_STATUSES.has(head.status) && this._request.kind !== 'guarded') {
      this._fallbackAnswer = { head, body }
      this._excluded.push(attempt.instance)
      this._reportFailure('unknown', 'upstream-failed', 0)
      return
    }
    this._reportSuccess(attempt)
    this._sendAnswer(head, body)
  }

  public handleHead (attempt: Attempt, head: AnswerHead): void {
    if (this._streamingAttempt !== undefined) {
      attempt.cancel()
      return
    }
    this._streamingAttempt = attempt
    // The deadline limits the time until the head is received; the body may take longer.
    clearTimeout(this._timer)
    this._reportSuccess(attempt)
    this._cancelAttempts(attempt)
    this._response.writeHead(head.status, head.headers as string[])
    this._response.flushHeaders()
  }

  public handleBody (attempt: Attempt, bytes: Uint8Array): void {
    if (this._response.write(bytes)) attempt.grant(bytes.length)
    else this._pendingCredit += bytes.length
  }

  public handleEnd (): void {
    this._response.end()
    this._end({ status: this._response.statusCode })
  }

  public handleRefused (attempt: Attempt, refusal: Refusal): void {
    if (this._ended) return
    if (refusal.disposition === 'unknown') this._mayHaveRun = true
    if (refusal.disposition === 'quarantined') {
      this._sendRefusal(refusal)
      return
    }
    if (refusal.disposition === 'unknown' && ++this._unknownOutcomes >= MAX_UNKNOWN_OUTCOMES) {
      this._sendRefusal(refusal)
      return
    }
    if (refusal.reason === 'draining') this._balancer.markDraining(attempt.instance)
    this._lastRefusal = refusal
    this._excluded.push(attempt.instance)
    this._reportFailure(refusal.disposition, refusal.reason, refusal.retryAfterMs)
  }

  public handleAbort (_attempt: Attempt, reason: string): void {
    // The head has been sent, so the caller can only be notified by closing its connection.
    this._context.log.warn({ call: this.name, reason }, 'answer interrupted after its head, closing the connection to the caller')
    this._response.destroy()
    this._end({ status: this._response.statusCode, reason: 'upstream-failed' })
  }

  private _startAttempt (number: number): void {
    const id = this._context.nextCallId()
    const choice = this._balancer.choose(id, this._request.kind, this._excluded)
    if (choice.type === 'none') {
      this._onNoInstance(choice.reason, choice.retryAfterMs)
      return
    }
    const attempt = new Attempt(number, id, choice.instance, this._balancer, this._context.clock, this)
    this._attempts.push(attempt)
    const target = this._targets.findTarget(choice.instance)
    if (target === undefined) {
      attempt.onRefused({ disposition: 'not-run', reason: 'peer-lost', retryAfterMs: 0 }, undefined)
      return
    }
    attempt.start(target, this._buildCall(id))
  }

  // When no instance is left, the reason of the last refusal is more useful to the caller than that of the choice.
  private _onNoInstance (reason: Reason, retryAfterMs: number): void {
    const hasOpenAttempt = this._attempts.some(attempt => attempt.isOpen)
    if (hasOpenAttempt) this._reportFailure('not-run', reason, retryAfterMs)
    else if (this._lastRefusal !== undefined) this._giveUp(this._lastRefusal.reason, this._lastRefusal.retryAfterMs)
    else if (this._fallbackAnswer !== undefined) this._giveUp(reason, retryAfterMs)
    else this._reportFailure('not-run', reason, retryAfterMs)
  }

  private _startHedge (number: number): void {
    const openInstances = this._attempts.filter(attempt => attempt.isOpen).map(attempt => attempt.instance)
    for (const instance of openInstances) this._excluded.push(instance)
    this._startAttempt(number)
  }

  private _buildCall (id: CallId): Parameters<Attempt['start']>[1] {
    const { service, method, target, headers, body, kind, key, fingerprint, depth, version } = this._request
    return {
      id,
      from: this._context.incarnation,
      service,
      method,
      target,
      headers,
      body,
      deadlineMs: this._deadline.forwardedMs(this._context.clock.nowMs()),
      depth,
      kind,
      ...(key === undefined ? {} : { key }),
      fingerprint,
      version
    }
  }

  private _reportFailure (disposition: Disposition, reason: Reason, retryAfterMs: number): void {
    const responseStarted = this._response.headersSent
    this._balancer.report({ type: 'failed', call: this._id, disposition, reason, retryAfterMs, responseStarted })
  }

  private _reportSuccess (attempt: Attempt): void {
    this._balancer.report({ type: 'succeeded', call: this._id, latencyMs: attempt.elapsedMs, attempt: attempt.number })
  }

  private _giveUp (reason: Reason, retryAfterMs: number): void {
    if (this._fallbackAnswer !== undefined) this._sendAnswer(this._fallbackAnswer.head, this._fallbackAnswer.body)
    else this._sendRefusal({ ...this._lastRefusal, disposition: this._mayHaveRun ? 'unknown' : 'not-run', reason, retryAfterMs })
  }

  private _sendAnswer ({ status, headers }: AnswerHead, body: Uint8Array): void {
    const bodiless = this._request.method === 'HEAD' || status === 204 || status === 304
    const all = headers.slice()
    if (!bodiless && findHeader(headers, 'content-length') === undefined) all.push('content-length', String(body.length))
    this._response.writeHead(status, all)
    this._response.end(body)
    this._end({ status })
  }

  private _sendRefusal (refusal: Refusal): void {
    if (this._ended) return
    sendRefusal(this._response, refusal, this.name)
    this._end({ status: this._response.statusCode, disposition: refusal.disposition, reason: refusal.reason })
  }

  private _onDeadline (): void {
    if (this._ended) return
    // An attempt without an answer may have run.
    const hasOpenAttempt = this._attempts.some(attempt => attempt.isOpen)
    const disposition = this._mayHaveRun || hasOpenAttempt ? 'unknown' : 'not-run'
    this._sendRefusal({ disposition, reason: 'deadline-exceeded', retryAfterMs: 0 })
  }

  private _onClose (): void {
    if (!this._ended) this._end({ status: 499, reason: 'cancelled' })
  }

  private _grantPendingCredit (): void {
    if (this._pendingCredit === 0) return
    this._streamingAttempt?.grant(this._pendingCredit)
    this._pendingCredit = 0
  }

  private _cancelAttempts (except: Attempt | undefined): void {
    for (const attempt of this._attempts) {
      if (attempt !== except) attempt.cancel()
    }
  }

  private _end (result: Pick<CallSummary, 'status' | 'disposition' | 'reason'>): void {
    if (this._ended) return
    this._ended = true
    clearTimeout(this._timer)
    this._cancelAttempts(undefined)
    this._balancer.endCall(this._id)
    const durationMs = this._context.clock.nowMs() - this._startedAtMs
    this._onEnd({ ...result, call: this.name, attempts: this._attempts.length, durationMs })
  }
}
