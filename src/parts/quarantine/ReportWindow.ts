import type { Incarnation, NodeId } from '../Types.js'
import type { CrashReport } from './Types.js'

const WINDOW = 32

interface Seen {
  incarnation: Incarnation
  newest: number
  /** Bit `n` stands for report `newest - n`. */
  mask: number
}

/**
 * Tells reports seen for the first time from repeated ones, whatever way and order they came in. Reports of an earlier
 * incarnation and those more than 31 behind the newest count as seen.
 *
 * Memory: one record for each of at most `maxNodes` nodes; the node that reported least recently is forgotten first.
 */
export class ReportWindow {
  private readonly _maxNodes: number
  private readonly _nodes = new Map<NodeId, Seen>()

  /** @param maxNodes Nodes known at most. */
  public constructor (maxNodes: number) {
    this._maxNodes = maxNodes
  }

  /**
   * Returns whether the report is new, and remembers it.
   * @param report A report as it came in.
   */
  public admit (report: CrashReport): boolean {
    const seen = this._nodes.get(report.node)
    if (seen === undefined || report.incarnation > seen.incarnation) {
      this._remember(report.node, { incarnation: report.incarnation, newest: report.sequence, mask: 1 })
      return true
    }
    if (report.incarnation < seen.incarnation) {
      return false
    }
    return this._admitOfSameRun(report, seen)
  }

  private _admitOfSameRun (report: CrashReport, seen: Seen): boolean {
    const ahead = report.sequence - seen.newest
    if (ahead > 0) {
      seen.mask = (ahead >= WINDOW ? 0 : seen.mask << ahead) | 1
      seen.newest = report.sequence
      this._remember(report.node, seen)
      return true
    }
    const bit = 1 << -ahead
    if (-ahead >= WINDOW || (seen.mask & bit) !== 0) {
      return false
    }
    seen.mask |= bit
    return true
  }

  private _remember (node: NodeId, seen: Seen): void {
    this._nodes.delete(node)
    this._nodes.set(node, seen)
    if (this._nodes.size > this._maxNodes) {
      this._nodes.delete(this._nodes.keys().next().value as NodeId)
    }
  }
}
