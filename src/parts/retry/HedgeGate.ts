import { HEDGE_PAUSE_MS, HEDGE_TRIAL_INTERVAL, HEDGE_WIN_SHARE, HEDGE_WIN_WEIGHT } from './Constants.js'

/**
 * Holds hedges back when they do no good: for a while after a refusal for overload, and while few of them answer before
 * the first attempt. Then only one in some is sent, as a trial.
 */
export class HedgeGate {
  private _winShare = 2 * HEDGE_WIN_SHARE
  private _heldBack = 0
  private _pausedUntilMs = -Infinity

  /** @param nowMs Monotonic time of a refusal for overload. */
  public pause (nowMs: number): void {
    this._pausedUntilMs = nowMs + HEDGE_PAUSE_MS
  }

  /** @param won Whether a hedge answered before the attempt that it was sent beside. */
  public learn (won: boolean): void {
    this._winShare += HEDGE_WIN_WEIGHT * ((won ? 1 : 0) - this._winShare)
  }

  /**
   * Returns whether the hedge that is due may be sent.
   * @param nowMs Monotonic time.
   */
  public opens (nowMs: number): boolean {
    if (nowMs < this._pausedUntilMs) {
      return false
    }
    if (this._winShare >= HEDGE_WIN_SHARE) {
      return true
    }
    this._heldBack = (this._heldBack + 1) % HEDGE_TRIAL_INTERVAL
    return this._heldBack === 0
  }
}
