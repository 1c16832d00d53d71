import { INITIAL_WORK_MS, WORK_TIME_EWMA_WEIGHT } from './Constants.js'

/** Routes with an estimate of their own; routes beyond that use the overall average. */
const MAX_ESTIMATES = 1024

/**
 * Moving average of the run time of each route, at a slowness of 1.
 *
 * Memory: one number for each of at most `MAX_ESTIMATES` routes.
 */
export class WorkTimeEstimate {
  private readonly _msByRoute = new Map<string, number>()
  private _overallMs = INITIAL_WORK_MS

  /** Moving average over all routes, in milliseconds. */
  public get overallMs (): number {
    return this._overallMs
  }

  /**
   * Returns the expected run time in milliseconds.
   * @param route Name of the route.
   */
  public expectedMs (route: string): number {
    return this._msByRoute.get(route) ?? this._overallMs
  }

  /**
   * Records a run.
   * @param route Name of the route.
   * @param workMs Run time in milliseconds.
   */
  public recordRun (route: string, workMs: number): void {
    this._overallMs += WORK_TIME_EWMA_WEIGHT * (workMs - this._overallMs)
    const before = this._msByRoute.get(route)
    if (before !== undefined) this._msByRoute.set(route, before + WORK_TIME_EWMA_WEIGHT * (workMs - before))
    else if (this._msByRoute.size < MAX_ESTIMATES) this._msByRoute.set(route, workMs)
  }
}
