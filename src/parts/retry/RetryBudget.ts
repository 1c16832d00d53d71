import { BURST_HALF_LIFE_MS, MIN_BURST } from './Constants.js'

/**
 * Token bucket for retries and hedges of one service. Over every window, what is taken is at most
 * `burst + share * first attempts + floorPerSecond * seconds`. The bucket of a quiet service is smaller: it holds what
 * the first attempts of the last seconds earned, so that many quiet nodes don't make a storm together.
 */
export class RetryBudget {
  private readonly _share: number
  private readonly _floorPerMs: number
  private readonly _burst: number
  private _tokens: number
  private _filledAtMs: number | undefined
  private _recentAttempts = 0

  /**
   * @param share Tokens earned by each first attempt.
   * @param floorPerSecond Tokens earned in each second without any attempt.
   * @param burst Tokens held at most.
   */
  public constructor (share: number, floorPerSecond: number, burst: number) {
    this._share = share
    this._floorPerMs = floorPerSecond / 1000
    this._burst = burst
    this._tokens = this._room()
  }

  /** Tokens held after the last event. */
  public get tokens (): number {
    return this._tokens
  }

  /**
   * Counts a first attempt.
   * @param nowMs Monotonic time.
   */
  public earn (nowMs: number): void {
    this._fill(nowMs)
    this._recentAttempts++
    this._tokens = Math.min(this._room(), this._tokens + this._share)
  }

  /**
   * Takes one token and returns true, or returns false and takes none.
   * @param nowMs Monotonic time.
   * @param keepShare Share of the bucket that must remain afterwards, 0 to 1.
   */
  public take (nowMs: number, keepShare: number): boolean {
    this._fill(nowMs)
    if (this._tokens < 1 + keepShare * this._room()) {
      return false
    }
    this._tokens--
    return true
  }

  private _fill (nowMs: number): void {
    const elapsedMs = nowMs - (this._filledAtMs ?? nowMs)
    this._filledAtMs = nowMs
    this._recentAttempts *= 0.5 ** (elapsedMs / BURST_HALF_LIFE_MS)
    this._tokens = Math.min(this._room(), this._tokens + elapsedMs * this._floorPerMs)
  }

  /** Tokens that the bucket holds at most now. */
  private _room (): number {
    return Math.min(this._burst, Math.max(MIN_BURST, this._share * this._recentAttempts))
  }
}
