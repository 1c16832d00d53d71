import { INITIAL_KNEE_HOLD_MS, KNEE_SHARE, MAX_KNEE_HOLD_MS, MIN_RUNS_ABOVE_KNEE, RUN_TIME_RATIO_EWMA_WEIGHT } from './Constants.js'
import { WorkTimeEstimate } from './WorkTimeEstimate.js'

/**
 * Finds how many calls should run at once. Some instances slow down when they are nearly full, so that a full one
 * finishes less than one filled to the knee; others don't. All slots are used until runs above the knee are seen to
 * take so much longer that they don't pay; they are tried again later. This answers the load of a busy instance.
 *
 * Memory: a few numbers.
 */
export class SlotLimit {
  private _slots = 0
  private _knee = 0
  private _aboveKneeRatio = 1
  private _aboveKneeRuns = 0
  private _kneeUntilMs = -Infinity
  private _kneeHoldMs = INITIAL_KNEE_HOLD_MS
  /** Times of runs below the knee, which those above are compared with. */
  private readonly _belowKnee = new WorkTimeEstimate()

  /**
   * Takes the slots that the instance announces; 0 while it takes nothing.
   * @param slots The slots.
   */
  public setSlots (slots: number): void {
    this._slots = slots
    this._knee = slots === 0 ? 0 : Math.max(1, Math.floor(slots * KNEE_SHARE))
  }

  /**
   * Returns the calls that may run at once.
   * @param nowMs Monotonic time in milliseconds.
   */
  public current (nowMs: number): number {
    return nowMs < this._kneeUntilMs ? this._knee : this._slots
  }

  /**
   * Learns from a run.
   * @param running Calls that ran when it started, itself included.
   * @param work Its kind.
   * @param workMs Its time in milliseconds.
   * @param nowMs Monotonic time in milliseconds.
   */
  public learn (running: number, work: string, workMs: number, nowMs: number): void {
    const ratio = workMs / this._belowKnee.expectedMs(work)
    if (running <= this._knee) {
      this._belowKnee.learn(work, workMs)
      return
    }
    // Runs that started before the limit was lowered have had their say.
    if (nowMs < this._kneeUntilMs) return
    this._aboveKneeRuns++
    // Plain mean at first, so that the start value does not count.
    const weight = Math.max(RUN_TIME_RATIO_EWMA_WEIGHT, 1 / this._aboveKneeRuns)
    this._aboveKneeRatio += weight * (ratio - this._aboveKneeRatio)
    if (this._aboveKneeRuns >= MIN_RUNS_ABOVE_KNEE && !this._isAboveKneeWorthwhile()) this._limitToKnee(nowMs)
  }

  /** More runs at once pay while their number grows faster than their time. */
  private _isAboveKneeWorthwhile (): boolean {
    return this._aboveKneeRatio < this._slots / this._knee
  }

  private _limitToKnee (nowMs: number): void {
    this._kneeUntilMs = nowMs + this._kneeHoldMs
    this._kneeHoldMs = Math.min(MAX_KNEE_HOLD_MS, 2 * this._kneeHoldMs)
    this._aboveKneeRuns = 0
  }
}
