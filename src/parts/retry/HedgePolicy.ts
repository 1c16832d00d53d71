import { HEDGE_LATE_QUANTILE, HEDGE_MIN_SAMPLES, MAX_HEDGE_ROUTES } from './Constants.js'
import { HedgeGate } from './HedgeThrottle.js'
import { LatencyQuantile } from './LatencyQuantile.js'

interface RouteTimes {
  readonly usual: LatencyQuantile
  readonly late: LatencyQuantile
  samples: number
}

/**
 * Decides when a request that may run again is sent to a second instance, in case that the first is slow. It answers
 * machines whose speed changes several times a second: most runs are quick, and one that takes much longer than usual
 * is more likely to be overtaken by a new one than to end soon.
 *
 * Memory: two numbers for each of at most `MAX_HEDGE_ROUTES` routes, three for each service.
 */
export class HedgePlan {
  private readonly _times = new Map<string, RouteTimes>()
  private readonly _gates = new Map<string, HedgeGate>()

  /**
   * Returns how long a first attempt is waited for, in milliseconds; undefined while too little is known. It is short
   * enough for a second one to meet the objective, and not shorter than the usual time.
   * @param route Name of the route.
   * @param objectiveLeftMs Milliseconds within which the answer is worth its full value.
   */
  public delayMs (route: string, objectiveLeftMs: number): number | undefined {
    const times = this._times.get(route)
    if (times === undefined || times.samples < HEDGE_MIN_SAMPLES) return undefined
    const usualMs = times.usual.estimateMs
    return Math.max(usualMs, Math.min(times.late.estimateMs, objectiveLeftMs - usualMs))
  }

  /**
   * Takes the time of a first attempt; that of one which was overtaken counts as far as it got.
   * @param route Name of the route.
   * @param tookMs Milliseconds.
   */
  public learnTime (route: string, tookMs: number): void {
    const times = this._timesOf(route, tookMs)
    if (times === undefined) return
    times.usual.add(tookMs)
    times.late.add(tookMs)
    times.samples++
  }

  /** What holds duplicates of a service back when they do no good. */
  public gateOf (service: string): HedgeGate {
    const known = this._gates.get(service)
    if (known !== undefined) return known
    const gate = new HedgeGate()
    this._gates.set(service, gate)
    return gate
  }

  private _timesOf (route: string, firstMs: number): RouteTimes | undefined {
    const known = this._times.get(route)
    if (known !== undefined || this._times.size >= MAX_HEDGE_ROUTES) return known
    const usual = new LatencyQuantile(0.5, firstMs)
    const late = new LatencyQuantile(HEDGE_LATE_QUANTILE, firstMs)
    const times = { usual, late, samples: 0 }
    this._times.set(route, times)
    return times
  }
}
