import {
  EXPECTED_AGE_SHARE, LATENCY_MAX_COUNT, SLOW_MEMORY_MAX_MS, SLOW_MEMORY_MIN_USUAL_TIMES, SLOW_MEMORY_OVER_LASTED,
  SLOW_MEMORY_START_MS, SLOW_RATIO
} from './Constants.js'

/** Evidence that is this many memories old weighs nothing. */
const NEGLIGIBLE_AGE = 10

/**
 * Ratio of seen to expected latency at one instance. Calls that are still running count by their age, so a
 * slow-down shows before its first answer. Evidence fades towards a ratio of 1, and the longer an instance has been
 * slow, the slower it fades: a slow-down of 10 ms is forgotten soon, one of 10 s is tried again seldom.
 * Memory is constant.
 */
export class SlownessEstimate {
  private _ratioSum = 0
  private _count = 0
  private _updatedMs = 0
  private _slowSinceMs = Number.POSITIVE_INFINITY
  private _memoryMs = SLOW_MEMORY_START_MS
  private _running = 0
  private _inverseSum = 0
  private _startOverExpectedSum = 0

  /**
   * A call starts.
   * @param nowMs Monotonic time in milliseconds.
   * @param expectedMs Latency that was expected for it, above 0.
   */
  public started (nowMs: number, expectedMs: number): void {
    this._running += 1
    this._inverseSum += 1 / expectedMs
    this._startOverExpectedSum += nowMs / expectedMs
  }

  /**
   * A call that was given to `started` ends.
   * @param startMs Time given to `started`.
   * @param expectedMs Latency given to `started`.
   */
  public ended (startMs: number, expectedMs: number): void {
    this._running -= 1
    this._inverseSum -= 1 / expectedMs
    this._startOverExpectedSum -= startMs / expectedMs
    if (this._running === 0) {
      this._inverseSum = 0
      this._startOverExpectedSum = 0
    }
  }

  /**
   * A call was answered in full.
   * @param nowMs Monotonic time in milliseconds.
   * @param ratio Seen latency over expected latency.
   */
  public answered (nowMs: number, ratio: number): void {
    const kept = this._keptShare(nowMs)
    this._ratioSum = this._ratioSum * kept + ratio
    this._count = this._count * kept + 1
    this._updatedMs = nowMs
    if (this._count > LATENCY_MAX_COUNT) {
      this._ratioSum *= LATENCY_MAX_COUNT / this._count
      this._count = LATENCY_MAX_COUNT
    }
  }

  /**
   * Takes how long a call took, which tells for how long to remember a slow-down.
   * @param nowMs Monotonic time in milliseconds.
   * @param latencyMs What the call took.
   * @param usualMs What a call takes in this service.
   */
  public noteSpeed (nowMs: number, latencyMs: number, usualMs: number): void {
    this._memoryMs = SLOW_MEMORY_MIN_USUAL_TIMES * usualMs
    if (latencyMs < SLOW_RATIO * usualMs) {
      this._slowSinceMs = Number.POSITIVE_INFINITY
      return
    }
    this._slowSinceMs = Math.min(this._slowSinceMs, nowMs)
    const lastedMs = SLOW_MEMORY_OVER_LASTED * (nowMs - this._slowSinceMs)
    this._memoryMs = Math.min(SLOW_MEMORY_MAX_MS, Math.max(this._memoryMs, lastedMs))
  }

  /**
   * Weight of evidence on speed that is this old, 0 to 1.
   * @param ageMs Milliseconds.
   */
  public weightAt (ageMs: number): number {
    if (ageMs <= 0) {
      return 1
    }
    return ageMs > NEGLIGIBLE_AGE * this._memoryMs ? 0 : Math.exp(-ageMs / this._memoryMs)
  }

  /**
   * The ratio now; 1 is as expected.
   * @param nowMs Monotonic time in milliseconds.
   */
  public ratio (nowMs: number): number {
    if (this._running === 0 && this._count === 0) {
      return 1
    }
    const kept = this._keptShare(nowMs)
    const weight = 1 + this._count * kept
    const ages = nowMs * this._inverseSum - this._startOverExpectedSum
    const excess = Math.max(0, ages - this._running * EXPECTED_AGE_SHARE)
    return (1 + this._ratioSum * kept + excess) / weight
  }

  /** Forgets all answers, for an instance that was restored or restarted. */
  public reset (): void {
    this._ratioSum = 0
    this._count = 0
  }

  private _keptShare (nowMs: number): number {
    return this.weightAt(nowMs - this._updatedMs)
  }
}
