import type { Random } from '../Types.js'
import { REFUSAL_HALF_LIFE_MS } from './Constants.js'

/**
 * Chooses Retry-After so that refused callers come back spread over the time that the upstream needs for them:
 * the more calls were refused of late, the wider the spread.
 */
export class RetryAfter {
  private readonly _random: Random
  private readonly _minMs: number
  private readonly _maxMs: number
  private _recentRefusals = 0
  private _lastRefusalAtMs = 0

  /**
   * @param random Source of the spread.
   * @param minMs Shortest answer in milliseconds.
   * @param maxMs Longest answer in milliseconds.
   */
  public constructor (random: Random, minMs: number, maxMs: number) {
    this._random = random
    this._minMs = minMs
    this._maxMs = maxMs
  }

  /**
   * Counts one refusal and returns when its caller should come back, in whole milliseconds.
   * @param waitMs Time that the queue needs now.
   * @param startIntervalMs Time between two calls that end, at the present limit.
   * @param nowMs Monotonic time.
   */
  public next (waitMs: number, startIntervalMs: number, nowMs: number): number {
    this._recentRefusals = this._recentRefusals * 0.5 ** ((nowMs - this._lastRefusalAtMs) / REFUSAL_HALF_LIFE_MS) + 1
    this._lastRefusalAtMs = nowMs
    const earliestMs = Math.max(this._minMs, waitMs)
    const jitterMs = Math.max(this._minMs, this._recentRefusals * startIntervalMs)
    return Math.ceil(Math.min(
      this._maxMs * (0.5 + this._random.next() / 2),
      earliestMs + jitterMs * this._random.next()
    ))
  }
}
