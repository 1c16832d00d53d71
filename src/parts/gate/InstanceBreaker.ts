/** Failures in a row, without any answer in between, after which an instance counts as lost. */
const FAILURES_IN_A_ROW = 3

/** First and longest pause before a lost instance is tried again, in milliseconds; each failed trial doubles it. */
const FIRST_PAUSE_MS = 250
const LONGEST_PAUSE_MS = 4000

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
  private _failures = 0
  private _pauseMs = FIRST_PAUSE_MS
  private _openedAtMs = 0

  /** What may be let in now. */
  public get state (): BreakerState {
    return this._state
  }

  /** True when an open breaker has paused for long enough to look at the instance. */
  public isDue (nowMs: number): boolean {
    return this._state === 'open' && nowMs - this._openedAtMs >= this._pauseMs
  }

  /** The instance answered a call, or reported itself as another incarnation. */
  public succeed (): void {
    this._state = 'closed'
    this._failures = 0
    this._pauseMs = FIRST_PAUSE_MS
  }

  /**
   * A call got no answer.
   * @param nowMs Monotonic time in milliseconds.
   */
  public fail (nowMs: number): void {
    this._failures++
    if (this._state === 'trial') this._pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * this._pauseMs)
    if (this._state === 'trial' || this._failures >= FAILURES_IN_A_ROW) this.open(nowMs)
  }

  /**
   * The instance is known to be out of reach.
   * @param nowMs Monotonic time in milliseconds.
   */
  public open (nowMs: number): void {
    if (this._state === 'open') return
    this._state = 'open'
    this._failures = 0
    this._openedAtMs = nowMs
  }

  /** The instance says that it is well: one call may try. */
  public tryAgain (): void {
    if (this._state === 'open') this._state = 'trial'
  }
}
