import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** Longest latency that is recorded, 1 h; longer ones count as this. */
const MAX_LATENCY_US = 3_600_000_000
const SLICE_COUNT = 60
const PERCENTILES = [50, 90, 99, 99.9] as const

/** Latency percentiles of a set of calls, in milliseconds. */
export interface LatencySummary {
  readonly count: number
  readonly p50Ms: number
  readonly p90Ms: number
  readonly p99Ms: number
  readonly p999Ms: number
  readonly maxMs: number
}

/** Latency percentiles of the calls due in one time slice of the run. */
export interface LatencySlice extends LatencySummary {
  /** Start of the slice, in milliseconds since the start of the run. */
  readonly fromMs: number
}

/** One point of a percentile curve. */
export interface PercentilePoint {
  readonly percentile: number
  readonly ms: number
}

/**
 * Records latencies over the whole run and by time slice. A latency counts from the time at which the call was due,
 * which corrects for coordinated omission. Holds at most `SLICE_COUNT` + 1 histograms.
 */
export class LatencyRecorder {
  private readonly _wholeRun = createHistogram(3)
  private readonly _slices: Histogram[] = []
  private readonly _sliceMs: number

  /**
   * @param durationMs Duration of the run.
   */
  public constructor (durationMs: number) {
    this._sliceMs = durationMs / SLICE_COUNT
  }

  /**
   * Records one call.
   * @param dueMs When it was due, in milliseconds since the start of the run.
   * @param latencyMs Time from then to its end.
   */
  public record (dueMs: number, latencyMs: number): void {
    const us = Math.min(MAX_LATENCY_US, Math.max(1, Math.round(latencyMs * 1000)))
    const index = Math.min(SLICE_COUNT - 1, Math.floor(dueMs / this._sliceMs))
    this._wholeRun.recordValue(us)
    this._slices[index] ??= createHistogram(2)
    this._slices[index].recordValue(us)
  }

  /** Returns the percentiles over the whole run. */
  public summary (): LatencySummary {
    return summarizeHistogram(this._wholeRun)
  }

  /** Returns the percentiles by time slice, without the slices that have no calls. */
  public overTime (): LatencySlice[] {
    return this._slices.flatMap((histogram, index) => [
      { fromMs: index * this._sliceMs, ...summarizeHistogram(histogram) }
    ])
  }

  /** Returns the percentile curve from 0 to 99.99 %, with ten points for each further nine. */
  public percentileCurve (): PercentilePoint[] {
    const points: PercentilePoint[] = []
    for (let nines = 0; nines < 4; nines += 0.1) {
      const percentile = 100 * (1 - 10 ** -nines)
      points.push({ percentile, ms: this._wholeRun.getValueAtPercentile(percentile) / 1000 })
    }
    return points
  }
}

function createHistogram (digits: 2 | 3): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: digits
  })
}

function summarizeHistogram (histogram: Histogram): LatencySummary {
  const [p50Ms, p90Ms, p99Ms, p999Ms] = PERCENTILES.map(percentile => histogram.getValueAtPercentile(percentile) / 1000)
  return {
    count: histogram.totalCount,
    p50Ms: p50Ms as number,
    p90Ms: p90Ms as number,
    p99Ms: p99Ms as number,
    p999Ms: p999Ms as number,
    maxMs: histogram.totalCount === 0 ? 0 : histogram.maxValue / 1000
  }
}
