import {
  HEDGE_REFUSED_SHARE, HEDGE_REFUSED_WEIGHT, HEDGE_TRIAL_INTERVAL, HEDGE_WIN_SHARE, HEDGE_WIN_WEIGHT
} from './Constants.js'

/**
 * Holds hedges back when they do no good. None is sent while more than a few attempts are refused for overload; while
 * few of them answer before the first attempt, one in some is sent as a trial.
 */
export class HedgeGate {
  private _winShare = 2 * HEDGE_WIN_SHARE
  private _heldBack = 0
  private _refusedShare = 0

  /** Counts a first attempt. */
  public began (): void {
    this._refusedShare *= 1 - HEDGE_REFUSED_WEIGHT
  }

  /** Counts an attempt that was refused for overload. */
  public refused (): void {
    this._refusedShare += HEDGE_REFUSED_WEIGHT
  }

  /** @param won Whether a hedge answered before the attempt that it was sent beside. */
  public learn (won: boolean): void {
    this._winShare += HEDGE_WIN_WEIGHT * ((won ? 1 : 0) - this._winShare)
  }

  /** Returns whether the hedge that is due may be sent. */
  public opens (): boolean {
    if (this._refusedShare >= HEDGE_REFUSED_SHARE) {
      return false
    }
    if (this._winShare >= HEDGE_WIN_SHARE) {
      return true
    }
    this._heldBack = (this._heldBack + 1) % HEDGE_TRIAL_INTERVAL
    return this._heldBack === 0
  }
}
