import {
  RUNNING_CALL_AGE_SHARE, SLOWNESS_DECAY_INITIAL_MS, SLOWNESS_DECAY_MAX_MS, SLOWNESS_DECAY_MIN_LATENCIES,
  SLOWNESS_DECAY_PER_DURATION, SLOWNESS_MAX_SAMPLES, SLOW_RATIO
} from './Constants.js'

/** Samples that are older than this many time constants have no weight. */
const NEGLIGIBLE_TIME_CONSTANTS = 10

/**
 * Estimate of the slowness of one instance: the ratio of observed to expected latency. Calls that are still running
 * count by their age, so that a slowdown shows before its first answer. The estimate decays towards 1, the slower the
 * longer the instance has been slow: after a slowdown of 10 ms the instance is soon used as before, after one of 10 s
 * it is tried seldom. Memory is constant.
 */
export class SlownessEstimate {
  private _ratioSum = 0
  private _weightSum = 0
  private _updatedAtMs = 0
  private _slowSinceMs = Number.POSITIVE_INFINITY
  private _timeConstantMs = SLOWNESS_DECAY_INITIAL_MS
  private _runningCalls = 0
  // Sums over the running calls: nowMs * sum(1 / expected) - sum(start / expected) is the sum of age / expected.
  private _inverseExpectedSum = 0
  private _startOverExpectedSum = 0

  /**
   * Records the start of a call.
   * @param nowMs Monotonic time in milliseconds.
   * @param expectedMs Latency expected for it in milliseconds, above 0.
   */
  public recordStart (nowMs: number, expectedMs: number): void {
    this._runningCalls += 1
    this._inverseExpectedSum += 1 / expectedMs
    this._startOverExpectedSum += nowMs / expectedMs
  }

  /**
   * Records the end of a call that was given to `recordStart`.
   * @param startMs Time given to `recordStart`.
   * @param expectedMs Latency given to `recordStart`.
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
   * Records the complete answer to a call as a sample.
   * @param nowMs Monotonic time in milliseconds.
   * @param ratio Observed latency divided by expected latency.
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
   * Records the latency of a call, which sets the time constant of the decay.
   * @param nowMs Monotonic time in milliseconds.
   * @param latencyMs Latency of the call in milliseconds.
   * @param usualMs Usual latency of a call in this service in milliseconds.
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
   * Returns the weight of a sample of this age, 0 to 1.
   * @param ageMs Age in milliseconds.
   */
  public weightAtAge (ageMs: number): number {
    if (ageMs <= 0) {
      return 1
    }
    return ageMs > NEGLIGIBLE_TIME_CONSTANTS * this._timeConstantMs ? 0 : Math.exp(-ageMs / this._timeConstantMs)
  }

  /**
   * Returns the current slowness; 1 is as expected.
   * @param nowMs Monotonic time in milliseconds.
   */
  public ratio (nowMs: number): number {
    if (this._runningCalls === 0 && this._weightSum === 0) {
      return 1
    }
    const remainingWeight = this._remainingWeight(nowMs)
    // The constant 1 acts as a sample of ratio 1, to which the estimate decays.
    const weightSum = 1 + this._weightSum * remainingWeight
    const ageRatioSum = nowMs * this._inverseExpectedSum - this._startOverExpectedSum
    const excessAgeRatio = Math.max(0, ageRatioSum - this._runningCalls * RUNNING_CALL_AGE_SHARE)
    return (1 + this._ratioSum * remainingWeight + excessAgeRatio) / weightSum
  }

  /** Discards all answers, for an instance that restarted. */
  public reset (): void {
    this._ratioSum = 0
    this._weightSum = 0
  }

  private _remainingWeight (nowMs: number): number {
    return this.weightAtAge(nowMs - this._updatedAtMs)
  }
}
