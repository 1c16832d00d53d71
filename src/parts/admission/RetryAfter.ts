import type { Random } from '../Types.js'
import { REFUSAL_HALF_LIFE_MS } from './Constants.js'

/**
 * Chooses the Retry-After of refused calls. The more calls were refused recently, the larger the jitter, so that the
 * callers return spread over the time that the upstream needs to serve them instead of all at once.
 */
export class RetryAfter {
  private readonly _random: Random
  private readonly _minMs: number
  private readonly _maxMs: number
  private _recentRefusals = 0
  private _lastRefusalAtMs = 0

  /**
   * @param random Source of the jitter.
   * @param minMs Shortest delay before the jitter is added, and smallest range of the jitter, in milliseconds.
   * @param maxMs Longest delay in milliseconds. Each delay is capped at a random value between half of it and all of
   *   it, so that callers whose delays are capped don't retry together.
   */
  public constructor (random: Random, minMs: number, maxMs: number) {
    this._random = random
    this._minMs = minMs
    this._maxMs = maxMs
  }

  /**
   * Counts one refusal and returns after how many whole milliseconds its caller should retry.
   * @param waitMs Expected time until the current queue is empty, in milliseconds.
   * @param startIntervalMs Expected time between the starts of two queued calls, in milliseconds.
   * @param nowMs Monotonic time in milliseconds.
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
