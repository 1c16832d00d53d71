import { QuarantineTable } from '../parts/quarantine/QuarantineTable.js'
import type { CrashReport } from '../parts/quarantine/Types.js'
import type { Clock } from '../runtime/Types.js'

/**
 * Crash reports that a control replica passes between nodes and keeps for those that start later. They don't go through
 * consensus: each report counts once wherever it arrives, and each node hands all that it knows to the replica that it
 * connects to.
 *
 * Memory: that of a quarantine table without calls.
 */
export class CrashReportStore {
  private readonly _table: QuarantineTable

  /**
   * @param address Address of the replica, `host:port`; it makes no reports of its own.
   */
  public constructor (address: string, private readonly _clock: Clock) {
    this._table = new QuarantineTable({ node: address, incarnation: 0 })
  }

  /** Reports that have not expired. */
  public get reports (): readonly CrashReport[] {
    return this._table.reports(this._clock.nowMs())
  }

  /** Adds reports and returns those that were received for the first time, to be passed on. */
  public add (reports: readonly CrashReport[]): readonly CrashReport[] {
    const nowMs = this._clock.nowMs()
    return reports.flatMap(report => this._table.step({ type: 'reported', report }, nowMs))
      .flatMap(action => action.type === 'report' ? [action.report] : [])
  }
}
