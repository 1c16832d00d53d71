/** Length of one period over which the longest deadline is kept, in milliseconds; two periods are looked at. */
const PERIOD_MS = 10_000

/** Share of the longest deadline by which those of first attempts differ; callers do not all wait alike. */
const SPREAD = 0.2

/** Routes that are kept apart. */
const MAX_ROUTES = 4096

interface Longest {
  periodStartMs: number
  now: number
  before: number
}

/**
 * Estimates for how long a caller has been waiting already. Callers of one route start with like deadlines and tell
 * what is left of them, so one that tells much less than the longest has spent the difference, most often on an
 * attempt that was refused. Its answer is worth less by then, while a new request can still be answered in time: this
 * answers the load of callers that come back during an overload.
 *
 * Memory: one entry for each of at most `MAX_ROUTES` routes.
 */
export class CallerWaitEstimate {
  private readonly _longest = new Map<string, Longest>()

  /**
   * Takes a request and returns the time that its caller has spent, in milliseconds.
   * @param route Name of its route.
   * @param deadlineMs What the caller says is left.
   * @param nowMs Monotonic time in milliseconds.
   */
  public take (route: string, deadlineMs: number, nowMs: number): number {
    const longest = this._longestOf(route, nowMs)
    if (longest === undefined) return 0
    longest.now = Math.max(longest.now, deadlineMs)
    const fullMs = Math.max(longest.now, longest.before)
    return deadlineMs >= (1 - SPREAD) * fullMs ? 0 : (1 - SPREAD / 2) * fullMs - deadlineMs
  }

  private _longestOf (route: string, nowMs: number): Longest | undefined {
    const known = this._longest.get(route)
    if (known === undefined) {
      if (this._longest.size >= MAX_ROUTES) return undefined
      const first = { periodStartMs: nowMs, now: 0, before: 0 }
      this._longest.set(route, first)
      return first
    }
    if (nowMs - known.periodStartMs >= PERIOD_MS) {
      known.before = nowMs - known.periodStartMs < 2 * PERIOD_MS ? known.now : 0
      known.now = 0
      known.periodStartMs = nowMs
    }
    return known
  }
}
