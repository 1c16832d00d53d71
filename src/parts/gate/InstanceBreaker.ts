/** Failures without an answer in between after which the breaker opens. */
const CONSECUTIVE_FAILURES_TO_OPEN = 3

/** Initial and longest backoff before a trial, in milliseconds; each failed trial doubles it. */
const INITIAL_BACKOFF_MS = 250
const MAX_BACKOFF_MS = 4000

/** Time within which an instance that is lost twice counts as flapping, in milliseconds. */
const FLAPPING_WINDOW_MS = 30_000

/** `trial` is the half-open state: one call at a time is let in until one is answered. */
export type BreakerState = 'closed' | 'open' | 'trial'

/** Slots that the gate may use in each state of the breaker, from those that the instance reports; a trial uses one. */
export const SLOTS_BY_BREAKER_STATE: { readonly [State in BreakerState]: (slots: number) => number } = {
  closed: slots => slots,
  open: () => 0,
  trial: () => 1
}

/**
 * Circuit breaker of one instance, kept by the node beside it. It opens when the instance stops answering or drops
 * connections. That node sees all calls to the instance, so a few failures are enough; a breaker at each caller's node
 * would need as many of its own.
 *
 * Memory: a few numbers.
 */
export class InstanceBreaker {
  private _state: BreakerState = 'closed'
  private _consecutiveFailures = 0
  private _backoffMs = INITIAL_BACKOFF_MS
  private _openedAtMs = -Infinity
  private _previousOpenedAtMs = -Infinity

  /** Current state, which decides how many calls are let in. */
  public get state (): BreakerState {
    return this._state
  }

  /** True when the instance was lost at least twice of late, so that its failures still count when it returns. */
  public isFlapping (nowMs: number): boolean {
    return nowMs - this._previousOpenedAtMs < FLAPPING_WINDOW_MS
  }

  /** True when the backoff of an open breaker has passed, so the instance's health may be checked. */
  public isTrialDue (nowMs: number): boolean {
    return this._state === 'open' && nowMs - this._openedAtMs >= this._backoffMs
  }

  /** Records an answer, or a report of a new incarnation of the instance, and closes the breaker. */
  public recordSuccess (): void {
    this._state = 'closed'
    this._consecutiveFailures = 0
    this._backoffMs = INITIAL_BACKOFF_MS
  }

  /**
   * Records a call without an answer.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordFailure (nowMs: number): void {
    this._consecutiveFailures++
    if (this._state === 'trial') this._backoffMs = Math.min(MAX_BACKOFF_MS, 2 * this._backoffMs)
    if (this._state === 'trial' || this._consecutiveFailures >= CONSECUTIVE_FAILURES_TO_OPEN) this.open(nowMs)
  }

  /**
   * Opens the breaker of an instance that is known to be unreachable.
   * @param nowMs Monotonic time in milliseconds.
   */
  public open (nowMs: number): void {
    if (this._state === 'open') return
    this._state = 'open'
    this._consecutiveFailures = 0
    this._previousOpenedAtMs = this._openedAtMs
    this._openedAtMs = nowMs
  }

  /** Lets one call in after the instance reported itself healthy. */
  public startTrial (): void {
    if (this._state === 'open') this._state = 'trial'
  }
}
