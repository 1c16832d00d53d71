import type { CrashReport } from './Types.js'

const WINDOW = 32

interface Seen {
  newest: number
  /** Bit `n` stands for report `newest - n`. */
  mask: number
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
  private readonly _runs = new Map<string, Seen>()

  /** @param maxRuns Runs of nodes known at most. */
  public constructor (maxRuns: number) {
    this._maxRuns = maxRuns
  }

  /**
   * Returns whether the report is new, and remembers it.
   * @param report A report as it came in.
   */
  public admit (report: CrashReport): boolean {
    const run = `${report.node}/${report.incarnation}`
    const seen = this._runs.get(run)
    if (seen === undefined) {
      this._remember(run, { newest: report.sequence, mask: 1 })
      return true
    }
    const ahead = report.sequence - seen.newest
    if (ahead > 0) {
      seen.mask = (ahead >= WINDOW ? 0 : seen.mask << ahead) | 1
      seen.newest = report.sequence
      this._remember(run, seen)
      return true
    }
    const bit = 1 << -ahead
    if (-ahead >= WINDOW || (seen.mask & bit) !== 0) {
      return false
    }
    seen.mask |= bit
    return true
  }

  private _remember (run: string, seen: Seen): void {
    this._runs.delete(run)
    this._runs.set(run, seen)
    if (this._runs.size > this._maxRuns) {
      this._runs.delete(this._runs.keys().next().value as string)
    }
  }
}
