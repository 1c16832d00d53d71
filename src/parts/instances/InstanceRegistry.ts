import type { InstanceIncarnation, InstanceReport, PublishedInstance } from './Types.js'

/** Result of a report: `foreign` ones are for another instance, `stale` ones are older than what is known. */
export type ReportOutcome = 'applied' | 'stale' | 'foreign'

/**
 * Latest state of the one instance beside a node, merged from the instance's reports. Reports may be delayed and
 * reordered, and another instance may take over the address: incarnations are ordered by their start time, reports of
 * one incarnation by their sequence. An incarnation that has begun to drain never becomes ready again.
 *
 * Memory: one instance.
 */
export class InstanceRegistry {
  private _current: InstanceReport | undefined

  /**
   * @param _address Address of the instance beside this node, `host:port`; reports of other addresses are foreign.
   */
  public constructor (private readonly _address: string) {}

  /** Latest applied report; undefined before the first. */
  public get current (): InstanceReport | undefined {
    return this._current
  }

  /** What the node publishes to other nodes; undefined before the first report. */
  public get published (): PublishedInstance | undefined {
    if (this._current === undefined) return undefined
    const { id, bornMs, isBornAssumed, service, slots, state } = this._current
    return { id, bornMs, ...(isBornAssumed === true ? { isBornAssumed } : {}), service, slots, state }
  }

  /**
   * Applies a report unless it is foreign or stale.
   * @param report Report that the node received.
   */
  public recordReport (report: InstanceReport): ReportOutcome {
    if (report.address !== this._address) return 'foreign'
    const known = this._current
    if (known === undefined) return this._apply(report)
    if (!isSameIncarnation(known, report)) return report.bornMs > known.bornMs ? this._apply(report) : 'stale'
    if (report.sequence <= known.sequence) return 'stale'
    return this._apply(known.state === 'ready' ? report : { ...report, state: known.state })
  }

  /**
   * Marks an instance as `left` for good.
   * @param id Id of the instance.
   * @param bornMs Its start in Unix milliseconds; undefined matches any.
   */
  public deregister (id: string, bornMs: number | undefined): ReportOutcome {
    const known = this._current
    if (known === undefined || known.id !== id) return 'foreign'
    if (bornMs !== undefined && !isSameIncarnation(known, { id, bornMs })) return 'stale'
    if (known.state === 'left') return 'stale'
    return this._apply({ ...known, state: 'left' })
  }

  /** Marks an instance as `draining` that has said so by other means than a report. */
  public drain (instance: InstanceIncarnation): ReportOutcome {
    const known = this._current
    if (known === undefined || !isSameIncarnation(known, instance)) return 'foreign'
    return known.state === 'ready' ? this._apply({ ...known, state: 'draining' }) : 'stale'
  }

  private _apply (report: InstanceReport): ReportOutcome {
    this._current = report
    return 'applied'
  }
}

/** Returns whether two descriptions are of one life of an instance. */
export function isSameIncarnation (a: InstanceIncarnation | undefined, b: InstanceIncarnation): boolean {
  return a?.id === b.id && (a.bornMs === b.bornMs || a.isBornAssumed === true || b.isBornAssumed === true)
}
