import type { AdmissionController } from '../../parts/admission/AdmissionController.js'
import type { AdmissionAction, AdmissionEvent, RunOutcome } from '../../parts/admission/Types.js'
import type { QuarantineTable } from '../../parts/quarantine/QuarantineTable.js'
import type { CrashReport, QuarantineAction, QuarantineEvent } from '../../parts/quarantine/Types.js'
import type { CallId, Incarnation, LoadEvidence, NodeId } from '../../parts/Types.js'
import { Emitter } from '../../runtime/Emitter.js'
import { PartTimer } from '../../runtime/PartTimer.js'
import type { Clock, Disposable, Log } from '../../runtime/Types.js'
import { DEFAULT_RETRY_AFTER_MS } from '../Constants.js'
import type { CallHandle, CallRequest, CallListener, CallTarget, Refusal } from '../Types.js'
import { CrashCheck } from './CrashCheck.js'
import type { Announcement, RecordSender } from './Types.js'
import { UpstreamClient } from './UpstreamClient.js'
import { UpstreamRun } from './UpstreamRun.js'
import type { RunHost } from './UpstreamRun.js'

/**
 * Largest number of pending calls, queued and running; further ones are refused as overloaded. The numbers of slots and
 * connections come from the announcement.
 */
const MAX_PENDING_CALLS = 10_000

/** Longest time for which the slot of a cancelled call stays occupied. */
const MAX_CANCEL_WAIT_MS = 1000

/** Interval of the quarantine table's ticks, which remove expired entries. */
const QUARANTINE_TICK_MS = 1000

const NO_HANDLE: CallHandle = { cancel: () => {}, grant: () => {} }

type AdmissionHandlers = { [Type in AdmissionAction['type']]: (action: Extract<AdmissionAction, { type: Type }>) => void }

/** Dependencies of the upstream side. */
export interface UpstreamSideDependencies {
  readonly node: NodeId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly log: Log
  readonly admission: AdmissionController
  readonly quarantine: QuarantineTable
  readonly records: RecordSender
  /** False while the node must not run at-most-once requests because its configuration is not confirmed. */
  readonly mayRunGuarded: () => boolean
}

/**
 * Runs all calls to the local upstream. As the only way to the upstream it alone knows the calls in flight, so slots,
 * the queue, drain, quarantine and execution permits are enforced here. Holds at most `MAX_PENDING_CALLS` calls
 * at once.
 */
export class UpstreamSide implements CallTarget, RunHost, Disposable {
  public readonly clock: Clock
  public readonly node: NodeId
  public readonly incarnation: Incarnation
  public readonly records: RecordSender
  public client: UpstreamClient | undefined
  private readonly _runs = new Map<CallId, UpstreamRun>()
  private readonly _quarantineEvents = new Emitter<QuarantineAction>()
  private readonly _idle = new Emitter<void>()
  private readonly _timer: PartTimer
  private readonly _quarantineTimer: NodeJS.Timeout
  private readonly _admissionHandlers: AdmissionHandlers
  private _announcement: Announcement | undefined
  private _crashCheck: CrashCheck | undefined
  private _lastCallId = 0
  private _draining = false
  private _closing = false

  public constructor (private readonly _dependencies: UpstreamSideDependencies) {
    this.clock = _dependencies.clock
    this.node = _dependencies.node
    this.incarnation = _dependencies.incarnation
    this.records = _dependencies.records
    this._timer = new PartTimer(_dependencies.clock, () => this._stepAdmission({ type: 'tick' }))
    this._quarantineTimer = setInterval(() => this._stepQuarantine({ type: 'tick' }), QUARANTINE_TICK_MS)
    this._admissionHandlers = {
      start: action => this._runs.get(action.call)?.begin(),
      refuse: action => this._runs.get(action.call)?.refuse({
        disposition: 'not-run', reason: action.reason, retryAfterMs: action.retryAfterMs
      }),
      wake: action => this._timer.wakeAt(action.atMs),
      drained: () => this._dependencies.log.info({}, 'upstream drained')
    }
  }

  /** Fires with crash reports, which must be sent to other nodes, and with quarantines at this node. */
  public readonly onQuarantine = this._quarantineEvents.event

  /** Fires whenever the last pending call has completed. */
  public readonly onIdle = this._idle.event

  /** Service of the local upstream; undefined while none is announced. */
  public get service (): string | undefined {
    return this._announcement?.service
  }

  /** Number of pending calls: queued, running, or with an outcome that is not recorded yet. */
  public get pendingCalls (): number {
    return this._runs.size
  }

  /** Applies an announcement of the upstream: its address, slots and state. */
  public setUpstream (announcement: Announcement): void {
    const previous = this._announcement
    this._announcement = announcement
    if (previous?.address !== announcement.address || this.client === undefined) this._connect(announcement)
    if (previous?.slots !== announcement.slots) this._stepAdmission({ type: 'capacity', slots: announcement.slots })
    if (announcement.state === 'draining') this.drain()
    else this.resume()
  }

  /** Removes an upstream that timed out; calls in flight may still end. */
  public disconnectUpstream (): void {
    this._announcement = undefined
    this.client?.close()
    this.client = undefined
  }

  /** Drains the upstream: new and queued calls are refused as not run, running ones finish. */
  public drain (): void {
    if (this._draining) return
    this._draining = true
    this._stepAdmission({ type: 'drain' })
  }

  /** Ends the drain, unless the node is shutting down. */
  public resume (): void {
    if (this._closing || !this._draining) return
    this._draining = false
    this._stepAdmission({ type: 'resume' })
  }

  /** Drains the upstream for the shutdown of the node; this can't be undone. */
  public close (): void {
    this._closing = true
    this.drain()
  }

  /** Load evidence to attach to answers. */
  public evidence (): LoadEvidence {
    return this._dependencies.admission.evidence()
  }

  public mayRunGuarded (): boolean {
    return this._dependencies.mayRunGuarded()
  }

  /** Handles a crash report from another node. */
  public handleQuarantineEvent (event: QuarantineEvent): void {
    this._stepQuarantine(event)
  }

  /** Crash reports that have not expired, for a node that has just connected. */
  public crashReports (): CrashReport[] {
    return this._dependencies.quarantine.reports(this.clock.nowMs())
  }

  /** Starts a call at the local upstream, or refuses it. */
  public start (request: CallRequest, listener: CallListener): CallHandle {
    const refusal = this._findRefusal(request)
    if (refusal !== undefined) {
      listener.onRefused(refusal, this.evidence())
      return NO_HANDLE
    }
    const call = ++this._lastCallId
    const run = new UpstreamRun(call, request, listener, this)
    const quarantineActions = this._stepQuarantine({ type: 'ask', call, fingerprint: request.fingerprint })
    const quarantineRefusal = quarantineActions.find(action => action.type === 'refuse')
    if (quarantineRefusal?.type === 'refuse') {
      listener.onRefused({ disposition: 'quarantined', reason: 'quarantined', retryAfterMs: quarantineRefusal.retryAfterMs }, this.evidence())
      return NO_HANDLE
    }
    this._runs.set(call, run)
    this._stepAdmission({ type: 'arrive', call, kind: request.kind, deadlineAtMs: run.deadlineAtMs })
    return run
  }

  public createTimer (onWake: () => void): PartTimer {
    return new PartTimer(this.clock, onWake)
  }

  public handleDispatch (run: UpstreamRun): void {
    const { fingerprint, service } = run.request
    this._stepQuarantine({ type: 'dispatched', call: run.call, instance: this._buildInstanceId(service), fingerprint })
  }

  public isQuarantined (run: UpstreamRun): boolean {
    const { call, request } = run
    const actions = this._stepQuarantine({ type: 'ask', call, fingerprint: request.fingerprint })
    return actions.some(action => action.type === 'refuse')
  }

  public handleFinish (run: UpstreamRun, outcome: RunOutcome, serviceMs: number, ran: boolean): void {
    if (outcome === 'lost') this._checkCrash(run)
    else this._stepQuarantine({ type: 'finished', call: run.call, ran })
    this._stepAdmission({ type: 'finish', call: run.call, outcome, serviceMs })
  }

  // An upstream needs about one service time to notice that its caller has disconnected; until then the slot stays
  // occupied.
  public handleCancel ({ call }: UpstreamRun, serviceMs: number): void {
    this._stepQuarantine({ type: 'finished', call, ran: false })
    const waitMs = Math.min(this.evidence().serviceMs, MAX_CANCEL_WAIT_MS)
    setTimeout(() => this._stepAdmission({ type: 'finish', call, outcome: 'cancelled', serviceMs }), waitMs)
  }

  public handleWithdrawal (run: UpstreamRun): void {
    this._stepAdmission({ type: 'cancel', call: run.call })
  }

  public handleDone (run: UpstreamRun): void {
    if (this._runs.delete(run.call) && this._runs.size === 0) this._idle.fire()
  }

  /** Description for the state dump, of bounded size. */
  public describe (): object {
    return {
      upstream: this._announcement ?? null,
      heldCalls: this._runs.size,
      running: [...this._runs.values()].filter(run => run.isRunning).length,
      evidence: this.evidence(),
      closing: this._closing
    }
  }

  /** Stops the timers and closes all connections to the upstream at once. */
  public dispose (): void {
    this._timer.dispose()
    clearInterval(this._quarantineTimer)
    this.client?.dispose()
  }

  private _connect (announcement: Announcement): void {
    this.client?.close()
    this.client = new UpstreamClient(announcement.address, announcement.connections)
    this._crashCheck = new CrashCheck(announcement.address)
  }

  private _findRefusal (request: CallRequest): Refusal | undefined {
    if (this._announcement?.service !== request.service) return refuseNotRun('no-upstream')
    if (this._closing) return refuseNotRun('draining')
    if (this._runs.size >= MAX_PENDING_CALLS) return refuseNotRun('overloaded')
    if (request.kind === 'guarded' && !this.mayRunGuarded()) return refuseNotRun('stale-configuration')
    return undefined
  }

  private _buildInstanceId (service: string): string {
    return `${service}/${this.node}`
  }

  // After a lost connection or a timeout, the requests in flight are suspected only if the upstream itself has crashed.
  private _checkCrash (run: UpstreamRun): void {
    const instance = this._buildInstanceId(run.request.service)
    this._crashCheck?.run(crashed => {
      if (crashed) this._stepQuarantine({ type: 'crashed', instance })
      this._stepQuarantine({ type: 'finished', call: run.call, ran: false })
    })
  }

  private _stepAdmission (event: AdmissionEvent): void {
    for (const action of this._dependencies.admission.step(event, this.clock.nowMs())) {
      const handler = this._admissionHandlers[action.type] as (action: AdmissionAction) => void
      handler(action)
    }
  }

  private _stepQuarantine (event: QuarantineEvent): QuarantineAction[] {
    const actions = this._dependencies.quarantine.step(event, this.clock.nowMs())
    for (const action of actions) {
      if (action.type === 'report' || action.type === 'quarantined') this._quarantineEvents.fire(action)
    }
    return actions
  }
}

function refuseNotRun (reason: Refusal['reason']): Refusal {
  return { disposition: 'not-run', reason, retryAfterMs: DEFAULT_RETRY_AFTER_MS }
}
