import {
  MEASUREMENT_BACKOFF_MS, LEAST_SLOWNESS_PERIOD_MS, PEAK_SLOWNESS_HALF_LIFE_MS, SLOWNESS_FRESH_MS, SLOWNESS_RECHECK_MS,
  SLOWNESS_RECOVERY_MS, SLOWNESS_VALID_MS
} from './Constants.js'

/**
 * Tracks the slowness of an instance's VM and estimates what a call loses by starting now. Other VMs on the same host
 * change the slowness several times a second, while a run keeps the slowness at which it started: one that starts at a
 * slow moment takes several times as long, and the slow moment usually passes sooner than that. A call that would lose
 * more than the expected wait is therefore delayed until the VM has recovered. Answers carry samples for free; extra
 * measurements are made only where they decide whether a call starts.
 *
 * Memory: a few numbers.
 */
export class VmSlowness {
  private _slowness = 1
  private _sampledAtMs = -Infinity
  /** Highest slowness seen, decaying to 1; a VM that is never slow needs no measurements. */
  private _peak = 1
  /** Least slowness of the current and of the previous period. */
  private _periodMin = Infinity
  private _previousPeriodMin = Infinity
  private _periodStartMs = -Infinity
  private _isMeasuring = false
  private _measurementBackoffUntilMs = -Infinity

  /**
   * Records a sample.
   * @param slowness Time that work takes relative to usual; 1 is usual.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordSample (slowness: number, nowMs: number): void {
    this._peak = Math.max(slowness, this._decayedPeak(nowMs))
    this._recordMin(slowness, nowMs)
    this._slowness = slowness
    this._sampledAtMs = nowMs
  }

  /** Records the result of a measurement; after a failed one (undefined), calls start without one for a while. */
  public finishMeasurement (slowness: number | undefined, nowMs: number): void {
    this._isMeasuring = false
    if (slowness === undefined) this._measurementBackoffUntilMs = nowMs + MEASUREMENT_BACKOFF_MS
    else this.recordSample(slowness, nowMs)
  }

  /** Records that a measurement is in progress. */
  public startMeasurement (): void {
    this._isMeasuring = true
  }

  /** Returns the latest sample, or 1 when it is no longer valid. */
  public current (nowMs: number): number {
    return nowMs - this._sampledAtMs < SLOWNESS_VALID_MS ? this._slowness : 1
  }

  /** True when the latest sample is fresh, or the VM has not been slow for so long that it counts as usual. */
  public isKnown (nowMs: number): boolean {
    return this._isFresh(nowMs) || this._decayedPeak(nowMs) < NOTABLE_SLOWNESS
  }

  /**
   * Returns by how many milliseconds a run takes longer when it starts now instead of after the VM has recovered;
   * undefined when that needs a measurement. It is 0 for a while after a failed measurement, and when the VM has lately
   * not been slow enough for a wait to save time.
   * @param workMs Run time at a slowness of 1, in milliseconds.
   */
  public extraRunMs (workMs: number, nowMs: number): number | undefined {
    if (
      workMs * (this._decayedPeak(nowMs) - 1) <= SLOWNESS_RECOVERY_MS || nowMs < this._measurementBackoffUntilMs
    ) return 0
    return this._isFresh(nowMs) ? workMs * Math.max(0, this._slowness - this._persistentSlowness()) : undefined
  }

  /** Returns when the next measurement is due if a call waits for one; undefined while one is in progress. */
  public nextMeasurementAtMs (nowMs: number): number | undefined {
    if (this._isMeasuring) return undefined
    const isSlow = nowMs - this._sampledAtMs < SLOWNESS_VALID_MS && this._slowness >= NOTABLE_SLOWNESS
    return isSlow ? this._sampledAtMs + SLOWNESS_RECHECK_MS : this._sampledAtMs + SLOWNESS_FRESH_MS
  }

  private _recordMin (slowness: number, nowMs: number): void {
    const ageMs = nowMs - this._periodStartMs
    if (ageMs >= LEAST_SLOWNESS_PERIOD_MS) {
      this._previousPeriodMin = ageMs < 2 * LEAST_SLOWNESS_PERIOD_MS ? this._periodMin : Infinity
      this._periodMin = Infinity
      this._periodStartMs = nowMs
    }
    this._periodMin = Math.min(this._periodMin, slowness)
  }

  /** Slowness that persists, so that waiting does not help; slowness seen in one period only counts as temporary. */
  private _persistentSlowness (): number {
    return this._previousPeriodMin === Infinity ? 1 : Math.min(this._periodMin, this._previousPeriodMin)
  }

  private _isFresh (nowMs: number): boolean {
    return nowMs - this._sampledAtMs < SLOWNESS_FRESH_MS
  }

  private _decayedPeak (nowMs: number): number {
    if (this._sampledAtMs === -Infinity) return 1
    return 1 + (this._peak - 1) * 0.5 ** ((nowMs - this._sampledAtMs) / PEAK_SLOWNESS_HALF_LIFE_MS)
  }
}

/** Slowness from which runs are notably longer than usual: by more than run times vary anyway. */
const NOTABLE_SLOWNESS = 1.3
