import { BURST_HALF_LIFE_MS, MIN_BURST } from './Constants.js'

/**
 * Token bucket for retries and hedges of one service. Over every window, what is taken is at most
 * `burst + share * first attempts + floorPerSecond * seconds`. The bucket of a quiet service is smaller: it holds what
 * the first attempts of the last seconds earned, so that many quiet nodes don't make a storm together.
 */
export class RetryBudget {
  private readonly _retryShare: number
  private readonly _floorPerMs: number
  private readonly _burst: number
  private _tokens: number
  private _refilledAtMs: number | undefined
  private _recentAttempts = 0

  /**
   * @param retryShare Tokens earned by each first attempt.
   * @param floorPerSecond Tokens earned in each second without any attempt.
   * @param burst Tokens held at most.
   */
  public constructor (retryShare: number, floorPerSecond: number, burst: number) {
    this._retryShare = retryShare
    this._floorPerMs = floorPerSecond / 1000
    this._burst = burst
    this._tokens = this._capacity()
  }

  /** Tokens held after the last event. */
  public get tokens (): number {
    return this._tokens
  }

  /**
   * Counts a first attempt.
   * @param nowMs Monotonic time.
   */
  public deposit (nowMs: number): void {
    this._refill(nowMs)
    this._recentAttempts++
    this._tokens = Math.min(this._capacity(), this._tokens + this._retryShare)
  }

  /**
   * Takes one token and returns true, or returns false and takes none.
   * @param nowMs Monotonic time.
   * @param reserveShare Share of the bucket that must remain afterwards, 0 to 1.
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

  /** Tokens that the bucket holds at most now. */
  private _capacity (): number {
    return Math.min(this._burst, Math.max(MIN_BURST, this._retryShare * this._recentAttempts))
  }
}
