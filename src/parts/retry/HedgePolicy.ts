import { HEDGE_MIN_SAMPLES, HEDGE_SLOW_QUANTILE, MAX_HEDGE_ROUTES } from './Constants.js'
import { HedgeThrottle } from './HedgeThrottle.js'
import { LatencyQuantile } from './LatencyQuantile.js'

/** Latency of the first attempts of one route. */
interface RouteLatency {
  readonly median: LatencyQuantile
  readonly slowQuantile: LatencyQuantile
  sampleCount: number
}

/**
 * Decides when a request that may run twice is hedged, that is, also sent to a second instance in case the first is
 * slow. This helps on VMs whose speed changes several times a second: most requests are quick there, and one that
 * already takes much longer than usual is more likely to be overtaken by a new attempt than to end soon.
 *
 * Memory: two latency estimates for each of at most `MAX_HEDGE_ROUTES` routes, one throttle for each service.
 */
export class HedgePolicy {
  private readonly _latencyByRoute = new Map<string, RouteLatency>()
  private readonly _throttleByService = new Map<string, HedgeThrottle>()

  /**
   * Returns the delay between the first attempt and its hedge in milliseconds; undefined while the route has too few
   * samples. The delay leaves the hedge time to meet the latency objective, but is at least the median latency.
   * @param route Name of the route.
   * @param objectiveLeftMs Milliseconds left within the latency objective; negative once it is missed.
   */
  public delayMs (route: string, objectiveLeftMs: number): number | undefined {
    const latency = this._latencyByRoute.get(route)
    if (latency === undefined || latency.sampleCount < HEDGE_MIN_SAMPLES) return undefined
    const medianMs = latency.median.estimateMs
    return Math.max(medianMs, Math.min(latency.slowQuantile.estimateMs, objectiveLeftMs - medianMs))
  }

  /**
   * Records the latency of a first attempt. One that its hedge has overtaken counts with the time that it ran so far.
   * @param route Name of the route.
   * @param latencyMs Milliseconds since the attempt was sent.
   */
  public recordLatency (route: string, latencyMs: number): void {
    const latency = this._latencyFor(route, latencyMs)
    if (latency === undefined) return
    latency.median.add(latencyMs)
    latency.slowQuantile.add(latencyMs)
    latency.sampleCount++
  }

  /**
   * Returns the throttle for hedges of a service.
   * @param service Name of the service.
   */
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
