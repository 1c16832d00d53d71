import type { TestUpstreamSettings } from './TestUpstreamSettings.js'

/** Load as a service tells it. */
export interface ServiceLoad {
  readonly inFlight: number
  readonly queued: number
}

interface Sample {
  readonly atMs: number
  readonly load: ServiceLoad
}

const MAX_SAMPLES = 4096

/** The load that a stand-in reports: true, late, false or none. Keeps at most `MAX_SAMPLES` samples. */
export class LoadReporter {
  private readonly _settings: TestUpstreamSettings['load']
  private readonly _samples: Sample[] = []

  /**
   * @param settings Kind of the report.
   */
  public constructor (settings: TestUpstreamSettings['load']) {
    this._settings = settings
  }

  /**
   * Takes note of the true load; called at each change of it.
   * @param load The load now.
   * @param nowMs Monotonic milliseconds.
   */
  public record (load: ServiceLoad, nowMs: number): void {
    if (this._settings.mode !== 'lagging') return
    this._samples.push({ atMs: nowMs, load })
    if (this._samples.length > MAX_SAMPLES) this._samples.shift()
  }

  /**
   * Returns what the service says of its load, or undefined when it says nothing.
   * @param load The true load now.
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
    // Samples older than the newest that is due are never told again.
    while (this._samples.length > 1 && (this._samples[1] as Sample).atMs <= atMs) this._samples.shift()
    const oldest = this._samples[0]
    return oldest !== undefined && oldest.atMs <= atMs ? oldest.load : { inFlight: 0, queued: 0 }
  }
}
