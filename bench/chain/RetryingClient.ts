import { RetryPolicy } from '../../src/parts/retry/RetryPolicy.js'
import type { RetryAction, RetryEvent, RetryOptions } from '../../src/parts/retry/Types.js'
import type { CallId, Disposition, Reason } from '../../src/parts/Types.js'
import type { EventQueue } from './EventQueue.js'

/** Result of one attempt or one call. */
export type Answer =
  | { readonly type: 'good' }
  | { readonly type: 'failed', readonly disposition: Disposition, readonly reason: Reason, readonly retryAfterMs: number }

/** Sends one attempt and passes its result to `answer`; returns a function that cancels the attempt. */
export type SendAttempt = (answer: (answer: Answer) => void) => () => void

/** An idempotent call. */
export interface CallOptions {
  readonly deadlineAtMs: number
  /** Whether a layer above this one retries too. */
  readonly retriesAbove: boolean
  readonly attempt: SendAttempt
  readonly answered: (answer: Answer) => void
}

interface OpenCall {
  readonly callOptions: CallOptions
  readonly startedAtMs: number
  readonly cancels: Map<number, () => void>
}

/** Calls a service with the retry policy that one ingress node has for it, on a virtual clock. */
export class RetryingClient {
  /** Hedges sent so far. */
  public hedges = 0
  private readonly _clock: EventQueue
  private readonly _policy: RetryPolicy
  private readonly _open = new Map<CallId, OpenCall>()
  private _nextCall: CallId = 0

  /**
   * @param clock Virtual clock.
   * @param options Options that differ from the defaults of the retry policy.
   */
  public constructor (clock: EventQueue, options: Partial<RetryOptions>) {
    this._clock = clock
    this._policy = new RetryPolicy(options)
  }

  /**
   * Starts a call; returns a function that cancels it.
   * @param callOptions Deadline and callbacks of the call.
   */
  public call (callOptions: CallOptions): () => void {
    const call = this._nextCall++
    const { deadlineAtMs, retriesAbove } = callOptions
    this._open.set(call, { callOptions, startedAtMs: this._clock.nowMs, cancels: new Map() })
    this._send({ type: 'begin', call, idempotent: true, deadlineAtMs, retriesAbove })
    this._sendAttempt(call, 1)
    this._clock.at(deadlineAtMs, () => this._expire(call))
    return () => this._end(call)
  }

  private _sendAttempt (call: CallId, attempt: number): void {
    const open = this._open.get(call)
    if (open === undefined) {
      return
    }
    const cancel = open.callOptions.attempt(answer => this._onAnswer(call, attempt, answer))
    open.cancels.set(attempt, cancel)
  }

  private _onAnswer (call: CallId, attempt: number, answer: Answer): void {
    const open = this._open.get(call)
    if (open === undefined || !open.cancels.delete(attempt)) {
      return
    }
    if (answer.type === 'good') {
      this._send({ type: 'succeeded', call, attempt, latencyMs: this._clock.nowMs - open.startedAtMs })
      this._answer(call, answer)
      return
    }
    const { disposition, reason, retryAfterMs } = answer
    this._send({ type: 'failed', call, disposition, reason, retryAfterMs, responseStarted: false })
  }

  private _send (event: RetryEvent): void {
    for (const action of this._policy.step(event, this._clock.nowMs)) {
      this._apply(action)
    }
  }

  private _apply (action: RetryAction): void {
    if (action.type === 'wake') {
      this._clock.at(action.atMs, () => this._send({ type: 'tick' }))
    } else if (action.type === 'giveUp') {
      const { reason, retryAfterMs } = action
      this._answer(action.call, { type: 'failed', disposition: 'unknown', reason, retryAfterMs })
    } else if (action.type === 'cancelAttempts') {
      this._open.get(action.call)?.cancels.forEach(cancel => cancel())
    } else {
      this.hedges += action.type === 'hedge' ? 1 : 0
      this._sendAttempt(action.call, action.attempt)
    }
  }

  private _expire (call: CallId): void {
    if (this._open.has(call)) {
      const open = this._open.get(call)
      this._end(call)
      open?.callOptions.answered({
        type: 'failed', disposition: 'unknown', reason: 'deadline-exceeded', retryAfterMs: 0
      })
    }
  }

  private _end (call: CallId): void {
    this._open.get(call)?.cancels.forEach(cancel => cancel())
    this._open.delete(call)
    this._send({ type: 'ended', call })
  }

  private _answer (call: CallId, answer: Answer): void {
    const open = this._open.get(call)
    this._open.delete(call)
    open?.callOptions.answered(answer)
  }
}
