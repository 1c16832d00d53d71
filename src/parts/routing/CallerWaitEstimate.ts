/** Length of a period over which the longest deadline is kept, in milliseconds; the last two periods count. */
const PERIOD_MS = 10_000

/** Share of the longest deadline by which the deadlines of first attempts vary between callers. */
const DEADLINE_VARIATION = 0.2

/** Routes with an estimate; callers of further routes count as not having waited. */
const MAX_ROUTES = 4096

/** Longest deadlines of a route, in milliseconds from the request's arrival. */
interface LongestDeadline {
  periodStartMs: number
  /** Longest of the current period. */
  currentMs: number
  /** Longest of the previous period. */
  previousMs: number
}

/**
 * Estimates how long a caller has been waiting when its request arrives. Callers of one route start with similar
 * deadlines and send the time that is left, so one that sends much less than the longest deadline has spent the
 * difference, usually on an attempt that was refused. The answer to such a retry is worth less, while a new request can
 * still be answered in time; the estimate lets the system prefer new requests while refused callers retry during an
 * overload.
 *
 * Memory: one entry for each of at most `MAX_ROUTES` routes.
 */
export class CallerWaitEstimate {
  private readonly _byRoute = new Map<string, LongestDeadline>()

  /**
   * Records the deadline of a request and returns how long its caller has been waiting, in milliseconds.
   * @param route Name of the request's route.
   * @param deadlineMs Time that the caller still waits, in milliseconds.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordDeadline (route: string, deadlineMs: number, nowMs: number): number {
    const longest = this._findOrAdd(route, nowMs)
    if (longest === undefined) return 0
    longest.currentMs = Math.max(longest.currentMs, deadlineMs)
    const fullMs = Math.max(longest.currentMs, longest.previousMs)
    return deadlineMs >= (1 - DEADLINE_VARIATION) * fullMs ? 0 : (1 - DEADLINE_VARIATION / 2) * fullMs - deadlineMs
  }

  /** Returns a route's longest deadlines, starting a new period when due; undefined for routes beyond `MAX_ROUTES`. */
  private _findOrAdd (route: string, nowMs: number): LongestDeadline | undefined {
    const longest = this._byRoute.get(route)
    if (longest === undefined) {
      if (this._byRoute.size >= MAX_ROUTES) return undefined
      const added = { periodStartMs: nowMs, currentMs: 0, previousMs: 0 }
      this._byRoute.set(route, added)
      return added
    }
    if (nowMs - longest.periodStartMs >= PERIOD_MS) {
      longest.previousMs = nowMs - longest.periodStartMs < 2 * PERIOD_MS ? longest.currentMs : 0
      longest.currentMs = 0
      longest.periodStartMs = nowMs
    }
    return longest
  }
}
