import type { TestUpstreamSettings } from './TestUpstreamSettings.js'

/** Load of a service as it reports it. */
export interface ServiceLoad {
  readonly inFlight: number
  readonly queued: number
}

interface Sample {
  readonly atMs: number
  readonly load: ServiceLoad
}

const MAX_SAMPLES = 4096

/**
 * Gives the load that a test upstream reports: the true load, that of some time ago, a fixed false one, or none. Holds
 * at most `MAX_SAMPLES` samples.
 */
export class LoadReporter {
  private readonly _settings: TestUpstreamSettings['load']
  private readonly _samples: Sample[] = []

  /**
   * @param settings Mode of the reports.
   */
  public constructor (settings: TestUpstreamSettings['load']) {
    this._settings = settings
  }

  /**
   * Records the true load; to be called at each change of it.
   * @param load The current load.
   * @param nowMs Monotonic milliseconds.
   */
  public record (load: ServiceLoad, nowMs: number): void {
    if (this._settings.mode !== 'lagging') return
    this._samples.push({ atMs: nowMs, load })
    if (this._samples.length > MAX_SAMPLES) this._samples.shift()
  }

  /**
   * Returns the load to report, or undefined when none is reported.
   * @param load The true current load.
   * @param nowMs Monotonic milliseconds.
   */
  public report (load: ServiceLoad, nowMs: number): ServiceLoad | undefined {
    const reportsByMode: Record<TestUpstreamSettings['load']['mode'], () => ServiceLoad | undefined> = {
      honest: () => load,
      lagging: () => this._loadAt(nowMs - this._settings.lagMs),
      lying: () => this._settings.lie,
      none: () => undefined
    }
    return reportsByMode[this._settings.mode]()
  }

  private _loadAt (atMs: number): ServiceLoad {
    // Reports need the newest sample that is old enough, so all samples before it are dropped.
    while (this._samples.length > 1 && (this._samples[1] as Sample).atMs <= atMs) this._samples.shift()
    const oldest = this._samples[0]
    return oldest !== undefined && oldest.atMs <= atMs ? oldest.load : { inFlight: 0, queued: 0 }
  }
}
