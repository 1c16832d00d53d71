/**
 * Token bucket for retries and hedges of one service. Over every window, what is taken is at most
 * `burst + share * first attempts + floorPerSecond * seconds`.
 */
export class RetryBudget {
  private readonly _share: number
  private readonly _floorPerMs: number
  private readonly _burst: number
  private _tokens: number
  private _filledAtMs: number | undefined

  /**
   * @param share Tokens earned by each first attempt.
   * @param floorPerSecond Tokens earned in each second without any attempt.
   * @param burst Tokens held at most, and at the start.
   */
  public constructor (share: number, floorPerSecond: number, burst: number) {
    this._share = share
    this._floorPerMs = floorPerSecond / 1000
    this._burst = burst
    this._tokens = burst
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
    this._tokens = Math.min(this._burst, this._tokens + this._share)
  }

  /**
   * Takes one token and returns true, or returns false and takes none.
   * @param nowMs Monotonic time.
   * @param keep Tokens that must remain afterwards.
   */
  public take (nowMs: number, keep: number): boolean {
    this._fill(nowMs)
    if (this._tokens < 1 + keep) {
      return false
    }
    this._tokens--
    return true
  }

  private _fill (nowMs: number): void {
    const elapsedMs = nowMs - (this._filledAtMs ?? nowMs)
    this._filledAtMs = nowMs
    this._tokens = Math.min(this._burst, this._tokens + elapsedMs * this._floorPerMs)
  }
}
