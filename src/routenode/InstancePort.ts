import { type BreakerState, InstanceBreaker } from '../parts/gate/InstanceBreaker.js'
import { computeRequestRank } from '../parts/gate/RequestRank.js'
import { InstanceGate } from '../parts/gate/InstanceGate.js'
import type { GateAction, GateCall, GateEvent, GateLoad } from '../parts/gate/Types.js'
import { InstanceRegistry, type ReportOutcome } from '../parts/instances/InstanceRegistry.js'
import type { InstanceReport, PublishedInstance } from '../parts/instances/Types.js'
import type { CallId, ServiceName } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import { PartTimer } from '../runtime/PartTimer.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { RECOVERY_CHECK_MS } from './Constants.js'
import { InstanceClient, type InstanceHealth } from './InstanceClient.js'
import type { InstanceLoad } from './LoadHeader.js'
import type {
  Attempt, FailureProof, FailureReason, HeaderNames, RoutedAnswer, RoutedCall, RoutedCallHandle, RoutedCallSink,
  RoutedCallTarget
} from './Types.js'

/** What the port is made of. */
export interface InstancePortParts {
  /** Where the instance on this VM listens, `host:port`. */
  readonly address: string
  /** Service of that instance, until it reports one itself. */
  readonly service: ServiceName
  readonly names: HeaderNames
  readonly clock: Clock
  readonly log: Log
  /** Path of a service's health check; undefined while no configuration names the service. */
  readonly healthPathOf: (service: ServiceName) => string | undefined
}

interface HeldCall {
  readonly call: RoutedCall
  readonly sink: RoutedCallSink
  readonly deadlineAtMs: number
  startedAtMs: number
  handle: RoutedCallHandle | undefined
}

type GateHandlers = {
  readonly [Type in GateAction['type']]: (action: Extract<GateAction, { type: Type }>) => void
}

/** Failures that tell at once that the instance itself is gone. */
const LOST_INSTANCE: ReadonlySet<FailureReason> = new Set(['instance-unreachable', 'instance-replaced'])

/** Failures of which a few in a row tell that. */
const SILENT_INSTANCE: ReadonlySet<FailureReason> = new Set(['timeout', 'instance-lost'])

/**
 * The only way in to the instance on this VM. It alone knows what runs there, so slots, order and drain are
 * enforced here: from the moment at which a report that the instance leaves is taken, nothing new is let in.
 *
 * Memory: the calls that run and those that wait; see `InstanceGate`.
 */
export class InstancePort implements RoutedCallTarget, Disposable {
  private readonly _register: InstanceRegistry
  private readonly _client: InstanceClient
  private readonly _gate = new InstanceGate()
  private readonly _held = new Map<CallId, HeldCall>()
  private readonly _attempts = new Map<string, Attempt>()
  private readonly _wake: PartTimer
  private readonly _changes = new Emitter<void>()
  private readonly _gateHandlers: GateHandlers
  private readonly _breaker = new InstanceBreaker()
  private _recoveryTimer: NodeJS.Timeout | undefined
  private _slots = 0
  private _publishedText: string | undefined
  private _lastCall = 0

  public constructor (private readonly _parts: InstancePortParts) {
    this._register = new InstanceRegistry(_parts.address)
    this._client = new InstanceClient(_parts.address, _parts.names, _parts.clock)
    this._wake = new PartTimer(_parts.clock, () => this._step({ type: 'tick' }))
    this._gateHandlers = {
      start: action => this._run(action.call.id),
      decline: action => {
        const held = this._take(action.call.id)
        held?.sink.onTurnedAway(action.reason, action.retryAfterMs, this.load())
      },
      measure: () => this._measurePace(),
      wake: action => this._wake.wakeAt(action.atMs)
    }
  }

  /** Fires when what other nodes must know of the instance has changed. */
  public readonly onChange = this._changes.event

  /** What other nodes are told. */
  public get published (): PublishedInstance | undefined {
    return this._register.published
  }

  /** Service of the instance on this VM. */
  public get service (): ServiceName {
    return this._register.current?.service ?? this._parts.service
  }

  /** Calls that wait or run here. */
  public get heldCalls (): number {
    return this._held.size
  }

  /** Load to attach to answers. */
  public load (): GateLoad {
    return this._gate.load(this._parts.clock.nowMs())
  }

  /**
   * Takes what an earlier run of this process had published, so that a leaving instance is not taken back. An entry
   * of another service is of another VM that had this address before.
   */
  public restore (published: PublishedInstance): void {
    if (this._register.current !== undefined || published.service !== this._parts.service) return
    this._register.report({ ...published, address: this._parts.address, sequence: -1, coldMs: 0 })
    this._breaker.open(this._parts.clock.nowMs())
    this._applySlots()
  }

  /** Looks for the instance by its health check until it is found or reports itself. */
  public discover (): void {
    if (this._register.current !== undefined && this._breaker.state !== 'open') return
    this._recoveryTimer ??= setInterval(() => this._checkHealth(), RECOVERY_CHECK_MS)
    this._checkHealth()
  }

  /**
   * Returns which attempt of a request the instance runs now, undefined when it doesn't run it.
   * @param requestId Id of the request.
   */
  public attemptOf (requestId: string): Attempt | undefined {
    return this._attempts.get(requestId)
  }

  /** Takes a report of an instance. */
  public report (report: InstanceReport): ReportOutcome {
    const before = this._register.current
    const outcome = this._register.report(report)
    if (outcome !== 'applied') return outcome
    const restarted = before?.id !== report.id || before.bornMs !== report.bornMs
    if (restarted) this._breaker.recordSuccess()
    this._handleReport()
    return outcome
  }

  /** Takes the notice that an instance leaves. */
  public leave (id: string, bornMs: number | undefined): ReportOutcome {
    const outcome = this._register.deregister(id, bornMs)
    if (outcome === 'applied') this._handleReport()
    return outcome
  }

  /** Takes a call for the instance. */
  public start (call: RoutedCall, sink: RoutedCallSink): RoutedCallHandle {
    const nowMs = this._parts.clock.nowMs()
    const id = ++this._lastCall
    const deadlineAtMs = nowMs + call.leftMs
    if (call.service !== this.service) {
      sink.onTurnedAway('no-slots', 0, this.load())
      return { cancel: () => {} }
    }
    this._held.set(id, { call, sink, deadlineAtMs, startedAtMs: nowMs, handle: undefined })
    const gateCall: GateCall = {
      id,
      work: call.work,
      nested: call.nested,
      requestRank: computeRequestRank(call.requestId),
      priority: call.priority,
      objectiveAtMs: nowMs + call.objectiveLeftMs,
      deadlineAtMs,
      moveMs: call.moveMs,
      isHedge: call.attempt === 'hedge'
    }
    this._step({ type: 'offer', call: gateCall })
    return { cancel: () => this._cancel(id) }
  }

  /** Ends all connections at once. */
  public dispose (): void {
    this._stopRecovery()
    this._wake.dispose()
    this._client.dispose()
  }

  private _handleReport (): void {
    const { current } = this._register
    this._applySlots()
    this._publishChange()
    const { id, state, sequence } = current ?? {}
    this._parts.log.debug({ instance: id, state, sequence }, 'instance reported')
  }

  /** Most reports repeat the one before; passing them on would cost each node bytes for each instance there is. */
  private _publishChange (): void {
    const text = JSON.stringify(this._register.published)
    if (text === this._publishedText) return
    this._publishedText = text
    this._changes.fire()
  }

  private _applySlots (): void {
    const { current } = this._register
    const slots = current?.state === 'ready' ? SLOTS_BY_BREAKER[this._breaker.state](current.slots) : 0
    if (slots === this._slots) return
    this._slots = slots
    const { id, state } = current ?? {}
    this._parts.log.info({ service: this.service, instance: id, state, breaker: this._breaker.state, slots }, 'slots changed')
    this._step({ type: 'slots', slots })
  }

  private _run (id: CallId): void {
    const held = this._held.get(id)
    const instance = this._register.current
    if (held === undefined || instance === undefined) return
    held.startedAtMs = this._parts.clock.nowMs()
    this._attempts.set(held.call.requestId, held.call.attempt)
    held.handle = this._client.run(held.call, instance.id, held.deadlineAtMs - held.startedAtMs, {
      onAnswer: answer => this._handleAnswer(id, held, answer),
      onFailure: (proof, reason, detail) => this._handleFailure(id, held, proof, reason, detail),
      onLoad: load => this._handleLoad(load)
    })
  }

  private _handleAnswer (id: CallId, held: HeldCall, answer: RoutedAnswer): void {
    this._forget(id, held)
    this._noteSuccess()
    const workMs = answer.status < 500 ? this._parts.clock.nowMs() - held.startedAtMs : undefined
    this._step({ type: 'finished', id, workMs })
    held.sink.onAnswer(answer, this.load())
  }

  private _handleFailure (
    id: CallId, held: HeldCall, proof: FailureProof, reason: FailureReason, detail: string
  ): void {
    this._forget(id, held)
    const { requestId } = held.call
    this._parts.log.info({ requestId, instance: this._register.current?.id, proof, reason, detail }, 'run failed')
    if (reason === 'timeout') this._client.closeIdle()
    this._noteFailure(reason)
    this._step({ type: 'finished', id, workMs: undefined })
    held.sink.onFailed(proof, reason, this.load())
  }

  private _handleLoad (load: InstanceLoad): void {
    this._step({ type: 'slowness', slowness: load.slowness })
  }

  private _cancel (id: CallId): void {
    const held = this._take(id)
    if (held === undefined) return
    held.handle?.cancel()
    this._step({ type: 'cancelled', id })
  }

  private _take (id: CallId): HeldCall | undefined {
    const held = this._held.get(id)
    if (held !== undefined) this._forget(id, held)
    return held
  }

  private _forget (id: CallId, { call }: HeldCall): void {
    this._held.delete(id)
    this._attempts.delete(call.requestId)
  }

  private _noteSuccess (): void {
    if (this._breaker.state === 'closed') return this._breaker.recordSuccess()
    this._breaker.recordSuccess()
    this._applySlots()
  }

  /** An instance that is lost gets nothing until it starts anew, or is found well. */
  private _noteFailure (reason: FailureReason): void {
    const nowMs = this._parts.clock.nowMs()
    if (LOST_INSTANCE.has(reason)) this._breaker.open(nowMs)
    else if (SILENT_INSTANCE.has(reason)) this._breaker.recordFailure(nowMs)
    if (this._breaker.state !== 'open') return
    this._applySlots()
    this.discover()
  }

  private _checkHealth (): void {
    const path = this._parts.healthPathOf(this.service)
    const known = this._register.current !== undefined
    if (known && this._breaker.state !== 'open') return this._stopRecovery()
    if (path === undefined || (known && !this._breaker.isTrialDue(this._parts.clock.nowMs()))) return
    this._client.check(path, health => { if (health !== undefined) this._handleHealth(health) })
  }

  private _handleHealth ({ id, load }: InstanceHealth): void {
    if (this._recoveryTimer === undefined) return
    const { current } = this._register
    if (current?.id === id) {
      this._breaker.startTrial()
      this._handleReport()
      return
    }
    // Its first report will tell when it started; until then it counts as just newer than the one before.
    const bornMs = (current?.bornMs ?? 0) + 1
    const { address, service } = this._parts
    this.report({ id, bornMs, sequence: -1, service, address, slots: load?.slots ?? 1, state: 'ready', coldMs: 0 })
  }

  private _measurePace (): void {
    const path = this._parts.healthPathOf(this.service)
    if (path === undefined) return this._step({ type: 'measured', slowness: undefined })
    this._client.measure(path, load => this._step({ type: 'measured', slowness: load?.slowness }))
  }

  private _stopRecovery (): void {
    clearInterval(this._recoveryTimer)
    this._recoveryTimer = undefined
  }

  private _step (event: GateEvent): void {
    for (const action of this._gate.step(event, this._parts.clock.nowMs())) {
      const handler = this._gateHandlers[action.type] as (action: GateAction) => void
      handler(action)
    }
  }
}

const SLOTS_BY_BREAKER: { readonly [State in BreakerState]: (slots: number) => number } = {
  closed: slots => slots,
  open: () => 0,
  trial: () => 1
}
