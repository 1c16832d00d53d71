import {
  HEDGE_MAX_OVERLOAD_SHARE, HEDGE_MIN_WIN_SHARE, HEDGE_OVERLOAD_EWMA_WEIGHT, HEDGE_TRIAL_INTERVAL, HEDGE_WIN_EWMA_WEIGHT
} from './Constants.js'

/**
 * Suppresses hedges that do not help. No hedge is sent while too many attempts are refused for overload; while too few
 * hedges answer before the first attempt, only one in `HEDGE_TRIAL_INTERVAL` is sent, as a trial. Memory is constant.
 */
export class HedgeThrottle {
  private _winShare = 2 * HEDGE_MIN_WIN_SHARE
  private _hedgesSinceTrial = 0
  private _overloadShare = 0

  /** Records that a first attempt was sent. */
  public recordFirstAttempt (): void {
    this._overloadShare *= 1 - HEDGE_OVERLOAD_EWMA_WEIGHT
  }

  /** Records that an attempt was refused for overload. */
  public recordOverload (): void {
    this._overloadShare += HEDGE_OVERLOAD_EWMA_WEIGHT
  }

  /**
   * Records the outcome of a hedge.
   * @param won Whether the hedge answered before the first attempt.
   */
  public recordHedgeOutcome (won: boolean): void {
    this._winShare += HEDGE_WIN_EWMA_WEIGHT * ((won ? 1 : 0) - this._winShare)
  }

  /** Returns whether the hedge that is due may be sent, and counts it towards the next trial while few answer first. */
  public allowHedge (): boolean {
    if (this._overloadShare >= HEDGE_MAX_OVERLOAD_SHARE) {
      return false
    }
    if (this._winShare >= HEDGE_MIN_WIN_SHARE) {
      return true
    }
    this._hedgesSinceTrial = (this._hedgesSinceTrial + 1) % HEDGE_TRIAL_INTERVAL
    return this._hedgesSinceTrial === 0
  }
}
