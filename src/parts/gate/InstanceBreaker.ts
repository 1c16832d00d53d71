/** Failures in a row, without any answer in between, after which an instance counts as lost. */
const CONSECUTIVE_FAILURES_TO_OPEN = 3

/** First and longest pause before a lost instance is tried again, in milliseconds; each failed trial doubles it. */
const INITIAL_BACKOFF_MS = 250
const MAX_BACKOFF_MS = 4000

/** `trial` lets one call at a time in, until one is answered. */
export type BreakerState = 'closed' | 'open' | 'trial'

/**
 * Decides at its node whether an instance that stays silent or breaks off is lost. The node sees all calls, so a few
 * failures are enough, where each caller's node would have to make its own.
 *
 * Memory: a few numbers.
 */
export class InstanceBreaker {
  private _state: BreakerState = 'closed'
  private _consecutiveFailures = 0
  private _backoffMs = INITIAL_BACKOFF_MS
  private _openedAtMs = 0

  /** What may be let in now. */
  public get state (): BreakerState {
    return this._state
  }

  /** True when an open breaker has paused for long enough to look at the instance. */
  public isTrialDue (nowMs: number): boolean {
    return this._state === 'open' && nowMs - this._openedAtMs >= this._backoffMs
  }

  /** The instance answered a call, or reported itself as another incarnation. */
  public recordSuccess (): void {
    this._state = 'closed'
    this._consecutiveFailures = 0
    this._backoffMs = INITIAL_BACKOFF_MS
  }

  /**
   * A call got no answer.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordFailure (nowMs: number): void {
    this._consecutiveFailures++
    if (this._state === 'trial') this._backoffMs = Math.min(MAX_BACKOFF_MS, 2 * this._backoffMs)
    if (this._state === 'trial' || this._consecutiveFailures >= CONSECUTIVE_FAILURES_TO_OPEN) this.open(nowMs)
  }

  /**
   * The instance is known to be out of reach.
   * @param nowMs Monotonic time in milliseconds.
   */
  public open (nowMs: number): void {
    if (this._state === 'open') return
    this._state = 'open'
    this._consecutiveFailures = 0
    this._openedAtMs = nowMs
  }

  /** The instance says that it is well: one call may try. */
  public startTrial (): void {
    if (this._state === 'open') this._state = 'trial'
  }
}
