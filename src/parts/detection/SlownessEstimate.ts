import {
  RUNNING_CALL_AGE_SHARE, SLOWNESS_DECAY_INITIAL_MS, SLOWNESS_DECAY_MAX_MS, SLOWNESS_DECAY_MIN_LATENCIES,
  SLOWNESS_DECAY_PER_DURATION, SLOWNESS_MAX_SAMPLES, SLOW_RATIO
} from './Constants.js'

/** Evidence that is this many memories old weighs nothing. */
const NEGLIGIBLE_TIME_CONSTANTS = 10

/**
 * Ratio of seen to expected latency at one instance. Calls that are still running count by their age, so a
 * slow-down shows before its first answer. Evidence fades towards a ratio of 1, and the longer an instance has been
 * slow, the slower it fades: a slow-down of 10 ms is forgotten soon, one of 10 s is tried again seldom.
 * Memory is constant.
 */
export class SlownessEstimate {
  private _ratioSum = 0
  private _weightSum = 0
  private _updatedAtMs = 0
  private _slowSinceMs = Number.POSITIVE_INFINITY
  private _timeConstantMs = SLOWNESS_DECAY_INITIAL_MS
  private _runningCalls = 0
  private _inverseExpectedSum = 0
  private _startOverExpectedSum = 0

  /**
   * A call starts.
   * @param nowMs Monotonic time in milliseconds.
   * @param expectedMs Latency that was expected for it, above 0.
   */
  public recordStart (nowMs: number, expectedMs: number): void {
    this._runningCalls += 1
    this._inverseExpectedSum += 1 / expectedMs
    this._startOverExpectedSum += nowMs / expectedMs
  }

  /**
   * A call that was given to `started` ends.
   * @param startMs Time given to `started`.
   * @param expectedMs Latency given to `started`.
   */
  public recordEnd (startMs: number, expectedMs: number): void {
    this._runningCalls -= 1
    this._inverseExpectedSum -= 1 / expectedMs
    this._startOverExpectedSum -= startMs / expectedMs
    if (this._runningCalls === 0) {
      this._inverseExpectedSum = 0
      this._startOverExpectedSum = 0
    }
  }

  /**
   * A call was answered in full.
   * @param nowMs Monotonic time in milliseconds.
   * @param ratio Seen latency over expected latency.
   */
  public recordAnswer (nowMs: number, ratio: number): void {
    const remainingWeight = this._remainingWeight(nowMs)
    this._ratioSum = this._ratioSum * remainingWeight + ratio
    this._weightSum = this._weightSum * remainingWeight + 1
    this._updatedAtMs = nowMs
    if (this._weightSum > SLOWNESS_MAX_SAMPLES) {
      this._ratioSum *= SLOWNESS_MAX_SAMPLES / this._weightSum
      this._weightSum = SLOWNESS_MAX_SAMPLES
    }
  }

  /**
   * Takes how long a call took, which tells for how long to remember a slow-down.
   * @param nowMs Monotonic time in milliseconds.
   * @param latencyMs What the call took.
   * @param usualMs What a call takes in this service.
   */
  public recordLatency (nowMs: number, latencyMs: number, usualMs: number): void {
    this._timeConstantMs = SLOWNESS_DECAY_MIN_LATENCIES * usualMs
    if (latencyMs < SLOW_RATIO * usualMs) {
      this._slowSinceMs = Number.POSITIVE_INFINITY
      return
    }
    this._slowSinceMs = Math.min(this._slowSinceMs, nowMs)
    const timeConstantMs = SLOWNESS_DECAY_PER_DURATION * (nowMs - this._slowSinceMs)
    this._timeConstantMs = Math.min(SLOWNESS_DECAY_MAX_MS, Math.max(this._timeConstantMs, timeConstantMs))
  }

  /**
   * Weight of evidence on speed that is this old, 0 to 1.
   * @param ageMs Milliseconds.
   */
  public weightAtAge (ageMs: number): number {
    if (ageMs <= 0) {
      return 1
    }
    return ageMs > NEGLIGIBLE_TIME_CONSTANTS * this._timeConstantMs ? 0 : Math.exp(-ageMs / this._timeConstantMs)
  }

  /**
   * The ratio now; 1 is as expected.
   * @param nowMs Monotonic time in milliseconds.
   */
  public ratio (nowMs: number): number {
    if (this._runningCalls === 0 && this._weightSum === 0) {
      return 1
    }
    const remainingWeight = this._remainingWeight(nowMs)
    const weightSum = 1 + this._weightSum * remainingWeight
    const ageSum = nowMs * this._inverseExpectedSum - this._startOverExpectedSum
    const excessAge = Math.max(0, ageSum - this._runningCalls * RUNNING_CALL_AGE_SHARE)
    return (1 + this._ratioSum * remainingWeight + excessAge) / weightSum
  }

  /** Forgets all answers, for an instance that was restored or restarted. */
  public reset (): void {
    this._ratioSum = 0
    this._weightSum = 0
  }

  private _remainingWeight (nowMs: number): number {
    return this.weightAtAge(nowMs - this._updatedAtMs)
  }
}
