import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Pool } from 'undici'
import { SeededRandom } from '../../src/parts/SeededRandom.js'

/** One way that a call may take. */
export interface Route {
  readonly name: string
  readonly origin: string
  readonly host: string
  /** `POST` calls carry a fresh Idempotency-Key each. */
  readonly method: 'GET' | 'POST'
  readonly path: string
}

/** Latencies of one route, in milliseconds. */
export interface RouteResult {
  readonly name: string
  readonly calls: number
  readonly failed: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly p999Ms: number
}

interface RouteLoad {
  readonly route: Route
  readonly pool: Pool
  readonly histogram: Histogram
  failed: number
}

const CONNECTIONS = 32
const MICROS_PER_MS = 1000
const TICK_MS = 1

/** In microseconds, up to a minute. */
const HISTOGRAM = {
  lowestDiscernibleValue: 1,
  highestTrackableValue: 60_000_000,
  numberOfSignificantValueDigits: 3
} as const

/**
 * Open-loop load that deals its calls out to several routes in turn, so that all meet the same machine.
 * A call's time counts from the moment at which it was due.
 */
export class InterleavedLoad {
  private readonly _tracks: RouteLoad[]
  private _lastKey = 0

  /**
   * @param _seed Of the gaps between calls, which are exponential.
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
   * Sends calls.
   * @param rate Calls a second on each route.
   * @param calls Calls on each route.
   */
  public async run (rate: number, calls: number): Promise<RouteResult[]> {
    for (const track of this._tracks) {
      track.histogram.reset()
      track.failed = 0
    }
    await this._send(rate * this._tracks.length, calls * this._tracks.length)
    return this._tracks.map(summarize)
  }

  /** Ends all connections. */
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
    // The wait for this process's own timer is not the route's: it is the same on all routes and left out.
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
