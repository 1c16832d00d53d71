import type { ServerResponse } from 'node:http'
import type { RetryAction } from '../../parts/retry/Types.js'
import type { CallId, Disposition, InstanceId, Reason } from '../../parts/Types.js'
import { Deadline } from '../../parts/retry/Deadline.js'
import { findHeader } from '../EndToEndHeaders.js'
import type { AnswerHead, Refusal } from '../Types.js'
import { Attempt } from './Attempt.js'
import type { AttemptListener } from './Attempt.js'
import type { RetryListener, ServiceLane } from './ServiceLane.js'
import { sendSystemAnswer } from './SystemAnswer.js'
import type { IngressContext, IngressRequest, TargetSource } from './Types.js'

/** How a call ended, for the log and the metrics. */
export interface CallEnd {
  readonly call: string
  readonly status: number
  readonly disposition?: Disposition
  readonly reason?: Reason
  readonly attempts: number
  readonly durationMs: number
}

interface HeldAnswer {
  readonly head: AnswerHead
  readonly body: Uint8Array
}

type RetryHandlers = {
  [Type in Exclude<RetryAction['type'], 'wake'>]: (action: Extract<RetryAction, { type: Type }>) => void
}

/** Answers that say that another instance may do better. */
const RETRYABLE_STATUS: ReadonlySet<number> = new Set([502, 503, 504])

/** Upstreams that may be lost under one call; a request that crashes them must not reach a whole service. */
const MAX_LOSSES = 2

/** One caller's request, from the first attempt to the last byte of its answer. It is answered exactly once. */
export class IngressCall implements AttemptListener, RetryListener {
  private readonly id: CallId
  private readonly deadline: Deadline
  private readonly startedAtMs: number
  private readonly excluded: InstanceId[] = []
  private readonly handlers: RetryHandlers
  private attempts: Attempt[] = []
  private streaming: Attempt | undefined
  private heldAnswer: HeldAnswer | undefined
  private lastRefusal: Refusal | undefined
  private unknown = false
  private losses = 0
  private ended = false
  private owedBytes = 0
  private timer: NodeJS.Timeout | undefined

  /**
   * @param onEnd Called once when the caller has its answer or has gone away.
   */
  public constructor (
    private readonly request: IngressRequest,
    private readonly response: ServerResponse,
    private readonly lane: ServiceLane,
    private readonly targets: TargetSource,
    private readonly context: IngressContext,
    private readonly onEnd: (end: CallEnd) => void
  ) {
    this.id = context.nextCall()
    this.startedAtMs = context.clock.nowMs()
    this.deadline = new Deadline(request.deadlineAtMs)
    this.handlers = {
      retry: action => this.attempt(action.attempt),
      hedge: action => this.hedge(action.attempt),
      giveUp: action => this.giveUp(action.reason, action.retryAfterMs),
      cancelAttempts: () => {}
    }
  }

  /** Name of the call for log lines and answers. */
  public get name (): string {
    return `${this.context.incarnation}-${this.id}`
  }

  /** Starts the first attempt. */
  public begin (): void {
    const { request } = this
    this.response.once('close', () => this.handleClose())
    this.response.on('drain', () => this.grantOwed())
    const leftMs = this.deadline.leftMs(this.context.clock.nowMs())
    this.timer = setTimeout(() => this.handleDeadline(), Math.max(1, leftMs))
    this.lane.begin({
      type: 'begin',
      call: this.id,
      idempotent: request.kind !== 'guarded',
      deadlineAtMs: request.deadlineAtMs,
      retriesAbove: request.depth > 0,
      // A second run of a large download would cost more than it gains.
      hedge: request.kind === 'lookup'
    }, this)
    if (!this.ended) this.attempt(1)
  }

  public handleRetryAction (action: RetryAction): void {
    if (this.ended || action.type === 'wake') return
    const handler = this.handlers[action.type] as (action: RetryAction) => void
    handler(action)
  }

  public handleAnswer (attempt: Attempt, head: AnswerHead, body: Uint8Array): void {
    if (this.ended) return
    if (RETRYABLE_STATUS.has(head.status) && this.request.kind !== 'guarded') {
      this.heldAnswer = { head, body }
      this.excluded.push(attempt.instance)
      this.reportFailure('unknown', 'upstream-failed', 0)
      return
    }
    this.reportSuccess(attempt)
    this.sendAnswer(head, body)
  }

  public handleHead (attempt: Attempt, head: AnswerHead): void {
    if (this.streaming !== undefined) {
      attempt.cancel()
      return
    }
    this.streaming = attempt
    // The body may take longer than the deadline, which bounds the wait for the head.
    clearTimeout(this.timer)
    this.reportSuccess(attempt)
    this.cancelAttempts(attempt)
    this.response.writeHead(head.status, head.headers as string[])
    this.response.flushHeaders()
  }

  public handleBody (attempt: Attempt, bytes: Uint8Array): void {
    if (this.response.write(bytes)) attempt.grant(bytes.length)
    else this.owedBytes += bytes.length
  }

  public handleEnd (): void {
    this.response.end()
    this.end({ status: this.response.statusCode })
  }

  public handleRefused (attempt: Attempt, refusal: Refusal): void {
    if (this.ended) return
    if (refusal.disposition === 'unknown') this.unknown = true
    if (refusal.disposition === 'quarantined') {
      this.answerRefusal(refusal)
      return
    }
    if (refusal.disposition === 'unknown' && ++this.losses >= MAX_LOSSES) {
      this.answerRefusal(refusal)
      return
    }
    if (refusal.reason === 'draining') this.lane.avoid(attempt.instance)
    this.lastRefusal = refusal
    this.excluded.push(attempt.instance)
    this.reportFailure(refusal.disposition, refusal.reason, refusal.retryAfterMs)
  }

  public handleAbort (_attempt: Attempt, reason: string): void {
    // The head is out: breaking the connection is the only way left to tell the caller.
    this.context.log.warn({ call: this.name, reason }, 'answer broke off')
    this.response.destroy()
    this.end({ status: this.response.statusCode, reason: 'upstream-failed' })
  }

  private attempt (number: number): void {
    const id = this.context.nextCall()
    const choice = this.lane.choose(id, this.request.kind, this.excluded)
    if (choice.type === 'none') {
      this.handleNoChoice(choice.reason, choice.retryAfterMs)
      return
    }
    const attempt = new Attempt(number, id, choice.instance, this.lane, this.context.clock, this)
    this.attempts.push(attempt)
    const target = this.targets.findTarget(choice.instance)
    if (target === undefined) {
      attempt.onRefused({ disposition: 'not-run', reason: 'peer-lost', retryAfterMs: 0 }, undefined)
      return
    }
    attempt.start(target, this.buildCall(id))
  }

  // With nobody left to ask, what the last one said tells the caller more.
  private handleNoChoice (reason: Reason, retryAfterMs: number): void {
    const othersOut = this.attempts.some(attempt => attempt.isOpen)
    if (othersOut) this.reportFailure('not-run', reason, retryAfterMs)
    else if (this.lastRefusal !== undefined) this.giveUp(this.lastRefusal.reason, this.lastRefusal.retryAfterMs)
    else if (this.heldAnswer !== undefined) this.giveUp(reason, retryAfterMs)
    else this.reportFailure('not-run', reason, retryAfterMs)
  }

  private hedge (number: number): void {
    const busy = this.attempts.filter(attempt => attempt.isOpen).map(attempt => attempt.instance)
    for (const instance of busy) this.excluded.push(instance)
    this.attempt(number)
  }

  private buildCall (id: CallId): Parameters<Attempt['start']>[1] {
    const { service, method, target, headers, body, kind, key, fingerprint, depth, version } = this.request
    return {
      id,
      from: this.context.incarnation,
      service,
      method,
      target,
      headers,
      body,
      deadlineMs: this.deadline.forwardedMs(this.context.clock.nowMs()),
      depth,
      kind,
      ...(key === undefined ? {} : { key }),
      fingerprint,
      version
    }
  }

  private reportFailure (disposition: Disposition, reason: Reason, retryAfterMs: number): void {
    const responseStarted = this.response.headersSent
    this.lane.report({ type: 'failed', call: this.id, disposition, reason, retryAfterMs, responseStarted })
  }

  private reportSuccess (attempt: Attempt): void {
    this.lane.report({ type: 'succeeded', call: this.id, latencyMs: attempt.elapsedMs, attempt: attempt.number })
  }

  private giveUp (reason: Reason, retryAfterMs: number): void {
    if (this.heldAnswer !== undefined) this.sendAnswer(this.heldAnswer.head, this.heldAnswer.body)
    else this.answerRefusal({ ...this.lastRefusal, disposition: this.unknown ? 'unknown' : 'not-run', reason, retryAfterMs })
  }

  private sendAnswer ({ status, headers }: AnswerHead, body: Uint8Array): void {
    const bodiless = this.request.method === 'HEAD' || status === 204 || status === 304
    const all = headers.slice()
    if (!bodiless && findHeader(headers, 'content-length') === undefined) all.push('content-length', String(body.length))
    this.response.writeHead(status, all)
    this.response.end(body)
    this.end({ status })
  }

  private answerRefusal (refusal: Refusal): void {
    if (this.ended) return
    sendSystemAnswer(this.response, refusal, this.name)
    this.end({ status: this.response.statusCode, disposition: refusal.disposition, reason: refusal.reason })
  }

  private handleDeadline (): void {
    if (this.ended) return
    // An attempt that is still out may have run.
    const out = this.attempts.some(attempt => attempt.isOpen)
    const disposition = this.unknown || out ? 'unknown' : 'not-run'
    this.answerRefusal({ disposition, reason: 'deadline-exceeded', retryAfterMs: 0 })
  }

  private handleClose (): void {
    if (!this.ended) this.end({ status: 499, reason: 'cancelled' })
  }

  private grantOwed (): void {
    if (this.owedBytes === 0) return
    this.streaming?.grant(this.owedBytes)
    this.owedBytes = 0
  }

  private cancelAttempts (except: Attempt | undefined): void {
    for (const attempt of this.attempts) {
      if (attempt !== except) attempt.cancel()
    }
  }

  private end (result: Pick<CallEnd, 'status' | 'disposition' | 'reason'>): void {
    if (this.ended) return
    this.ended = true
    clearTimeout(this.timer)
    this.cancelAttempts(undefined)
    this.lane.end(this.id)
    const durationMs = this.context.clock.nowMs() - this.startedAtMs
    this.onEnd({ ...result, call: this.name, attempts: this.attempts.length, durationMs })
  }
}
