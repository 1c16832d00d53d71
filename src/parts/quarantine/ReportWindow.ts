import type { CrashReport } from './Types.js'

const WINDOW_REPORTS = 32

interface ReceivedReports {
  newest: number
  /** Bit `n` stands for report `newest - n`. */
  receivedMask: number
}

/**
 * Tells reports seen for the first time from repeated ones, whatever way and order they came in. Each run of a node
 * counts by itself, because reports of an earlier run may arrive after those of a later one. Reports more than 31
 * behind the newest of their run count as seen.
 *
 * Memory: one record for each of at most `maxRuns` runs of nodes; the one that reported least recently goes first.
 */
export class ReportWindow {
  private readonly _maxRuns: number
  private readonly _receivedByRun = new Map<string, ReceivedReports>()

  /** @param maxRuns Runs of nodes known at most. */
  public constructor (maxRuns: number) {
    this._maxRuns = maxRuns
  }

  /**
   * Returns whether the report is new, and remembers it.
   * @param report A report as it came in.
   */
  public addIfNew (report: CrashReport): boolean {
    const run = `${report.node}/${report.incarnation}`
    const received = this._receivedByRun.get(run)
    if (received === undefined) {
      this._store(run, { newest: report.sequence, receivedMask: 1 })
      return true
    }
    const ahead = report.sequence - received.newest
    if (ahead > 0) {
      received.receivedMask = (ahead >= WINDOW_REPORTS ? 0 : received.receivedMask << ahead) | 1
      received.newest = report.sequence
      this._store(run, received)
      return true
    }
    const bit = 1 << -ahead
    if (-ahead >= WINDOW_REPORTS || (received.receivedMask & bit) !== 0) {
      return false
    }
    received.receivedMask |= bit
    return true
  }

  private _store (run: string, received: ReceivedReports): void {
    this._receivedByRun.delete(run)
    this._receivedByRun.set(run, received)
    if (this._receivedByRun.size > this._maxRuns) {
      this._receivedByRun.delete(this._receivedByRun.keys().next().value as string)
    }
  }
}
