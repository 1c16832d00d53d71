import type { ServiceName } from '../Types.js'
import type { InstanceIncarnation, InstanceReport, PublishedInstance } from './Types.js'

/**
 * Reports in a row, and the time that they span in milliseconds, after which an incarnation that counts as old replaces
 * a silent current one. Reports that were delayed together arrive within less.
 */
const OUTLIVING_REPORTS = 3
const OUTLIVING_MS = 2000

/** Result of a report: `foreign` ones are for another instance, `stale` ones are older than what is known. */
export type ReportOutcome = 'applied' | 'stale' | 'foreign'

/**
 * Latest state of the one instance beside a node, merged from the instance's reports. Reports may be delayed and
 * reordered, and another instance may take over the address: incarnations are ordered by their start time, reports of
 * one incarnation by their sequence. An incarnation that has begun to drain never becomes ready again.
 *
 * A report of another writer may name a start or a sequence that is above all true ones. It is overruled when the
 * instance itself goes on reporting while nothing else confirms that report.
 *
 * Memory: two reports.
 */
export class InstanceRegistry {
  private _current: InstanceReport | undefined
  /** Last of the increasing reports that count as old and came after the last applied one. */
  private _older: { readonly report: InstanceReport, readonly count: number, readonly sinceMs: number } | undefined

  /**
   * @param _address Address of the instance beside this node, `host:port`; reports of other addresses are foreign.
   * @param _service Service of that instance; reports of other services are foreign.
   */
  public constructor (private readonly _address: string, private _service: ServiceName) {}

  /** Service of the instance beside this node. */
  public get service (): ServiceName {
    return this._service
  }

  /**
   * Sets the service of the instance beside this node; an instance of the service before is forgotten.
   * @returns False when the service is the same as before.
   */
  public setService (service: ServiceName): boolean {
    if (service === this._service) return false
    this._service = service
    this._current = undefined
    this._older = undefined
    return true
  }

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
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordReport (report: InstanceReport, nowMs: number): ReportOutcome {
    if (report.address !== this._address || report.service !== this._service) return 'foreign'
    const known = this._current
    if (known === undefined) return this._apply(report)
    const isSame = isSameIncarnation(known, report)
    const isNewer = isSame ? report.sequence > known.sequence : report.bornMs > known.bornMs
    if (!isNewer && !this._outlivesCurrent(report, nowMs)) {
      // Also a late report of this incarnation tells that it leaves.
      return isSame && report.state === 'draining' && known.state === 'ready' ? this.drain(known) : 'stale'
    }
    const isLeaving = known.state !== 'ready' && (isSame || (!isNewer && known.id === report.id))
    return this._apply(isLeaving ? { ...report, state: known.state } : report)
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

  private _outlivesCurrent (report: InstanceReport, nowMs: number): boolean {
    const older = this._older
    if (older === undefined || !isSameIncarnation(older.report, report)) {
      this._older = { report, count: 1, sinceMs: nowMs }
      return false
    }
    if (report.sequence <= older.report.sequence) return false
    this._older = { report, count: older.count + 1, sinceMs: older.sinceMs }
    return this._older.count >= OUTLIVING_REPORTS && nowMs - older.sinceMs >= OUTLIVING_MS
  }

  private _apply (report: InstanceReport): ReportOutcome {
    this._current = report
    this._older = undefined
    return 'applied'
  }
}

/** Returns whether two descriptions are of one life of an instance. */
export function isSameIncarnation (a: InstanceIncarnation | undefined, b: InstanceIncarnation): boolean {
  return a?.id === b.id && (a.bornMs === b.bornMs || a.isBornAssumed === true || b.isBornAssumed === true)
}
