import { FIRST_HOLD_MS, KNEE_SHARE, LONGEST_HOLD_MS, MIN_UPPER_RUNS, RATIO_WEIGHT } from './Constants.js'
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
  private _upperRatio = 1
  private _upperRuns = 0
  private _heldUntilMs = -Infinity
  private _holdMs = FIRST_HOLD_MS
  /** Times of runs below the knee, which those above are compared with. */
  private readonly _usual = new WorkTimeEstimate()

  /**
   * Takes the slots that the instance announces; 0 while it takes nothing.
   * @param slots The slots.
   */
  public announce (slots: number): void {
    this._slots = slots
    this._knee = slots === 0 ? 0 : Math.max(1, Math.floor(slots * KNEE_SHARE))
  }

  /**
   * Returns the calls that may run at once.
   * @param nowMs Monotonic time in milliseconds.
   */
  public current (nowMs: number): number {
    return nowMs < this._heldUntilMs ? this._knee : this._slots
  }

  /**
   * Learns from a run.
   * @param running Calls that ran when it started, itself included.
   * @param work Its kind.
   * @param workMs Its time in milliseconds.
   * @param nowMs Monotonic time in milliseconds.
   */
  public learn (running: number, work: string, workMs: number, nowMs: number): void {
    const ratio = workMs / this._usual.of(work)
    if (running <= this._knee) {
      this._usual.learn(work, workMs)
      return
    }
    // Runs that started before the limit was lowered have had their say.
    if (nowMs < this._heldUntilMs) return
    this._upperRuns++
    // Plain mean at first, so that the start value does not count.
    const weight = Math.max(RATIO_WEIGHT, 1 / this._upperRuns)
    this._upperRatio += weight * (ratio - this._upperRatio)
    if (this._upperRuns >= MIN_UPPER_RUNS && !this._pays()) this._hold(nowMs)
  }

  /** More runs at once pay while their number grows faster than their time. */
  private _pays (): boolean {
    return this._upperRatio < this._slots / this._knee
  }

  private _hold (nowMs: number): void {
    this._heldUntilMs = nowMs + this._holdMs
    this._holdMs = Math.min(LONGEST_HOLD_MS, 2 * this._holdMs)
    this._upperRuns = 0
  }
}
