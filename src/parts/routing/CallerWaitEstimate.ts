/** Length of one period over which the longest deadline is kept, in milliseconds; two periods are looked at. */
const PERIOD_MS = 10_000

/** Share of the longest deadline by which those of first attempts differ; callers do not all wait alike. */
const DEADLINE_VARIATION = 0.2

/** Routes that are kept apart. */
const MAX_ROUTES = 4096

interface LongestDeadline {
  periodStartMs: number
  currentMs: number
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
  private readonly _byRoute = new Map<string, LongestDeadline>()

  /**
   * Takes a request and returns the time that its caller has spent, in milliseconds.
   * @param route Name of its route.
   * @param deadlineMs What the caller says is left.
   * @param nowMs Monotonic time in milliseconds.
   */
  public observe (route: string, deadlineMs: number, nowMs: number): number {
    const longest = this._findOrAdd(route, nowMs)
    if (longest === undefined) return 0
    longest.currentMs = Math.max(longest.currentMs, deadlineMs)
    const fullMs = Math.max(longest.currentMs, longest.before)
    return deadlineMs >= (1 - DEADLINE_VARIATION) * fullMs ? 0 : (1 - DEADLINE_VARIATION / 2) * fullMs - deadlineMs
  }

  private _findOrAdd (route: string, nowMs: number): LongestDeadline | undefined {
    const longest = this._byRoute.get(route)
    if (longest === undefined) {
      if (this._byRoute.size >= MAX_ROUTES) return undefined
      const added = { periodStartMs: nowMs, currentMs: 0, before: 0 }
      this._byRoute.set(route, added)
      return added
    }
    if (nowMs - longest.periodStartMs >= PERIOD_MS) {
      longest.before = nowMs - longest.periodStartMs < 2 * PERIOD_MS ? longest.currentMs : 0
      longest.currentMs = 0
      longest.periodStartMs = nowMs
    }
    return longest
  }
}
