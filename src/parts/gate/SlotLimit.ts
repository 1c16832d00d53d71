import { INITIAL_KNEE_HOLD_MS, KNEE_SHARE, MAX_KNEE_HOLD_MS, MIN_RUNS_ABOVE_KNEE, RUN_TIME_RATIO_EWMA_WEIGHT } from './Constants.js'
import { WorkTimeEstimate } from './WorkTimeEstimate.js'

/**
 * Adaptive concurrency limit of one instance: all its slots, or only those up to the knee. Some instances slow down
 * when nearly full, so that a full one has a lower throughput than one filled to the knee; others don't. The limit is
 * all slots until runs above the knee take so much longer that they lower the throughput; then it stays at the knee for
 * a while before the upper slots are probed again.
 *
 * Memory: a few numbers, and the work time estimates of the runs below the knee.
 */
export class SlotLimit {
  private _slots = 0
  private _knee = 0
  private _aboveKneeRatio = 1
  private _aboveKneeRuns = 0
  private _kneeUntilMs = -Infinity
  private _kneeHoldMs = INITIAL_KNEE_HOLD_MS
  /** Work times of runs below the knee, with which those above are compared. */
  private readonly _belowKnee = new WorkTimeEstimate()

  /**
   * Sets the slots of the instance.
   * @param slots Slots that the instance reports; 0 while it takes no calls.
   */
  public setSlots (slots: number): void {
    this._slots = slots
    this._knee = slots === 0 ? 0 : Math.max(1, Math.floor(slots * KNEE_SHARE))
  }

  /**
   * Returns the concurrency limit.
   * @param nowMs Monotonic time in milliseconds.
   */
  public current (nowMs: number): number {
    return nowMs < this._kneeUntilMs ? this._knee : this._slots
  }

  /**
   * Records a finished run.
   * @param running Calls that ran when it started, itself included.
   * @param route Name of its route.
   * @param workMs Its run time in milliseconds, at a slowness of 1.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordRun (running: number, route: string, workMs: number, nowMs: number): void {
    const ratio = workMs / this._belowKnee.expectedMs(route)
    if (running <= this._knee) {
      this._belowKnee.recordRun(route, workMs)
      return
    }
    // Runs above the knee that end now started before the limit was lowered, so they are ignored.
    if (nowMs < this._kneeUntilMs) return
    this._aboveKneeRuns++
    // Plain mean at first, so that the initial value has no weight.
    const weight = Math.max(RUN_TIME_RATIO_EWMA_WEIGHT, 1 / this._aboveKneeRuns)
    this._aboveKneeRatio += weight * (ratio - this._aboveKneeRatio)
    if (this._aboveKneeRuns >= MIN_RUNS_ABOVE_KNEE && !this._isAboveKneeWorthwhile()) this._limitToKnee(nowMs)
  }

  /** Runs above the knee raise the throughput while concurrency grows by more than the run time. */
  private _isAboveKneeWorthwhile (): boolean {
    return this._aboveKneeRatio < this._slots / this._knee
  }

  private _limitToKnee (nowMs: number): void {
    this._kneeUntilMs = nowMs + this._kneeHoldMs
    this._kneeHoldMs = Math.min(MAX_KNEE_HOLD_MS, 2 * this._kneeHoldMs)
    this._aboveKneeRuns = 0
  }
}
