import {
  BLIND_MS, FLOOR_PERIOD_MS, PACE_FRESH_MS, PACE_RECHECK_MS, PACE_STAY_MS, PEAK_HALF_LIFE_MS, SLOWNESS_VALID_MS
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
  private _atMs = -Infinity
  /** Highest slowness seen, fading: a VM that is never slow need not be asked. */
  private _peak = 1
  /** Least slowness of the present period and of the one before. */
  private _floor = Infinity
  private _floorBefore = Infinity
  private _periodStartMs = -Infinity
  private _isMeasuring = false
  private _blindUntilMs = -Infinity

  /**
   * Takes a figure.
   * @param slowness Time that work takes relative to usual.
   * @param nowMs Monotonic time in milliseconds.
   */
  public learn (slowness: number, nowMs: number): void {
    this._peak = Math.max(slowness, this._peakAt(nowMs))
    this._learnFloor(slowness, nowMs)
    this._slowness = slowness
    this._atMs = nowMs
  }

  /** Takes the outcome of a measurement; undefined when there was none, and calls start without one for a while. */
  public measured (slowness: number | undefined, nowMs: number): void {
    this._isMeasuring = false
    if (slowness === undefined) this._blindUntilMs = nowMs + BLIND_MS
    else this.learn(slowness, nowMs)
  }

  /** Notes that a measurement is under way. */
  public beginMeasuring (): void {
    this._isMeasuring = true
  }

  /** The latest figure, or the usual pace when it is too old to tell. */
  public slowness (nowMs: number): number {
    return nowMs - this._atMs < SLOWNESS_VALID_MS ? this._slowness : 1
  }

  /** True when the pace of a run that starts now is known. */
  public isKnown (nowMs: number): boolean {
    return this._isFresh(nowMs) || this._peakAt(nowMs) < NOTABLE_PEAK
  }

  /**
   * Returns what a run loses when it starts now rather than once the VM is quicker again, in milliseconds; undefined
   * when a figure is needed to tell.
   * @param workMs Time of the run at the usual pace.
   */
  public lossMs (workMs: number, nowMs: number): number | undefined {
    if (workMs * (this._peakAt(nowMs) - 1) <= PACE_STAY_MS || nowMs < this._blindUntilMs) return 0
    return this._isFresh(nowMs) ? workMs * Math.max(0, this._slowness - this._lastingSlowness()) : undefined
  }

  /** When the next figure is due, for a call that waits for one; undefined while a measurement is under way. */
  public nextMeasureMs (nowMs: number): number | undefined {
    if (this._isMeasuring) return undefined
    const isSlow = nowMs - this._atMs < SLOWNESS_VALID_MS && this._slowness >= NOTABLE_PEAK
    return isSlow ? this._atMs + PACE_RECHECK_MS : this._atMs + PACE_FRESH_MS
  }

  private _learnFloor (slowness: number, nowMs: number): void {
    const ageMs = nowMs - this._periodStartMs
    if (ageMs >= FLOOR_PERIOD_MS) {
      this._floorBefore = ageMs < 2 * FLOOR_PERIOD_MS ? this._floor : Infinity
      this._floor = Infinity
      this._periodStartMs = nowMs
    }
    this._floor = Math.min(this._floor, slowness)
  }

  /** Slowness that waiting does not mend; that of a single period is taken for passing. */
  private _lastingSlowness (): number {
    return this._floorBefore === Infinity ? 1 : Math.min(this._floor, this._floorBefore)
  }

  private _isFresh (nowMs: number): boolean {
    return nowMs - this._atMs < PACE_FRESH_MS
  }

  private _peakAt (nowMs: number): number {
    if (this._atMs === -Infinity) return 1
    return 1 + (this._peak - 1) * 0.5 ** ((nowMs - this._atMs) / PEAK_HALF_LIFE_MS)
  }
}

/** Slowness above which runs are notably longer than usual: more than their times differ by themselves. */
const NOTABLE_PEAK = 1.3
