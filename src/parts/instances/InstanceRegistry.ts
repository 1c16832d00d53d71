import type { InstanceReport, PublishedInstance } from './Types.js'

/** What became of a report. */
export type ReportOutcome = 'applied' | 'stale' | 'foreign'

/**
 * The instance beside a node, from its own reports. Reports come late and out of order, and another instance may
 * take over the address: incarnations are ordered by their start, reports of one by their sequence. An incarnation
 * that began to leave never becomes ready again.
 *
 * Memory: one instance.
 */
export class InstanceRegistry {
  private _current: InstanceReport | undefined

  /**
   * @param _address Where the instance beside this node listens; reports for other addresses are foreign.
   */
  public constructor (private readonly _address: string) {}

  /** The instance, if one was ever reported. */
  public get current (): InstanceReport | undefined {
    return this._current
  }

  /** What other nodes are told, or undefined before the first report. */
  public get published (): PublishedInstance | undefined {
    if (this._current === undefined) return undefined
    const { id, bornMs, service, slots, state } = this._current
    return { id, bornMs, service, slots, state }
  }

  /**
   * Takes a report of an instance.
   * @param report What it says.
   */
  public report (report: InstanceReport): ReportOutcome {
    if (report.address !== this._address) return 'foreign'
    const known = this._current
    if (known === undefined) return this._apply(report)
    if (!isSameIncarnation(known, report)) return report.bornMs > known.bornMs ? this._apply(report) : 'stale'
    if (report.sequence <= known.sequence) return 'stale'
    return this._apply(known.state === 'ready' ? report : { ...report, state: known.state })
  }

  /**
   * Takes the notice that an instance leaves for good.
   * @param id The instance.
   * @param bornMs Its start, when the notice tells it.
   */
  public deregister (id: string, bornMs: number | undefined): ReportOutcome {
    const known = this._current
    if (known === undefined || known.id !== id) return 'foreign'
    if (bornMs !== undefined && bornMs !== known.bornMs) return 'stale'
    if (known.state === 'left') return 'stale'
    return this._apply({ ...known, state: 'left' })
  }

  private _apply (report: InstanceReport): ReportOutcome {
    this._current = report
    return 'applied'
  }
}

function isSameIncarnation (a: InstanceReport, b: InstanceReport): boolean {
  return a.id === b.id && a.bornMs === b.bornMs
}
