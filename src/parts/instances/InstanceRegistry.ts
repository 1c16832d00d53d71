import type { ServiceName } from '../Types.js'
import { DepartureTable } from './DepartureTable.js'
import type { Departure, InstanceIncarnation, InstanceReport, PublishedInstance } from './Types.js'

/**
 * Reports in a row, and the time that they span in milliseconds, after which an incarnation that counts as old replaces
 * a silent current one. Reports that were delayed together arrive within less.
 */
const OUTLIVING_REPORTS = 3
const OUTLIVING_MS = 2000

/**
 * Result of a report: `foreign` ones are for another instance, `stale` ones are older than what is known, and `claimed`
 * ones wait until the instance has said who it is.
 */
export type ReportOutcome = 'applied' | 'stale' | 'foreign' | 'claimed'

/** What the instance says of itself when it is asked. */
export interface InstanceIdentity {
  readonly id: string
  /** False also when it is about to stop. */
  readonly isHealthy: boolean
}

/** A report that contradicts the current incarnation. */
interface Claim {
  readonly report: InstanceReport
  /** True when its incarnation goes on reporting, so that it is followed although it counts as old. */
  readonly outlives: boolean
}

/**
 * Latest state of the one instance beside a node, merged from the instance's reports. Reports may be delayed and
 * reordered, and another instance may take over the address: incarnations are ordered by their start time, reports of
 * one incarnation by their sequence. An incarnation that has begun to drain never becomes ready again, and neither does
 * one that has left before its first report arrives.
 *
 * A report may come from another writer. When one names another incarnation than the current one, the instance itself
 * is asked if it can be, and its answer decides. Otherwise a report with a start or a sequence above all true ones is
 * overruled when the instance goes on reporting while nothing else confirms that report.
 *
 * Memory: three reports and a `DepartureTable`.
 */
export class InstanceRegistry {
  private _current: InstanceReport | undefined
  /** Last of the increasing reports that count as old and came after the last applied one. */
  private _older: { readonly report: InstanceReport, readonly count: number, readonly sinceMs: number } | undefined
  private _claim: Claim | undefined
  private readonly _departures = new DepartureTable()

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
    this._claim = undefined
    return true
  }

  /** Latest applied report; undefined before the first. */
  public get current (): InstanceReport | undefined {
    return this._current
  }

  /** True while a report awaits `settleClaim`, so that the current incarnation may have ended. */
  public get hasClaim (): boolean {
    return this._claim !== undefined
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
   * @param canAsk Whether the instance can be asked who it is. A report that contradicts the current incarnation is
   * then `claimed` until `settleClaim`; a later one takes its place.
   */
  public recordReport (report: InstanceReport, nowMs: number, canAsk = false): ReportOutcome {
    if (report.address !== this._address || report.service !== this._service) return 'foreign'
    // A health check of an instance that has left may still succeed, and does not tell whether it has started again.
    if (report.isBornAssumed === true && this._departures.covers(report)) return 'stale'
    const known = this._current
    if (known === undefined) return this._apply(report)
    const outlives = !isNewer(known, report) && this._outlivesCurrent(report, nowMs)
    if (!canAsk || !isContradiction(known, report, outlives)) return this._follow(known, report, outlives)
    this._claim = { report, outlives }
    return 'claimed'
  }

  /**
   * Decides on a claimed report.
   * @param report The report; nothing happens unless it is the claim that is open.
   * @param identity What the instance says; undefined when it does not answer. The report then counts as it would have
   * without the question, but does not bring back an instance that drains.
   */
  public settleClaim (report: InstanceReport, identity: InstanceIdentity | undefined): ReportOutcome {
    const { _claim: claim, _current: known } = this
    if (claim?.report !== report || known === undefined) return 'stale'
    this._claim = undefined
    const isConfirmed = identity?.id === report.id
    if (report.id !== known.id) {
      if (isConfirmed) return this._apply(report)
      return identity?.id === known.id ? 'foreign' : this._follow(known, report, claim.outlives)
    }
    if (isSameIncarnation(known, report)) return this._follow(known, report, claim.outlives)
    // The id says nothing here, but a healthy instance is not about to stop.
    const isRunning = isConfirmed && identity.isHealthy
    if (isNewer(known, report)) return isRunning ? 'foreign' : this._follow(known, report, false)
    return isRunning ? this._apply(report) : 'stale'
  }

  /** Forgets the open claim, as nobody will settle it. */
  public dropClaim (): void {
    this._claim = undefined
  }

  /** Departures that this registry knows, the oldest first. */
  public get departures (): Departure[] {
    return this._departures.departures
  }

  /** Returns whether an incarnation is known to have left. */
  public hasLeft (instance: InstanceIncarnation): boolean {
    return this._departures.covers(instance)
  }

  /**
   * Records a departure that was acknowledged, also one of an instance that is not known here.
   * @returns `applied` when it takes the current incarnation out of use.
   */
  public recordDeparture (departure: Departure): ReportOutcome {
    this._departures.record(departure)
    const known = this._current
    if (known?.state !== 'ready' || !this._departures.covers(known)) return 'stale'
    return this._apply({ ...known, state: 'draining' })
  }

  /**
   * Marks an instance as `left` for good and records its departure. A start later than the known one is that of an
   * incarnation whose first report is still under way.
   * @param id Id of the instance.
   * @param bornMs Its start in Unix milliseconds; undefined matches any start until now.
   * @param wallMs The present time in Unix milliseconds.
   */
  public deregister (id: string, bornMs: number | undefined, wallMs: number): ReportOutcome {
    const known = this._current
    const isKnown = known?.id === id
    const knownBornMs = isKnown && known.isBornAssumed !== true ? known.bornMs : undefined
    const leftBornMs = bornMs ?? knownBornMs ?? wallMs
    this._departures.record({ id, bornMs: leftBornMs })
    if (!isKnown) return 'foreign'
    if (knownBornMs !== undefined && leftBornMs < knownBornMs) return 'stale'
    const isNext = knownBornMs !== undefined && leftBornMs > knownBornMs
    if (known.state === 'left' && !isNext) return 'stale'
    const { isBornAssumed, ...report } = known
    return this._apply({ ...report, bornMs: leftBornMs, ...(isNext ? { sequence: -1 } : {}), state: 'left' })
  }

  /** Marks an instance as `draining` that has said so by other means than a report. */
  public drain (instance: InstanceIncarnation): ReportOutcome {
    const known = this._current
    if (known === undefined || !isSameIncarnation(known, instance)) return 'foreign'
    return known.state === 'ready' ? this._apply({ ...known, state: 'draining' }) : 'stale'
  }

  private _follow (known: InstanceReport, report: InstanceReport, outlives: boolean): ReportOutcome {
    const isSame = isSameIncarnation(known, report)
    const isNext = isNewer(known, report)
    if (!isNext && !outlives) {
      // Also a late report of this incarnation tells that it leaves.
      return isSame && report.state === 'draining' && known.state === 'ready' ? this.drain(known) : 'stale'
    }
    const isLeaving = known.state !== 'ready' && (isSame || (!isNext && known.id === report.id))
    return this._apply(isLeaving ? { ...report, state: known.state } : report)
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
    const isLeaving = report.state === 'ready' && this._departures.covers(report)
    this._current = isLeaving ? { ...report, state: 'draining' } : report
    this._older = undefined
    return 'applied'
  }
}

/** Returns whether two descriptions are of one life of an instance. */
export function isSameIncarnation (a: InstanceIncarnation | undefined, b: InstanceIncarnation): boolean {
  return a?.id === b.id && (a.bornMs === b.bornMs || a.isBornAssumed === true || b.isBornAssumed === true)
}

function isNewer (known: InstanceReport, report: InstanceReport): boolean {
  return isSameIncarnation(known, report) ? report.sequence > known.sequence : report.bornMs > known.bornMs
}

/**
 * Returns whether a report and the current incarnation can't both be true of an instance that runs. Under the same id
 * only what takes it out of use, or would bring it back, is one: another start alone changes nothing for its callers.
 */
function isContradiction (known: InstanceReport, report: InstanceReport, outlives: boolean): boolean {
  // The start is assumed when the instance itself has said that it is this one.
  if (isSameIncarnation(known, report) || report.isBornAssumed === true) return false
  if (known.id !== report.id) return true
  return isNewer(known, report)
    ? known.state === 'ready' && report.state === 'draining'
    : outlives && known.state === 'draining'
}
