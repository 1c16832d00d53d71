import { isWritableRequest } from '../node/HeadSyntax.js'
import { InstanceBreaker, SLOTS_BY_BREAKER_STATE } from '../parts/gate/InstanceBreaker.js'
import { InstanceGate } from '../parts/gate/InstanceGate.js'
import type { GateAction, GateEvent } from '../parts/gate/Types.js'
import { InstanceRegistry, isSameIncarnation, type ReportOutcome } from '../parts/instances/InstanceRegistry.js'
import { NamedLimit } from '../parts/instances/NamedLimit.js'
import type { InstanceIncarnation, InstanceReport, PublishedInstance } from '../parts/instances/Types.js'
import { computeTransferMs } from '../parts/transfer/TransferTime.js'
import type { CallId, ServiceName } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import { PartTimer } from '../runtime/PartTimer.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { type BodyResources, makeDefaultBodyResources } from './BodyTransfer.js'
import { type ColdFigures, ColdMonitor, type ColdSetting } from './ColdMonitor.js'
import { BODY_RETRY_AFTER_MS, COLD_CHECK_TIMEOUT_MS, RECOVERY_CHECK_INTERVAL_MS } from './Constants.js'
import { CrashAttribution } from './CrashAttribution.js'
import { BREAKER_COUNTED_REASONS, BREAKER_OPENING_REASONS, LOSS_REASONS } from './FailureKinds.js'
import { buildGateCall } from './GateCalls.js'
import { InstanceChecks } from './InstanceChecks.js'
import { InstanceClient, type InstanceHealth } from './InstanceClient.js'
import { InstanceDepartures } from './InstanceDepartures.js'
import type { InstanceLoad } from './LoadHeader.js'
import type { PendingCall } from './PendingCall.js'
import type { Quarantine, QuarantineRefusal } from './Quarantine.js'
import { ReportReceiver } from './ReportReceiver.js'
import { parseRequestLimit } from './RequestLimitHeader.js'
import type {
  FailureProof, FailureReason, HeaderNames, InstanceStatus, RoutedAnswer, RoutedCall, RoutedCallHandle,
  RoutedCallListener, RoutedCallTarget
} from './Types.js'

/** What the proxy needs of its node. */
export interface InstanceProxyOptions {
  /** Where the instance on this VM listens, `host:port`. */
  readonly address: string
  /** Service of that instance. */
  readonly service: ServiceName
  readonly names: HeaderNames
  readonly clock: Clock
  readonly log: Log
  readonly quarantine: Quarantine
  /** Returns the path of a service's health check; undefined while no configuration names the service. */
  readonly findHealthPath: (service: ServiceName) => string | undefined
  /** Bound on the memory for bodies, rate of the link and metrics; defaults when absent. */
  readonly bodies?: BodyResources
  /** Returns whether the instance must get no calls, since its zone is evacuated; absent where that never happens. */
  readonly isZoneClosed?: () => boolean
  /**
   * Returns whether the departures of earlier runs of this process are known; until then the instance gets no calls.
   * Absent where no earlier run can have acknowledged any.
   */
  readonly areDeparturesKnown?: () => boolean
  /**
   * Withdraws one repeat from the retry budget of a service; false when it is used up. Absent where repeats are not
   * bounded.
   */
  readonly withdrawRepeat?: (service: ServiceName) => boolean
  /** Returns the limit for cold instances of a service; undefined while no configuration names the service. */
  readonly findColdSetting?: (service: ServiceName) => ColdSetting | undefined
}

type GateHandlers = {
  readonly [Type in GateAction['type']]: (action: Extract<GateAction, { type: Type }>) => void
}

/**
 * Proxy in front of the instance on this VM. All calls to the instance pass through it, so it alone knows what runs
 * there, and it enforces the concurrency limit, the order of queued calls and draining: once it has applied a report
 * that the instance drains or stops, it lets no new call in. It also knows which calls ran when the instance crashed,
 * and keeps quarantined requests from running.
 *
 * An upload or a large body of another node comes without its body. Its slot is taken when the gate starts it, then the
 * body is requested, and only the whole body is passed to the instance; until then it is certain that the call has not
 * run.
 *
 * Memory: the running and the queued calls; see `InstanceGate` for their bounds.
 */
export class InstanceProxy implements RoutedCallTarget, Disposable {
  /** Departures of the instances on this VM; calls may be let in once those of earlier runs are restored. */
  public readonly departures: InstanceDepartures
  private readonly _registry: InstanceRegistry
  private readonly _reports: ReportReceiver
  private readonly _client: InstanceClient
  private readonly _gate = new InstanceGate()
  private readonly _pendingCalls = new Map<CallId, PendingCall>()
  private readonly _runningByRequestId = new Map<string, RoutedCall>()
  private readonly _wakeTimer: PartTimer
  private readonly _changeEmitter = new Emitter<void>()
  private readonly _gateHandlers: GateHandlers
  private readonly _breaker = new InstanceBreaker()
  private _recoveryTimer: NodeJS.Timeout | undefined
  private readonly _namedLimit = new NamedLimit()
  private readonly _crashAttribution: CrashAttribution
  private readonly _bodies: BodyResources
  private readonly _cold: ColdMonitor
  private readonly _checks: InstanceChecks
  private _appliedLimitPerS: number | undefined
  private _slots = 0
  private _lastPublishedJson: string | undefined
  private _lastCallId = 0

  public constructor (private readonly _options: InstanceProxyOptions) {
    this._registry = new InstanceRegistry(_options.address, _options.service)
    this._reports = new ReportReceiver({
      ..._options,
      registry: this._registry,
      // Nothing is known of a lost instance but that the one before has ended or doesn't answer.
      isReachable: () => this._breaker.state !== 'open' && this._checks.isPathKnown,
      askIdentity: onResult => this._checks.askIdentity(onResult),
      onApplied: (report, previous) => this._onReport(report, previous)
    })
    this.departures = new InstanceDepartures(this._registry, this._reports, () => this._onInstanceChange())
    this._bodies = _options.bodies ?? makeDefaultBodyResources()
    this._client = new InstanceClient(_options.address, _options.names, _options.clock, this._bodies.answers)
    this._crashAttribution = new CrashAttribution({
      ..._options, checkListener: onResult => this._client.checkListener(onResult)
    })
    this._cold = new ColdMonitor({
      ..._options,
      findSetting: () => _options.findColdSetting?.(this.service),
      takeProbe: () => this._gate.takeProbe(_options.clock.nowMs()),
      checkHealth: onResult => {
        const path = _options.findHealthPath(this.service)
        if (path === undefined) onResult(undefined)
        else this._client.queryLoad(path, (_load, notice) => onResult(notice), COLD_CHECK_TIMEOUT_MS)
      },
      step: event => this._step(event)
    })
    this._checks = new InstanceChecks(this._client, this._cold, () => _options.findHealthPath(this.service))
    this._wakeTimer = new PartTimer(_options.clock, () => this._step({ type: 'tick' }))
    this._gateHandlers = {
      start: action => this._run(action.call.id),
      decline: action => {
        const pending = this._removeCall(action.call.id)
        if (action.reason === 'rate-limited') this._cold.countDecline()
        pending?.listener.onDeclined(action.reason, action.retryAfterMs, this.load())
      },
      measure: () => this._checks.measureSlowness(slowness => this._step({ type: 'measured', slowness })),
      checkCold: action => this._cold.check(action.ticket),
      wake: action => this._wakeTimer.wakeAt(action.atMs)
    }
  }

  /** Fires when the published description of the instance has changed. */
  public readonly onChange = this._changeEmitter.event

  /** Description of the instance for other nodes; undefined before its first report. */
  public get published (): PublishedInstance | undefined {
    return this._registry.published
  }

  /** Service of the instance on this VM. */
  public get service (): ServiceName {
    return this._registry.service
  }

  /** Number of calls that are queued or running. */
  public get pendingCallCount (): number {
    return this._pendingCalls.size
  }

  /** Figures on the cold state of the instance for the metrics. */
  public get coldFigures (): ColdFigures {
    return this._cold.figures
  }

  /** Takes the instance as cold until it says otherwise, since it may have become cold while its zone was evacuated. */
  public assumeCold (): void {
    this._cold.assumeCold()
  }

  /** Applies the limit for cold instances of a new configuration. */
  public applyColdSetting (): void {
    this._cold.apply()
  }

  /** Returns the status of the instance to attach to replies. */
  public load (): InstanceStatus {
    const load = this._gate.load(this._options.clock.nowMs())
    const { current } = this._registry
    if (current === undefined) return load
    const { id, bornMs, isBornAssumed, state } = current
    const perS = this._namedLimit.perS
    const leaving = isBornAssumed === true ? { id, bornMs, isBornAssumed } : { id, bornMs }
    return {
      ...load,
      ...(perS === undefined ? {} : { requestLimit: { instance: id, perS } }),
      ...(state === 'ready' ? {} : { leaving })
    }
  }

  /**
   * Restores what an earlier run of this process had published, so that an instance that was draining does not become
   * ready again. An entry of another service is ignored: it belongs to another VM that had this address before.
   */
  public restore (published: PublishedInstance): void {
    const { current } = this._registry
    if (current !== undefined) return this._restoreLeaving(current, published)
    if (published.service !== this.service) return
    const nowMs = this._options.clock.nowMs()
    const assumed = { ...published, address: this._options.address, sequence: -1, coldMs: 0 }
    this._registry.recordReport(assumed, nowMs)
    this._cold.recordReport(assumed)
    this._breaker.open(nowMs)
    this._applySlots()
  }

  /** The instance has reported itself to this run before; that report may not tell that it leaves. */
  private _restoreLeaving (current: InstanceIncarnation, published: PublishedInstance): void {
    if (published.state === 'ready' || !isSameIncarnation(current, published)) return
    if (this._registry.drain(current) === 'applied') this._onInstanceChange()
  }

  /**
   * Starts the recovery of an instance that is lost or unknown: sends health checks until one succeeds or the instance
   * reports itself.
   */
  public startRecovery (): void {
    if (this._registry.current !== undefined && this._breaker.state !== 'open') return
    this._recoveryTimer ??= setInterval(() => this._checkHealth(), RECOVERY_CHECK_INTERVAL_MS)
    this._checkHealth()
  }

  /**
   * Returns the call of a request that the instance runs now; undefined when it runs none.
   * @param requestId Id of the request.
   */
  public findRunning (requestId: string): RoutedCall | undefined {
    return this._runningByRequestId.get(requestId)
  }

  /** Handles a report of an instance. */
  public report (report: InstanceReport): ReportOutcome {
    return this._reports.receive(report)
  }

  /** Sets the service of the instance after a change of the settings. */
  public setService (service: ServiceName): void {
    if (!this._registry.setService(service)) return
    this._onInstanceChange()
    this.startRecovery()
  }

  /** Handles the deregistration of an instance, which stops for good. */
  public deregister (id: string, bornMs: number | undefined): ReportOutcome {
    const outcome = this._registry.deregister(id, bornMs, this._options.clock.wallMs())
    if (outcome === 'applied') this._onInstanceChange()
    return outcome
  }

  /** Closes the gate, also to queued calls, or opens it, as the evacuation of this zone demands. */
  public applyZoneClosure (): void {
    this._applySlots()
  }

  /** Offers a call to the gate of the instance. */
  public start (call: RoutedCall, listener: RoutedCallListener): RoutedCallHandle {
    const nowMs = this._options.clock.nowMs()
    const id = ++this._lastCallId
    const deadlineAtMs = nowMs + call.leftMs
    if (call.knownLimit !== undefined) this._namedLimit.recordHearsay(call.knownLimit, nowMs)
    if (call.coldPerS !== undefined) this._cold.recordToldLimit(call.coldPerS)
    this._applyLimit()
    if (call.service !== this.service || !isWritableRequest(call)) {
      listener.onDeclined(call.service === this.service ? 'request-invalid' : 'no-slots', 0, this.load())
      return { cancel: () => {} }
    }
    if (this._isZoneClosed()) {
      this._declineInClosedZone(call, listener)
      return { cancel: () => {} }
    }
    // The fingerprint of a request needs its body, so that of an upload is checked when its body has arrived.
    const refusal = call.bodyBytes === undefined ? this._options.quarantine.check(call, false) : undefined
    if (refusal !== undefined) {
      this._refuse(listener, refusal)
      return { cancel: () => {} }
    }
    if (call.bodyBytes !== undefined && !this._bodies.memory.hasRoomFor(call.bodyBytes)) {
      this._declineForMemory(call, listener)
      return { cancel: () => {} }
    }
    const pending = { call, listener, deadlineAtMs, startedAtMs: nowMs, handle: undefined, lease: undefined }
    this._pendingCalls.set(id, pending)
    this._step({ type: 'offer', call: buildGateCall(id, call, nowMs, this._bodies.linkMbps) })
    return { cancel: () => this._cancel(id), supplyBody: body => this._supplyBody(id, body) }
  }

  /** Closes all connections at once. */
  public dispose (): void {
    this._stopRecovery()
    this._reports.dispose()
    this._crashAttribution.dispose()
    this._cold.dispose()
    this._wakeTimer.dispose()
    this._client.dispose()
  }

  private _onReport (report: InstanceReport, previous: InstanceReport | undefined): void {
    this._cold.recordReport(report)
    const restarted = previous?.id !== report.id || previous.bornMs !== report.bornMs
    if (restarted) this._breaker.recordSuccess()
    if (restarted && !this._breaker.isFlapping(this._options.clock.nowMs())) this._step({ type: 'restarted' })
    const hasReplaced = previous !== undefined && !isSameIncarnation(previous, report)
    if (hasReplaced) this._crashAttribution.recordRestart(previous.state === 'ready')
    this._onInstanceChange()
  }

  private _onInstanceChange (): void {
    this._applyLimit()
    this._applySlots()
    this._publishChange()
    const { id: instance, state, sequence } = this._registry.current ?? {}
    this._options.log.debug({ instance, state, sequence }, 'instance reported')
  }

  /** Most reports repeat the one before; publishing them would cost every node bytes for every instance. */
  private _publishChange (): void {
    const json = JSON.stringify(this._registry.published)
    if (json === this._lastPublishedJson) return
    this._lastPublishedJson = json
    this._changeEmitter.fire()
  }

  private _applySlots (): void {
    const { current } = this._registry
    const isZoneClosed = this._isZoneClosed()
    const mayRun = current?.state === 'ready' && !isZoneClosed && this._options.areDeparturesKnown?.() !== false
    const slots = mayRun ? SLOTS_BY_BREAKER_STATE[this._breaker.state](current.slots) : 0
    if (slots === this._slots) return
    this._slots = slots
    const { id: instance, state } = current ?? {}
    const fields = { service: this.service, instance, state, breaker: this._breaker.state, slots }
    this._options.log.info(isZoneClosed ? { ...fields, isZoneClosed } : fields, 'slots changed')
    this._step({ type: 'slots', slots })
    if (slots === 0) this._declineAwaitingBodies()
  }

  private _run (id: CallId): void {
    const pending = this._pendingCalls.get(id)
    const instance = this._registry.current
    if (pending === undefined || instance === undefined) return
    // The timer that closes the gate may be late.
    if (this._isZoneClosed()) {
      this._cancel(id)
      return this._declineInClosedZone(pending.call, pending.listener)
    }
    if (pending.call.bodyBytes !== undefined) return this._requestBody(id, pending, pending.call.bodyBytes)
    // The request may have been quarantined while the call was queued.
    const refusal = this._options.quarantine.check(pending.call, false)
    if (refusal !== undefined) {
      this._cancel(id)
      return this._refuse(pending.listener, refusal)
    }
    this._crashAttribution.recordStart(id, instance.id, pending.call)
    pending.startedAtMs = this._options.clock.nowMs()
    this._runningByRequestId.set(pending.call.requestId, pending.call)
    pending.handle = this._client.run(pending.call, instance.id, pending.deadlineAtMs - pending.startedAtMs, {
      onAnswer: answer => this._onAnswer(id, pending, answer),
      onFailure: (proof, reason, detail) => this._onFailure(id, pending, proof, reason, detail),
      onLoad: load => this._onLoad(load),
      onRequestLimit: header => this._onRequestLimit(instance.id, pending, header),
      onLeaving: () => this._onLeaving(instance),
      mayResend: () => this._mayResend(pending, instance)
    })
  }

  /** The call has a slot now, which it keeps until its body has arrived and has run. */
  private _requestBody (id: CallId, pending: PendingCall, bytes: number): void {
    const lease = this._bodies.memory.lease()
    if (!lease.tryGrow(bytes)) {
      this._cancel(id)
      return this._declineForMemory(pending.call, pending.listener)
    }
    pending.lease = lease
    pending.listener.onBodyWanted?.()
  }

  private _supplyBody (id: CallId, body: Uint8Array | undefined): void {
    const pending = this._pendingCalls.get(id)
    if (pending?.call.bodyBytes === undefined) return
    const { requestId, bodyBytes, ...call } = pending.call
    if (body === undefined) {
      this._options.log.info({ requestId, bodyBytes }, 'sender of a body has stalled')
      this._cancel(id)
      return pending.listener.onFailed('unsent', 'body-stalled', this.load())
    }
    if (this._options.clock.nowMs() >= pending.deadlineAtMs) {
      this._cancel(id)
      return pending.listener.onDeclined('too-late', 0, this.load())
    }
    pending.call = { ...call, requestId, body }
    this._run(id)
  }

  /** The instance takes no calls any more, so that bodies on their way to it would be moved in vain. */
  private _declineAwaitingBodies (): void {
    for (const [id, { call, listener }] of [...this._pendingCalls]) {
      if (call.bodyBytes === undefined) continue
      this._cancel(id)
      listener.onDeclined('no-slots', 0, this.load())
    }
  }

  private _declineForMemory ({ requestId, bodyBytes = 0 }: RoutedCall, listener: RoutedCallListener): void {
    const { memory: { heldBytes, limitBytes }, linkMbps, metrics } = this._bodies
    metrics.countBodyRefused('node')
    this._options.log.info({ requestId, bodyBytes, heldBytes, limitBytes }, 'call declined for memory')
    const retryAfterMs = linkMbps === undefined ? BODY_RETRY_AFTER_MS : computeTransferMs(bodyBytes, linkMbps)
    listener.onDeclined('body-memory', retryAfterMs, this.load())
  }

  private _isZoneClosed (): boolean {
    return this._options.isZoneClosed?.() === true
  }

  private _declineInClosedZone ({ requestId }: RoutedCall, listener: RoutedCallListener): void {
    this._options.log.info({ requestId, instance: this._registry.current?.id }, 'call declined in an evacuated zone')
    listener.onDeclined('no-slots', 0, this.load())
  }

  private _refuse (listener: RoutedCallListener, { reason, retryAfterMs }: QuarantineRefusal): void {
    listener.onDeclined(reason === 'suspect' ? 'busy' : reason, retryAfterMs, this.load())
  }

  private _onAnswer (id: CallId, pending: PendingCall, answer: RoutedAnswer): void {
    this._deleteCall(id, pending)
    this._crashAttribution.recordAnswer(id)
    this._recordSuccess()
    const workMs = answer.status < 500 ? this._options.clock.nowMs() - pending.startedAtMs : undefined
    this._step({ type: 'finished', id, workMs })
    pending.listener.onAnswer(answer, this.load())
  }

  private _onFailure (
    id: CallId, pending: PendingCall, proof: FailureProof, reason: FailureReason, detail: string
  ): void {
    this._deleteCall(id, pending)
    const { requestId } = pending.call
    this._options.log.info({ requestId, instance: this._registry.current?.id, proof, reason, detail }, 'run failed')
    if (reason === 'timeout') this._client.closeIdleConnections()
    this._recordCrashEvidence(id, proof, reason)
    this._recordFailure(reason)
    if (reason === 'instance-replaced') this._step({ type: 'misdirected', id })
    this._step({ type: 'finished', id, workMs: undefined })
    pending.listener.onFailed(proof, reason, this.load())
  }

  /** An instance that leaves closes its connections. */
  private _recordCrashEvidence (id: CallId, proof: FailureProof, reason: FailureReason): void {
    const isReady = this._registry.current?.state === 'ready'
    if (isReady && proof === 'unknown' && LOSS_REASONS.has(reason)) this._crashAttribution.recordLoss(id)
    else this._crashAttribution.recordFailure(id)
    if (reason === 'instance-replaced') this._crashAttribution.recordRestart(isReady)
  }

  private _onLoad (load: InstanceLoad): void {
    this._step({ type: 'slowness', slowness: load.slowness })
  }

  private _onRequestLimit (instance: string, { startedAtMs }: PendingCall, header: string | undefined): void {
    if (instance !== this._registry.current?.id) return
    const perS = header === undefined ? undefined : parseRequestLimit(header)
    if (header !== undefined && perS === undefined) {
      return this._options.log.warn({ instance, header }, 'request limit is malformed, the one before stays')
    }
    this._namedLimit.recordAnswer(perS, startedAtMs, this._options.clock.nowMs())
    this._applyLimit()
  }

  private _onLeaving (instance: InstanceIncarnation): void {
    if (this._registry.drain(instance) !== 'applied') return
    const { id, bornMs } = instance
    this._options.log.info({ instance: id, bornMs }, 'instance says in an answer that it leaves')
    this._onInstanceChange()
  }

  private _applyLimit (): void {
    const instance = this._registry.current?.id
    this._namedLimit.setInstance(instance, this._options.clock.nowMs())
    const { perS } = this._namedLimit
    if (perS === this._appliedLimitPerS) return
    this._appliedLimitPerS = perS
    this._options.log.info({ instance, perS }, 'request limit changed')
    this._step({ type: 'requestLimit', perS })
  }

  /** A call whose kept connection broke may have run, so a second send has all the limits of a retry. */
  private _mayResend ({ call, deadlineAtMs }: PendingCall, instance: InstanceIncarnation): boolean {
    const { clock, quarantine, withdrawRepeat } = this._options
    const nowMs = clock.nowMs()
    const isCurrent = isSameIncarnation(this._registry.current, instance) && !this._registry.hasClaim
    const takesCalls = this._slots > 0 && isCurrent && !this._isZoneClosed()
    if (!takesCalls || nowMs >= deadlineAtMs || !this._gate.mayResend(nowMs)) return false
    if (quarantine.check(call, false) !== undefined || withdrawRepeat?.(call.service) === false) return false
    this._step({ type: 'resent' })
    return true
  }

  private _cancel (id: CallId): void {
    const pending = this._removeCall(id)
    if (pending === undefined) return
    pending.handle?.cancel()
    this._crashAttribution.recordFailure(id)
    this._step({ type: 'cancelled', id })
  }

  private _removeCall (id: CallId): PendingCall | undefined {
    const pending = this._pendingCalls.get(id)
    if (pending !== undefined) this._deleteCall(id, pending)
    return pending
  }

  private _deleteCall (id: CallId, { call, lease }: PendingCall): void {
    lease?.release()
    this._pendingCalls.delete(id)
    this._runningByRequestId.delete(call.requestId)
  }

  private _recordSuccess (): void {
    if (this._breaker.state === 'closed') return this._breaker.recordSuccess()
    this._breaker.recordSuccess()
    this._applySlots()
  }

  /** A lost instance gets no calls until it reports a new start or a health check succeeds. */
  private _recordFailure (reason: FailureReason): void {
    const nowMs = this._options.clock.nowMs()
    if (BREAKER_OPENING_REASONS.has(reason)) this._breaker.open(nowMs)
    else if (BREAKER_COUNTED_REASONS.has(reason)) this._breaker.recordFailure(nowMs)
    if (this._breaker.state !== 'open') return
    this._applySlots()
    this.startRecovery()
  }

  private _checkHealth (): void {
    const isKnown = this._registry.current !== undefined
    if (isKnown && this._breaker.state !== 'open') return this._stopRecovery()
    if (isKnown && !this._breaker.isTrialDue(this._options.clock.nowMs())) return
    this._checks.checkHealth(health => this._onHealth(health))
  }

  private _onHealth ({ id, load }: InstanceHealth): void {
    if (this._recoveryTimer === undefined) return
    const { current } = this._registry
    if (current?.id === id) {
      this._breaker.startTrial()
      return this._onInstanceChange()
    }
    // Its start time is unknown until its first report; this value is just later than that of the previous instance.
    const bornMs = (current?.bornMs ?? 0) + 1
    const slots = Math.max(1, load?.slots ?? 1)
    const assumed = { bornMs, isBornAssumed: true, sequence: -1, state: 'ready', coldMs: 0 } as const
    this.report({ ...assumed, id, service: this.service, address: this._options.address, slots })
  }

  private _stopRecovery (): void {
    clearInterval(this._recoveryTimer)
    this._recoveryTimer = undefined
  }

  private _step (event: GateEvent): void {
    for (const action of this._gate.step(event, this._options.clock.nowMs())) {
      const handler = this._gateHandlers[action.type] as (action: GateAction) => void
      handler(action)
    }
  }
}
