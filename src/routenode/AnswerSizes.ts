/** Weight of a new answer in the smoothed size. */
const SIZE_WEIGHT = 0.1

/** Size assumed before the first answer of a route, in bytes. */
const FIRST_SIZE_BYTES = 4096

/** What heads and frames add to a body in both directions together, in bytes. */
const OVERHEAD_BYTES = 1000

/** Routes that are kept apart. */
const MAX_ROUTES = 4096

/** Smoothed bytes of answers by route, heads included. Memory: one number for each of at most `MAX_ROUTES` routes. */
export class AnswerSizes {
  private readonly _byRoute = new Map<string, number>()

  /** Returns the expected bytes of an answer on a route. */
  public of (route: string): number {
    return OVERHEAD_BYTES + (this._byRoute.get(route) ?? FIRST_SIZE_BYTES)
  }

  /** Takes the bytes of an answer's body. */
  public learn (route: string, bytes: number): void {
    const before = this._byRoute.get(route)
    if (before !== undefined) this._byRoute.set(route, before + SIZE_WEIGHT * (bytes - before))
    else if (this._byRoute.size < MAX_ROUTES) this._byRoute.set(route, bytes)
  }
}
