import { EXPECTED_AGE_SHARE, LATENCY_MAX_COUNT, SLOW_MEMORY_MAX_MS, SLOW_MEMORY_MIN_MS, SLOW_RATIO } from './Constants.js'

/**
 * Ratio of seen to expected latency at one instance. Calls that are still running count by their age, so a
 * slow-down shows before its first answer. Evidence fades towards a ratio of 1, and the longer an instance has been
 * slow, the slower it fades: a slow-down of 10 ms is forgotten soon, one of 10 s is tried again seldom.
 * Memory is constant.
 */
export class SlownessEstimate {
  private ratioSum = 0
  private count = 0
  private updatedMs = 0
  private slowSinceMs = Number.POSITIVE_INFINITY
  private memoryMs = SLOW_MEMORY_MIN_MS
  private running = 0
  private inverseSum = 0
  private startOverExpectedSum = 0

  /**
   * A call starts.
   * @param nowMs Monotonic time in milliseconds.
   * @param expectedMs Latency that was expected for it, above 0.
   */
  public started (nowMs: number, expectedMs: number): void {
    this.running += 1
    this.inverseSum += 1 / expectedMs
    this.startOverExpectedSum += nowMs / expectedMs
  }

  /**
   * A call that was given to `started` ends.
   * @param startMs Time given to `started`.
   * @param expectedMs Latency given to `started`.
   */
  public ended (startMs: number, expectedMs: number): void {
    this.running -= 1
    this.inverseSum -= 1 / expectedMs
    this.startOverExpectedSum -= startMs / expectedMs
    if (this.running === 0) {
      this.inverseSum = 0
      this.startOverExpectedSum = 0
    }
  }

  /**
   * A call was answered in full.
   * @param nowMs Monotonic time in milliseconds.
   * @param ratio Seen latency over expected latency.
   */
  public answered (nowMs: number, ratio: number): void {
    const kept = this.keptShare(nowMs)
    this.ratioSum = this.ratioSum * kept + ratio
    this.count = this.count * kept + 1
    this.updatedMs = nowMs
    if (this.count > LATENCY_MAX_COUNT) {
      this.ratioSum *= LATENCY_MAX_COUNT / this.count
      this.count = LATENCY_MAX_COUNT
    }
    this.noteSpeed(nowMs, ratio)
  }

  /**
   * Takes how slow the instance is now, from any evidence; 1 is as usual.
   * @param nowMs Monotonic time in milliseconds.
   * @param factor Its latency or service time over the usual one.
   */
  public noteSpeed (nowMs: number, factor: number): void {
    if (factor < SLOW_RATIO) {
      this.slowSinceMs = Number.POSITIVE_INFINITY
      this.memoryMs = SLOW_MEMORY_MIN_MS
      return
    }
    this.slowSinceMs = Math.min(this.slowSinceMs, nowMs)
    const lastedMs = 2 * (nowMs - this.slowSinceMs)
    this.memoryMs = Math.min(SLOW_MEMORY_MAX_MS, Math.max(SLOW_MEMORY_MIN_MS, lastedMs))
  }

  /**
   * Weight of evidence on speed that is this old, 0 to 1.
   * @param ageMs Milliseconds.
   */
  public weightAt (ageMs: number): number {
    return ageMs <= 0 ? 1 : Math.exp(-ageMs / this.memoryMs)
  }

  /**
   * The ratio now; 1 is as expected.
   * @param nowMs Monotonic time in milliseconds.
   */
  public ratio (nowMs: number): number {
    const kept = this.keptShare(nowMs)
    const weight = 1 + this.count * kept
    const ages = nowMs * this.inverseSum - this.startOverExpectedSum
    const excess = Math.max(0, ages - this.running * EXPECTED_AGE_SHARE)
    return (1 + this.ratioSum * kept + excess) / weight
  }

  /** Forgets all answers, for an instance that was restored or restarted. */
  public reset (): void {
    this.ratioSum = 0
    this.count = 0
  }

  private keptShare (nowMs: number): number {
    return this.weightAt(nowMs - this.updatedMs)
  }
}
