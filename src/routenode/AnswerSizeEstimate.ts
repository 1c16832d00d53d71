/** Weight of a new answer in the smoothed size. */
const EWMA_WEIGHT = 0.1

/** Size assumed before the first answer of a route, in bytes. */
const INITIAL_BODY_BYTES = 4096

/** What heads and frames add to a body in both directions together, in bytes. */
const OVERHEAD_BYTES = 1000

/** Routes that are kept apart. */
const MAX_ROUTES = 4096

/** Smoothed bytes of answers by route, heads included. Memory: one number for each of at most `MAX_ROUTES` routes. */
export class AnswerSizeEstimate {
  private readonly _averageBytesByRoute = new Map<string, number>()

  /** Returns the expected bytes of an answer on a route. */
  public expectedBytes (route: string): number {
    return OVERHEAD_BYTES + (this._averageBytesByRoute.get(route) ?? INITIAL_BODY_BYTES)
  }

  /** Takes the bytes of an answer's body. */
  public recordAnswer (route: string, bytes: number): void {
    const previous = this._averageBytesByRoute.get(route)
    if (previous !== undefined) this._averageBytesByRoute.set(route, previous + EWMA_WEIGHT * (bytes - previous))
    else if (this._averageBytesByRoute.size < MAX_ROUTES) this._averageBytesByRoute.set(route, bytes)
  }
}
