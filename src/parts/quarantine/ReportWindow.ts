import type { CrashReport } from './Types.js'

/** Reports tracked behind the newest of an incarnation: the bits of a 32-bit mask. */
const WINDOW_REPORTS = 32

interface ReceivedReports {
  newest: number
  /** Bit `n` is set when the report with sequence `newest - n` was received. */
  receivedMask: number
}

/**
 * Detects duplicate reports by a sliding window over their sequences, whatever the path and order of their arrival.
 * Each incarnation of a node has its own window, because reports of an earlier incarnation may arrive after those of a
 * later one. Reports more than 31 behind the newest of their incarnation count as duplicates.
 *
 * Memory: one window for each of at most `maxRuns` incarnations; the one without a new report for the longest time is
 * evicted first.
 */
export class ReportWindow {
  private readonly _maxRuns: number
  private readonly _receivedByIncarnation = new Map<string, ReceivedReports>()

  /** @param maxRuns Most incarnations of nodes tracked. */
  public constructor (maxRuns: number) {
    this._maxRuns = maxRuns
  }

  /**
   * Returns true and records the report when it is received for the first time.
   * @param report Report from any node.
   */
  public addIfNew (report: CrashReport): boolean {
    const incarnationKey = `${report.node}/${report.incarnation}`
    const received = this._receivedByIncarnation.get(incarnationKey)
    if (received === undefined) {
      this._store(incarnationKey, { newest: report.sequence, receivedMask: 1 })
      return true
    }
    const ahead = report.sequence - received.newest
    if (ahead > 0) {
      received.receivedMask = (ahead >= WINDOW_REPORTS ? 0 : received.receivedMask << ahead) | 1
      received.newest = report.sequence
      this._store(incarnationKey, received)
      return true
    }
    const bit = 1 << -ahead
    if (-ahead >= WINDOW_REPORTS || (received.receivedMask & bit) !== 0) {
      return false
    }
    received.receivedMask |= bit
    return true
  }

  private _store (incarnationKey: string, received: ReceivedReports): void {
    this._receivedByIncarnation.delete(incarnationKey)
    this._receivedByIncarnation.set(incarnationKey, received)
    if (this._receivedByIncarnation.size > this._maxRuns) {
      this._receivedByIncarnation.delete(this._receivedByIncarnation.keys().next().value as string)
    }
  }
}
