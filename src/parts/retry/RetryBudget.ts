import { BURST_HALF_LIFE_MS, MIN_BURST } from './Constants.js'

/**
 * Token bucket that limits the retries and hedges of one service. Over every window, at most
 * `burst + retryShare * first attempts + floorPerSecond * seconds` tokens are withdrawn. With little traffic the
 * capacity is smaller than `burst`: it is what the first attempts of the last seconds have deposited, so that many
 * nodes with little traffic do not cause a retry storm together. Memory is constant.
 */
export class RetryBudget {
  private readonly _retryShare: number
  private readonly _floorPerMs: number
  private readonly _burst: number
  private _tokens: number
  private _refilledAtMs: number | undefined
  private _recentAttempts = 0

  /**
   * @param retryShare Tokens deposited by each first attempt.
   * @param floorPerSecond Tokens added in each second, also without any attempt.
   * @param burst Largest capacity in tokens.
   */
  public constructor (retryShare: number, floorPerSecond: number, burst: number) {
    this._retryShare = retryShare
    this._floorPerMs = floorPerSecond / 1000
    this._burst = burst
    this._tokens = this._capacity()
  }

  /** Tokens in the bucket as of the last deposit or withdrawal. */
  public get tokens (): number {
    return this._tokens
  }

  /**
   * Records a first attempt, which deposits `retryShare` tokens.
   * @param nowMs Monotonic time in milliseconds.
   */
  public deposit (nowMs: number): void {
    this._refill(nowMs)
    this._recentAttempts++
    this._tokens = Math.min(this._capacity(), this._tokens + this._retryShare)
  }

  /**
   * Withdraws one token and returns true, or returns false if too few tokens are left.
   * @param nowMs Monotonic time in milliseconds.
   * @param reserveShare Share of the capacity that must remain afterwards, 0 to 1.
   */
  public tryWithdraw (nowMs: number, reserveShare: number): boolean {
    this._refill(nowMs)
    if (this._tokens < 1 + reserveShare * this._capacity()) {
      return false
    }
    this._tokens--
    return true
  }

  private _refill (nowMs: number): void {
    const elapsedMs = nowMs - (this._refilledAtMs ?? nowMs)
    this._refilledAtMs = nowMs
    this._recentAttempts *= 0.5 ** (elapsedMs / BURST_HALF_LIFE_MS)
    this._tokens = Math.min(this._capacity(), this._tokens + elapsedMs * this._floorPerMs)
  }

  /** Returns the current capacity in tokens. */
  private _capacity (): number {
    return Math.min(this._burst, Math.max(MIN_BURST, this._retryShare * this._recentAttempts))
  }
}
