import { HEDGE_MIN_SAMPLES, HEDGE_SLOW_QUANTILE, MAX_HEDGE_ROUTES } from './Constants.js'
import { HedgeThrottle } from './HedgeThrottle.js'
import { LatencyQuantile } from './LatencyQuantile.js'

interface RouteLatency {
  readonly median: LatencyQuantile
  readonly slowQuantile: LatencyQuantile
  sampleCount: number
}

/**
 * Decides when a request that may run again is sent to a second instance, in case that the first is slow. It answers
 * machines whose speed changes several times a second: most runs are quick, and one that takes much longer than usual
 * is more likely to be overtaken by a new one than to end soon.
 *
 * Memory: two numbers for each of at most `MAX_HEDGE_ROUTES` routes, three for each service.
 */
export class HedgePolicy {
  private readonly _latencyByRoute = new Map<string, RouteLatency>()
  private readonly _throttleByService = new Map<string, HedgeThrottle>()

  /**
   * Returns how long a first attempt is waited for, in milliseconds; undefined while too little is known. It is short
   * enough for a second one to meet the objective, and not shorter than the usual time.
   * @param route Name of the route.
   * @param objectiveLeftMs Milliseconds within which the answer is worth its full value.
   */
  public delayMs (route: string, objectiveLeftMs: number): number | undefined {
    const latency = this._latencyByRoute.get(route)
    if (latency === undefined || latency.sampleCount < HEDGE_MIN_SAMPLES) return undefined
    const medianMs = latency.median.estimateMs
    return Math.max(medianMs, Math.min(latency.slowQuantile.estimateMs, objectiveLeftMs - medianMs))
  }

  /**
   * Takes the time of a first attempt; that of one which was overtaken counts as far as it got.
   * @param route Name of the route.
   * @param latencyMs Milliseconds.
   */
  public recordLatency (route: string, latencyMs: number): void {
    const latency = this._latencyFor(route, latencyMs)
    if (latency === undefined) return
    latency.median.add(latencyMs)
    latency.slowQuantile.add(latencyMs)
    latency.sampleCount++
  }

  /** What holds duplicates of a service back when they do no good. */
  public throttleFor (service: string): HedgeThrottle {
    const known = this._throttleByService.get(service)
    if (known !== undefined) return known
    const throttle = new HedgeThrottle()
    this._throttleByService.set(service, throttle)
    return throttle
  }

  private _latencyFor (route: string, firstMs: number): RouteLatency | undefined {
    const known = this._latencyByRoute.get(route)
    if (known !== undefined || this._latencyByRoute.size >= MAX_HEDGE_ROUTES) return known
    const median = new LatencyQuantile(0.5, firstMs)
    const slowQuantile = new LatencyQuantile(HEDGE_SLOW_QUANTILE, firstMs)
    const latency = { median, slowQuantile, sampleCount: 0 }
    this._latencyByRoute.set(route, latency)
    return latency
  }
}
