import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Pool } from 'undici'
import { SeededRandom } from '../../src/parts/SeededRandom.js'

/** A target of calls, for example the upstream itself or a node in front of it. */
export interface Route {
  readonly name: string
  readonly origin: string
  readonly host: string
  /** Each `POST` call carries a new Idempotency-Key. */
  readonly method: 'GET' | 'POST'
  readonly path: string
}

/** Results of one route; latencies are in milliseconds. */
export interface RouteResult {
  readonly name: string
  readonly calls: number
  readonly failed: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly p999Ms: number
}

/** Connections and measurements of one route. */
interface RouteLoad {
  readonly route: Route
  readonly pool: Pool
  readonly histogram: Histogram
  failed: number
}

const CONNECTIONS = 32
const MICROS_PER_MS = 1000
const TICK_MS = 1

/** Latencies in microseconds, up to one minute. */
const HISTOGRAM = {
  lowestDiscernibleValue: 1,
  highestTrackableValue: 60_000_000,
  numberOfSignificantValueDigits: 3
} as const

/**
 * Open-loop load generator that sends its calls to several routes in turn, so that all routes are measured under the
 * same conditions of the machine. The latency of a call counts from when it is sent.
 */
export class InterleavedLoad {
  private readonly _tracks: RouteLoad[]
  private _lastKey = 0

  /**
   * @param routes Routes to measure.
   * @param _seed Seed of the exponentially distributed gaps between calls.
   */
  public constructor (routes: readonly Route[], private readonly _seed: number) {
    this._tracks = routes.map(route => ({
      route,
      pool: new Pool(route.origin, { connections: CONNECTIONS, pipelining: 1 }),
      histogram: build(HISTOGRAM),
      failed: 0
    }))
  }

  /**
   * Sends calls to all routes and returns the results once all calls have ended.
   * @param rate Calls per second on each route.
   * @param calls Number of calls on each route.
   */
  public async run (rate: number, calls: number): Promise<RouteResult[]> {
    for (const track of this._tracks) {
      track.histogram.reset()
      track.failed = 0
    }
    await this._send(rate * this._tracks.length, calls * this._tracks.length)
    return this._tracks.map(summarize)
  }

  /** Closes all connections. */
  public async dispose (): Promise<void> {
    await Promise.all(this._tracks.map(async track => await track.pool.destroy()))
  }

  private async _send (rate: number, calls: number): Promise<void> {
    const random = new SeededRandom(this._seed)
    const pending: Array<Promise<void>> = []
    let dueMs = performance.now()
    let sent = 0
    await new Promise<void>(resolve => {
      const timer = setInterval(() => {
        while (sent < calls && dueMs <= performance.now()) {
          pending.push(this._call(this._tracks[sent % this._tracks.length] as RouteLoad, dueMs))
          dueMs += -Math.log(1 - random.next()) * 1000 / rate
          sent++
        }
        if (sent < calls) return
        clearInterval(timer)
        resolve()
      }, TICK_MS)
    })
    await Promise.all(pending)
  }

  private async _call (track: RouteLoad, dueMs: number): Promise<void> {
    // Excludes the delay of this process's own timer, which is not caused by the route and is the same on all routes.
    const startMs = Math.max(dueMs, performance.now())
    try {
      const { path, method, host } = track.route
      const key = method === 'POST' ? { 'idempotency-key': `${this._seed}-${++this._lastKey}-${process.pid}` } : {}
      const answer = await track.pool.request({ path, method, headers: { host, ...key } })
      await answer.body.arrayBuffer()
      if (answer.statusCode !== 200) track.failed++
      track.histogram.recordValue(Math.max(1, Math.round((performance.now() - startMs) * MICROS_PER_MS)))
    } catch {
      track.failed++
    }
  }
}

function summarize ({ route, histogram, failed }: RouteLoad): RouteResult {
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROS_PER_MS
  return { name: route.name, calls: histogram.totalCount, failed, p50Ms: at(50), p99Ms: at(99), p999Ms: at(99.9) }
}
