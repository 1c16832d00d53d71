import { QuarantineTable } from '../parts/quarantine/QuarantineTable.js'
import type { RequestFingerprint } from '../parts/quarantine/RequestFingerprint.js'
import type { CrashReport, Fingerprint, QuarantineAction, QuarantineEvent } from '../parts/quarantine/Types.js'
import type { CallId, Incarnation, NodeId, ServiceName } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import type { Clock, Log } from '../runtime/Types.js'
import { QUARANTINE_SWEEP_INTERVAL_MS } from './Constants.js'

/** A request, with what its fingerprint is computed from. */
export interface FingerprintedRequest {
  readonly requestId: string
  readonly service: ServiceName
  readonly method: string
  readonly target: string
  readonly body: Uint8Array
}

/** Why a request must not run. */
export type QuarantineRefusal = Extract<QuarantineAction, { type: 'refuse' }>

/** What the quarantine needs of its node. */
export interface QuarantineOptions {
  readonly node: NodeId
  readonly incarnation: Incarnation
  readonly fingerprint: RequestFingerprint
  readonly clock: Clock
  readonly log: Log
}

/**
 * The node's share in the quarantine of requests that crash instances: it asks the table for requests that arrive and
 * calls that are about to run, and exchanges crash reports with the other nodes through the control replicas.
 *
 * Memory: that of the table.
 */
export class Quarantine {
  private readonly _table: QuarantineTable
  private readonly _reportsEmitter = new Emitter<readonly CrashReport[]>()
  private _sweptAtMs = 0

  public constructor (private readonly _options: QuarantineOptions) {
    const { node, incarnation } = _options
    this._table = new QuarantineTable({ node, incarnation })
  }

  /** Fires with crash reports of this node for all others. */
  public readonly onReports = this._reportsEmitter.event

  /** Requests that are suspect or quarantined. */
  public get size (): number {
    return this._table.size
  }

  /**
   * Returns why a request must not run; undefined when it may.
   * @param isRelayed See `QuarantineEvent`.
   */
  public check (request: FingerprintedRequest, isRelayed: boolean): QuarantineRefusal | undefined {
    if (this._table.size === 0) return undefined
    this._sweep()
    const fingerprint = this._fingerprintOf(request)
    const [action] = this._step({ type: 'ask', call: 0, fingerprint, isRelayed })
    if (action?.type !== 'refuse') return undefined
    const { reason, retryAfterMs } = action
    const { requestId } = request
    const fields = { requestId, fingerprint, reason, retryAfterMs: Math.round(retryAfterMs), isRelayed }
    this._options.log.info(fields, 'request refused by the quarantine')
    return action
  }

  /**
   * Records that a call was sent to the instance on this VM.
   * @param call Id that no other call has until its end or a crash of the instance is recorded.
   */
  public recordStart (call: CallId, instance: string, request: FingerprintedRequest): void {
    this._step({ type: 'dispatched', call, instance, fingerprint: this._fingerprintOf(request) })
  }

  /**
   * Records the end of such a call.
   * @param ran True when the instance ran it to its end.
   */
  public recordEnd (call: CallId, ran: boolean): void {
    this._publish(this._step({ type: 'finished', call, ran }))
  }

  /** Records that the instance has crashed; the calls that were sent to it and have not ended become suspect. */
  public recordCrash (instance: string): void {
    const actions = this._step({ type: 'crashed', instance })
    const suspects = actions.flatMap(action => action.type === 'report' ? [action.report.fingerprint] : [])
    this._options.log.info({ instance, suspects }, 'crash blamed on requests')
    this._publish(actions)
  }

  /** Handles crash reports of other nodes. */
  public receive (reports: readonly CrashReport[]): void {
    for (const report of reports) this._step({ type: 'reported', report })
  }

  /** Returns the crash reports for a control replica that this node connects to. */
  public reports (): readonly CrashReport[] {
    return this._table.reports(this._options.clock.nowMs())
  }

  private _fingerprintOf ({ service, method, target, body }: FingerprintedRequest): Fingerprint {
    return this._options.fingerprint.of(service, method, target, body, body.length)
  }

  private _step (event: QuarantineEvent): QuarantineAction[] {
    const { clock, log } = this._options
    const actions = this._table.step(event, clock.nowMs())
    for (const action of actions) {
      if (action.type !== 'quarantined') continue
      const { fingerprint, untilMs } = action
      log.warn({ fingerprint, forMs: Math.round(untilMs - clock.nowMs()) }, 'request quarantined')
    }
    return actions
  }

  private _publish (actions: readonly QuarantineAction[]): void {
    const reports = actions.flatMap(action => action.type === 'report' ? [action.report] : [])
    if (reports.length > 0) this._reportsEmitter.fire(reports)
  }

  private _sweep (): void {
    const nowMs = this._options.clock.nowMs()
    if (nowMs - this._sweptAtMs < QUARANTINE_SWEEP_INTERVAL_MS) return
    this._sweptAtMs = nowMs
    this._step({ type: 'tick' })
  }
}
