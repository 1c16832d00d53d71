/** Weight of a new answer in the moving average, from 0 to 1. */
const EWMA_WEIGHT = 0.1

/** Body size assumed before the first answer of a route, in bytes. */
const INITIAL_BODY_BYTES = 4096

/** Bytes that headers and frames add to the bodies of a request and its answer together. */
const OVERHEAD_BYTES = 1000

/** Largest number of routes that are tracked; others are estimated at the initial size. */
const MAX_ROUTES = 4096

/**
 * Estimates the size of the next answer of a route from a moving average of its answers.
 *
 * Memory: one number for each of at most `MAX_ROUTES` routes.
 */
export class AnswerSizeEstimate {
  private readonly _averageBytesByRoute = new Map<string, number>()

  /** Returns the expected bytes of an answer's body plus the headers and frames of the request and the answer. */
  public expectedBytes (route: string): number {
    return OVERHEAD_BYTES + (this._averageBytesByRoute.get(route) ?? INITIAL_BODY_BYTES)
  }

  /** Records the size of an answer's body in bytes. */
  public recordAnswer (route: string, bytes: number): void {
    const previous = this._averageBytesByRoute.get(route)
    if (previous !== undefined) this._averageBytesByRoute.set(route, previous + EWMA_WEIGHT * (bytes - previous))
    else if (this._averageBytesByRoute.size < MAX_ROUTES) this._averageBytesByRoute.set(route, bytes)
  }
}
