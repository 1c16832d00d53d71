import type { CallId, Part, Reason } from '../Types.js'
import { FAILURE_RESERVE_SHARE, RETRY_DEFAULTS } from './Constants.js'
import { HedgeThrottle } from './HedgeThrottle.js'
import { LatencyQuantile } from './LatencyQuantile.js'
import { RetryBudget } from './RetryBudget.js'
import type { RetryAction, RetryEvent, RetryOptions } from './Types.js'

type EventOf<T extends RetryEvent['type']> = Extract<RetryEvent, { type: T }>

type Handlers = { readonly [T in RetryEvent['type']]: (event: EventOf<T>, nowMs: number, actions: RetryAction[]) => void }

/**
 * How a failure is handled: `elsewhere` is retried at another instance, `overload` too but only while the budget is not
 * low, and `never` is returned to the caller.
 */
type RetryRule = 'elsewhere' | 'overload' | 'never'

/** Call between `begin` and its end. */
interface TrackedCall {
  readonly call: CallId
  readonly idempotent: boolean
  readonly deadlineAtMs: number
  readonly retriesAbove: boolean
  attempts: number
  inFlight: number
  /** Number of the attempt that was a hedge, 0 without one. */
  hedge: number
  ended: boolean
}

/** Time at which a call is hedged if it is still in flight. */
interface HedgeTimer {
  readonly tracked: TrackedCall
  readonly dueAtMs: number
}

const RETRY_RULES: { readonly [R in Reason]: RetryRule } = {
  'bad-request': 'never',
  cancelled: 'never',
  conflict: 'never',
  'control-unavailable': 'never',
  'deadline-exceeded': 'never',
  draining: 'elsewhere',
  'in-progress': 'never',
  'key-missing': 'never',
  'key-reused': 'never',
  'no-upstream': 'elsewhere',
  overloaded: 'overload',
  'peer-lost': 'elsewhere',
  quarantined: 'never',
  'records-full': 'never',
  'retry-budget': 'never',
  'service-unknown': 'never',
  shedding: 'overload',
  'stale-configuration': 'elsewhere',
  'too-large': 'never',
  'upstream-failed': 'elsewhere'
}

/**
 * Decides on retries and hedges for one service at one ingress node. A call is retried only if it is idempotent or is
 * proved not to have run, and only within the service's retry budget. Once it may have run, only the layer nearest to
 * the caller retries it. A call that did not run repeats no work further down, so any layer may choose another instance
 * for it. Only that outermost layer sends hedges, from the same budget.
 *
 * Memory: one record for each call between `begin` and its end, at most `maxCalls`, and at most as many hedge timers.
 */
export class RetryPolicy implements Part<RetryEvent, RetryAction> {
  private readonly _options: RetryOptions
  private readonly _budget: RetryBudget
  private readonly _medianLatency: LatencyQuantile
  private readonly _hedgeLatency: LatencyQuantile
  private readonly _calls = new Map<CallId, TrackedCall>()
  private _timers: HedgeTimer[] = []
  private _nextTimerIndex = 0
  private readonly _hedgeThrottle = new HedgeThrottle()
  /** Time of the next tick requested from the host; Infinity without one. */
  private _wakeAtMs = Infinity

  private readonly _handlers: Handlers = {
    begin: (event, nowMs, actions) => this._onBegin(event, nowMs, actions),
    failed: (event, nowMs, actions) => this._onFailed(event, nowMs, actions),
    succeeded: (event, _nowMs, actions) => this._onSucceeded(event, actions),
    ended: event => this._removeCall(event.call),
    tick: (_event, nowMs, actions) => this._onTick(nowMs, actions)
  }

  /** @param options Options that differ from the defaults. */
  public constructor (options: Partial<RetryOptions> = {}) {
    this._options = { ...RETRY_DEFAULTS, ...options }
    const { retryShare, floorPerSecond, burst, initialLatencyMs, hedgeQuantile } = this._options
    this._budget = new RetryBudget(retryShare, floorPerSecond, burst)
    this._medianLatency = new LatencyQuantile(0.5, initialLatencyMs / 2)
    this._hedgeLatency = new LatencyQuantile(hedgeQuantile, initialLatencyMs)
  }

  /** @inheritdoc */
  public step (event: RetryEvent, nowMs: number): RetryAction[] {
    const actions: RetryAction[] = []
    const handle = this._handlers[event.type] as (event: RetryEvent, nowMs: number, actions: RetryAction[]) => void
    handle(event, nowMs, actions)
    return actions
  }

  /** Number of calls between `begin` and their end. */
  public get size (): number {
    return this._calls.size
  }

  private _onBegin (event: EventOf<'begin'>, nowMs: number, actions: RetryAction[]): void {
    this._budget.deposit(nowMs)
    this._hedgeThrottle.recordFirstAttempt()
    if (event.deadlineAtMs <= nowMs) {
      actions.push({ type: 'giveUp', call: event.call, reason: 'deadline-exceeded', retryAfterMs: 0 })
      return
    }
    if (this._calls.size >= this._options.maxCalls) {
      return
    }
    const { call, idempotent, deadlineAtMs, retriesAbove } = event
    const tracked = { call, idempotent, deadlineAtMs, retriesAbove, attempts: 1, inFlight: 1, hedge: 0, ended: false }
    this._calls.set(call, tracked)
    if (event.hedge !== false && this._mayHedge(tracked)) {
      this._setHedgeTimer(tracked, nowMs, actions)
    }
  }

  private _onFailed (event: EventOf<'failed'>, nowMs: number, actions: RetryAction[]): void {
    if (RETRY_RULES[event.reason] === 'overload') {
      this._hedgeThrottle.recordOverload()
    }
    const tracked = this._calls.get(event.call)
    if (tracked === undefined) {
      actions.push({ type: 'giveUp', call: event.call, reason: event.reason, retryAfterMs: event.retryAfterMs })
      return
    }
    tracked.inFlight--
    if (tracked.inFlight > 0 && !event.responseStarted) {
      return
    }
    const reason = this._reasonToGiveUp(event, tracked, nowMs)
    if (reason === undefined) {
      tracked.attempts++
      tracked.inFlight++
      actions.push({ type: 'retry', call: event.call, attempt: tracked.attempts })
      return
    }
    this._removeCall(event.call)
    actions.push({ type: 'giveUp', call: event.call, reason, retryAfterMs: event.retryAfterMs })
  }

  private _onSucceeded (event: EventOf<'succeeded'>, actions: RetryAction[]): void {
    const tracked = this._calls.get(event.call)
    if (tracked === undefined) {
      return
    }
    this._medianLatency.add(event.latencyMs)
    this._hedgeLatency.add(event.latencyMs)
    this._removeCall(event.call)
    if (tracked.hedge > 0) {
      this._hedgeThrottle.recordHedgeOutcome(event.attempt === tracked.hedge)
    }
    if (tracked.inFlight > 1) {
      actions.push({ type: 'cancelAttempts', call: event.call, except: event.attempt ?? 1 })
    }
  }

  private _onTick (nowMs: number, actions: RetryAction[]): void {
    if (nowMs >= this._wakeAtMs) {
      this._wakeAtMs = Infinity
    }
    let timer = this._timers[this._nextTimerIndex]
    while (timer !== undefined && (timer.tracked.ended || timer.dueAtMs <= nowMs)) {
      this._nextTimerIndex++
      this._tryHedge(timer.tracked, nowMs, actions)
      timer = this._timers[this._nextTimerIndex]
    }
    this._dropExpiredTimers()
    if (timer !== undefined) {
      this._requestWake(timer.dueAtMs, actions)
    }
  }

  /** Returns the reason to give the call up now, or undefined when it is retried. */
  private _reasonToGiveUp (event: EventOf<'failed'>, tracked: TrackedCall, nowMs: number): Reason | undefined {
    if (tracked.deadlineAtMs <= nowMs) {
      return 'deadline-exceeded'
    }
    if (!this._mayRetry(event, tracked) || tracked.deadlineAtMs - nowMs < this._medianLatency.estimateMs) {
      return event.reason
    }
    const reserveShare = RETRY_RULES[event.reason] === 'overload' ? FAILURE_RESERVE_SHARE : 0
    if (!this._budget.tryWithdraw(nowMs, reserveShare)) {
      return reserveShare > 0 ? event.reason : 'retry-budget'
    }
    return undefined
  }

  private _mayRetry (event: EventOf<'failed'>, tracked: TrackedCall): boolean {
    if (event.responseStarted || tracked.attempts >= this._options.maxAttempts || RETRY_RULES[event.reason] === 'never') {
      return false
    }
    if (event.disposition === 'not-run') {
      return true
    }
    return event.disposition === 'unknown' && tracked.idempotent && !tracked.retriesAbove
  }

  private _mayHedge (tracked: TrackedCall): boolean {
    return this._options.hedging && tracked.idempotent && !tracked.retriesAbove
  }

  private _setHedgeTimer (tracked: TrackedCall, nowMs: number, actions: RetryAction[]): void {
    const delayMs = Math.max(this._options.minHedgeDelayMs, this._hedgeLatency.estimateMs)
    const last = this._timers[this._timers.length - 1]
    // Timers stay sorted by due time, so that a tick examines only the first ones.
    const dueAtMs = Math.max(nowMs + delayMs, last?.dueAtMs ?? -Infinity)
    if (dueAtMs >= tracked.deadlineAtMs || this._timers.length - this._nextTimerIndex >= this._options.maxCalls) {
      return
    }
    this._timers.push({ tracked, dueAtMs })
    this._requestWake(dueAtMs, actions)
  }

  /** Requests a tick from the host unless one is due by then. */
  private _requestWake (atMs: number, actions: RetryAction[]): void {
    if (atMs < this._wakeAtMs) {
      this._wakeAtMs = atMs
      actions.push({ type: 'wake', atMs })
    }
  }

  private _tryHedge (tracked: TrackedCall, nowMs: number, actions: RetryAction[]): void {
    const mayAddAttempt = !tracked.ended && tracked.inFlight === 1 && tracked.attempts < this._options.maxAttempts
    if (
      !mayAddAttempt || nowMs + this._medianLatency.estimateMs > tracked.deadlineAtMs ||
      !this._hedgeThrottle.allowHedge()
    ) {
      return
    }
    if (!this._budget.tryWithdraw(nowMs, FAILURE_RESERVE_SHARE)) {
      return
    }
    tracked.attempts++
    tracked.inFlight++
    tracked.hedge = tracked.attempts
    actions.push({ type: 'hedge', call: tracked.call, attempt: tracked.attempts })
  }

  private _removeCall (call: CallId): void {
    const tracked = this._calls.get(call)
    if (tracked !== undefined) {
      tracked.ended = true
      this._calls.delete(call)
    }
  }

  /** Drops expired timers once there are many and they are most of the list, so that copying it stays cheap. */
  private _dropExpiredTimers (): void {
    if (this._nextTimerIndex > 64 && this._nextTimerIndex * 2 > this._timers.length) {
      this._timers = this._timers.slice(this._nextTimerIndex)
      this._nextTimerIndex = 0
    }
  }
}
