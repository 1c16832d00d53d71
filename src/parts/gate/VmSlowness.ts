import {
  MEASUREMENT_BACKOFF_MS, MIN_SLOWNESS_PERIOD_MS, PEAK_SLOWNESS_HALF_LIFE_MS, SLOWNESS_FRESH_MS, SLOWNESS_RECHECK_MS,
  SLOWNESS_RECOVERY_MS, SLOWNESS_VALID_MS
} from './Constants.js'

/**
 * How slow the VM of an instance is at the moment. Its neighbours change that several times a second, and a run keeps
 * the pace at which it started: one that starts at a bad moment takes several times as long, while the bad moment
 * passes sooner than that. This answers the load of shared VMs: a call that would lose more than it waits is held
 * until the VM is back at its usual pace. Figures come free on answers; they are asked for only where that matters.
 *
 * Memory: a few numbers.
 */
export class VmSlowness {
  private _slowness = 1
  private _learnedAtMs = -Infinity
  /** Highest slowness seen, fading: a VM that is never slow need not be asked. */
  private _peak = 1
  /** Least slowness of the present period and of the one before. */
  private _periodMin = Infinity
  private _previousPeriodMin = Infinity
  private _periodStartMs = -Infinity
  private _isMeasuring = false
  private _measurementBackoffUntilMs = -Infinity

  /**
   * Takes a figure.
   * @param slowness Time that work takes relative to usual.
   * @param nowMs Monotonic time in milliseconds.
   */
  public learn (slowness: number, nowMs: number): void {
    this._peak = Math.max(slowness, this._decayedPeak(nowMs))
    this._learnMin(slowness, nowMs)
    this._slowness = slowness
    this._learnedAtMs = nowMs
  }

  /** Takes the outcome of a measurement; undefined when there was none, and calls start without one for a while. */
  public finishMeasurement (slowness: number | undefined, nowMs: number): void {
    this._isMeasuring = false
    if (slowness === undefined) this._measurementBackoffUntilMs = nowMs + MEASUREMENT_BACKOFF_MS
    else this.learn(slowness, nowMs)
  }

  /** Notes that a measurement is under way. */
  public startMeasurement (): void {
    this._isMeasuring = true
  }

  /** The latest figure, or the usual pace when it is too old to tell. */
  public current (nowMs: number): number {
    return nowMs - this._learnedAtMs < SLOWNESS_VALID_MS ? this._slowness : 1
  }

  /** True when the pace of a run that starts now is known. */
  public isKnown (nowMs: number): boolean {
    return this._isFresh(nowMs) || this._decayedPeak(nowMs) < NOTABLE_SLOWNESS
  }

  /**
   * Returns what a run loses when it starts now rather than once the VM is quicker again, in milliseconds; undefined
   * when a figure is needed to tell.
   * @param workMs Time of the run at the usual pace.
   */
  public extraRunMs (workMs: number, nowMs: number): number | undefined {
    if (
      workMs * (this._decayedPeak(nowMs) - 1) <= SLOWNESS_RECOVERY_MS || nowMs < this._measurementBackoffUntilMs
    ) return 0
    return this._isFresh(nowMs) ? workMs * Math.max(0, this._slowness - this._persistentSlowness()) : undefined
  }

  /** When the next figure is due, for a call that waits for one; undefined while a measurement is under way. */
  public nextMeasurementAtMs (nowMs: number): number | undefined {
    if (this._isMeasuring) return undefined
    const isSlow = nowMs - this._learnedAtMs < SLOWNESS_VALID_MS && this._slowness >= NOTABLE_SLOWNESS
    return isSlow ? this._learnedAtMs + SLOWNESS_RECHECK_MS : this._learnedAtMs + SLOWNESS_FRESH_MS
  }

  private _learnMin (slowness: number, nowMs: number): void {
    const ageMs = nowMs - this._periodStartMs
    if (ageMs >= MIN_SLOWNESS_PERIOD_MS) {
      this._previousPeriodMin = ageMs < 2 * MIN_SLOWNESS_PERIOD_MS ? this._periodMin : Infinity
      this._periodMin = Infinity
      this._periodStartMs = nowMs
    }
    this._periodMin = Math.min(this._periodMin, slowness)
  }

  /** Slowness that waiting does not mend; that of a single period is taken for passing. */
  private _persistentSlowness (): number {
    return this._previousPeriodMin === Infinity ? 1 : Math.min(this._periodMin, this._previousPeriodMin)
  }

  private _isFresh (nowMs: number): boolean {
    return nowMs - this._learnedAtMs < SLOWNESS_FRESH_MS
  }

  private _decayedPeak (nowMs: number): number {
    if (this._learnedAtMs === -Infinity) return 1
    return 1 + (this._peak - 1) * 0.5 ** ((nowMs - this._learnedAtMs) / PEAK_SLOWNESS_HALF_LIFE_MS)
  }
}

/** Slowness above which runs are notably longer than usual: more than their times differ by themselves. */
const NOTABLE_SLOWNESS = 1.3
