import { INITIAL_WORK_MS, WORK_TIME_EWMA_WEIGHT } from './Constants.js'

/** Estimates that are kept; routes beyond it share one. */
const MAX_ESTIMATES = 1024

/**
 * Smoothed time of runs by kind of work, at the usual pace of the VM.
 *
 * Memory: one number for each of at most `MAX_ESTIMATES` kinds.
 */
export class WorkTimeEstimate {
  private readonly _byWork = new Map<string, number>()
  private _overallMs = INITIAL_WORK_MS

  /** Smoothed time over all kinds, in milliseconds. */
  public get overallMs (): number {
    return this._overallMs
  }

  /**
   * Returns the expected time of a run in milliseconds.
   * @param work Kind of work.
   */
  public expectedMs (work: string): number {
    return this._byWork.get(work) ?? this._overallMs
  }

  /**
   * Takes a sample.
   * @param work Kind of work.
   * @param workMs Time of the run in milliseconds.
   */
  public learn (work: string, workMs: number): void {
    this._overallMs += WORK_TIME_EWMA_WEIGHT * (workMs - this._overallMs)
    const before = this._byWork.get(work)
    if (before !== undefined) this._byWork.set(work, before + WORK_TIME_EWMA_WEIGHT * (workMs - before))
    else if (this._byWork.size < MAX_ESTIMATES) this._byWork.set(work, workMs)
  }
}
