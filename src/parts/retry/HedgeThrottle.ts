import {
  HEDGE_MAX_OVERLOAD_SHARE, HEDGE_MIN_WIN_SHARE, HEDGE_OVERLOAD_EWMA_WEIGHT, HEDGE_TRIAL_INTERVAL, HEDGE_WIN_EWMA_WEIGHT
} from './Constants.js'

/**
 * Holds hedges back when they do no good. None is sent while more than a few attempts are refused for overload; while
 * few of them answer before the first attempt, one in some is sent as a trial.
 */
export class HedgeThrottle {
  private _winShare = 2 * HEDGE_MIN_WIN_SHARE
  private _hedgesSinceTrial = 0
  private _overloadShare = 0

  /** Counts a first attempt. */
  public recordFirstAttempt (): void {
    this._overloadShare *= 1 - HEDGE_OVERLOAD_EWMA_WEIGHT
  }

  /** Counts an attempt that was refused for overload. */
  public recordOverload (): void {
    this._overloadShare += HEDGE_OVERLOAD_EWMA_WEIGHT
  }

  /** @param won Whether a hedge answered before the attempt that it was sent beside. */
  public recordHedgeOutcome (won: boolean): void {
    this._winShare += HEDGE_WIN_EWMA_WEIGHT * ((won ? 1 : 0) - this._winShare)
  }

  /** Returns whether the hedge that is due may be sent. */
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
