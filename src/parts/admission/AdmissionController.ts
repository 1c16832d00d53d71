import type { CallId, CallKind, LoadEvidence, Part, Random, Reason } from '../Types.js'
import { ConcurrencyLimit } from './ConcurrencyLimit.js'
import { ADMISSION_DEFAULTS, SERVICE_TIME_WEIGHT } from './Constants.js'
import { RetryAfter } from './RetryAfter.js'
import { RunningCalls } from './RunningCalls.js'
import type { RunningCall } from './RunningCalls.js'
import type { AdmissionAction, AdmissionEvent, AdmissionOptions, AdmissionView, Lane } from './Types.js'
import { WaitingCalls } from './WaitingCalls.js'

type EventOf<T extends AdmissionEvent['type']> = Extract<AdmissionEvent, { type: T }>

type Handlers = {
  readonly [T in AdmissionEvent['type']]: (event: EventOf<T>, nowMs: number, actions: AdmissionAction[]) => void
}

const LANE_OF_KIND: { readonly [K in CallKind]: Lane } = { lookup: 'short', guarded: 'short', download: 'download' }

/**
 * Admission at the upstream's node, the only way to its upstream. Every call ends exactly once: it starts and finishes,
 * or it is refused and was not run. A call waits only while it is expected to start within the allowed queue delay and
 * to end before its deadline; otherwise it is refused at once.
 *
 * Memory: one record for each running call (at most the most slots announced) and `maxQueued` waiting ones.
 */
export class AdmissionController implements Part<AdmissionEvent, AdmissionAction>, AdmissionView {
  private readonly _options: AdmissionOptions
  private readonly _limit: ConcurrencyLimit
  private readonly _retryAfter: RetryAfter
  private readonly _running = new RunningCalls()
  private readonly _waiting = new WaitingCalls()
  private readonly _serviceMs: { [L in Lane]: number }
  private _draining = false
  private _drainedTold = false
  /** When the host was asked to send the next tick. */
  private _wakeAtMs = Infinity

  private readonly _handlers: Handlers = {
    capacity: (event, nowMs, actions) => this._onCapacity(event, nowMs, actions),
    arrive: (event, nowMs, actions) => this._onArrive(event, nowMs, actions),
    finish: (event, nowMs, actions) => this._onFinish(event, nowMs, actions),
    cancel: (event, _nowMs, actions) => this._onCancel(event, actions),
    drain: (_event, nowMs, actions) => this._onDrain(nowMs, actions),
    resume: () => this._onResume(),
    tick: (_event, nowMs, actions) => this._onTick(nowMs, actions)
  }

  /**
   * @param random Source of the spread of Retry-After.
   * @param options What differs from the defaults.
   */
  public constructor (random: Random, options: Partial<AdmissionOptions> = {}) {
    this._options = { ...ADMISSION_DEFAULTS, ...options }
    this._limit = new ConcurrencyLimit(this._options.slots)
    this._retryAfter = new RetryAfter(random, this._options.minRetryAfterMs, this._options.maxRetryAfterMs)
    this._serviceMs = { short: this._options.initialServiceMs, download: this._options.initialDownloadMs }
  }

  /** @inheritdoc */
  public step (event: AdmissionEvent, nowMs: number): AdmissionAction[] {
    const actions: AdmissionAction[] = []
    const handle = this._handlers[event.type] as
      (event: AdmissionEvent, nowMs: number, actions: AdmissionAction[]) => void
    handle(event, nowMs, actions)
    return actions
  }

  /** Returns the evidence to attach to answers. */
  public evidence (): LoadEvidence {
    return {
      inFlight: this._running.size,
      queued: this._waiting.size,
      limit: this._draining ? 0 : this._limit.current,
      serviceMs: this._serviceMs.short
    }
  }

  private _onCapacity (event: EventOf<'capacity'>, nowMs: number, actions: AdmissionAction[]): void {
    this._limit.announce(event.slots)
    if (this._limit.current === 0) {
      this._refuseAll('no-upstream', nowMs, actions)
      return
    }
    this._startWaiting(nowMs, actions)
  }

  private _onArrive (event: EventOf<'arrive'>, nowMs: number, actions: AdmissionAction[]): void {
    if (this._running.get(event.call) !== undefined) {
      return
    }
    const lane = LANE_OF_KIND[event.kind]
    const reason = this._reasonToRefuse(lane, event.deadlineAtMs, nowMs)
    if (reason !== undefined) {
      this._refuse(event.call, lane, reason, nowMs, actions)
      return
    }
    if (this._waiting.sizeOf(lane) === 0 && this._mayStart(lane)) {
      this._start(event.call, lane, nowMs, actions)
      return
    }
    this._enqueue(event, lane, nowMs, actions)
  }

  private _onFinish (event: EventOf<'finish'>, nowMs: number, actions: AdmissionAction[]): void {
    const running = this._running.get(event.call)
    if (running === undefined) {
      return
    }
    this._learn(event, running, nowMs)
    this._running.remove(event.call)
    this._startWaiting(nowMs, actions)
    this._tellDrained(actions)
  }

  private _onCancel (event: EventOf<'cancel'>, actions: AdmissionAction[]): void {
    if (this._waiting.remove(event.call)) {
      actions.push({ type: 'refuse', call: event.call, reason: 'cancelled', retryAfterMs: 0 })
    }
  }

  private _onDrain (nowMs: number, actions: AdmissionAction[]): void {
    this._draining = true
    this._drainedTold = false
    this._refuseAll('draining', nowMs, actions)
    this._tellDrained(actions)
  }

  private _onResume (): void {
    this._draining = false
  }

  private _onTick (nowMs: number, actions: AdmissionAction[]): void {
    if (nowMs >= this._wakeAtMs) {
      this._wakeAtMs = Infinity
    }
    this._refuseOverdue(nowMs, actions)
    this._startWaiting(nowMs, actions)
    this._wakeAt(this._waiting.earliestRefusalMs(), actions)
  }

  private _reasonToRefuse (lane: Lane, deadlineAtMs: number, nowMs: number): Reason | undefined {
    if (this._draining) {
      return 'draining'
    }
    if (this._limit.current === 0) {
      return 'no-upstream'
    }
    if (deadlineAtMs <= nowMs) {
      return 'deadline-exceeded'
    }
    if (this._waiting.sizeOf(lane) === 0 && this._mayStart(lane)) {
      return undefined
    }
    const waitMs = this._expectedWaitMs(lane, nowMs)
    const late = nowMs + waitMs + this._serviceMs[lane] > deadlineAtMs
    const full = this._waiting.size >= this._options.maxQueued
    return late || full || waitMs > this._allowedDelayMs(lane) ? 'overloaded' : undefined
  }

  private _enqueue (event: EventOf<'arrive'>, lane: Lane, nowMs: number, actions: AdmissionAction[]): void {
    const refuseAtMs = Math.min(event.deadlineAtMs, nowMs + this._allowedDelayMs(lane))
    const { call, deadlineAtMs } = event
    this._waiting.add({ call, lane, deadlineAtMs, arrivedAtMs: nowMs, refuseAtMs })
    this._wakeAt(refuseAtMs, actions)
  }

  /** Time until a call that joins the lane now is expected to start. */
  private _expectedWaitMs (lane: Lane, nowMs: number): number {
    return (this._waiting.sizeOf(lane) + 1) * this._msPerCall(lane, nowMs)
  }

  /** Expected time between two starts of the lane while calls of it wait. */
  private _msPerCall (lane: Lane, nowMs: number): number {
    if (lane === 'download') {
      // Beside waiting lookups, downloads get fewer slots than they may take.
      return this._serviceMs.download / Math.max(1, this._running.downloads)
    }
    // Calls that have run longer than usual tell of a slow-down before they finish.
    const serviceMs = Math.max(this._serviceMs.short, this._running.meanShortAgeMs(nowMs))
    return serviceMs / Math.max(1, this._limit.current - this._running.downloads)
  }

  private _allowedDelayMs (lane: Lane): number {
    const { queueDelayServiceTimes, minQueueDelayMs, maxQueueDelayMs, maxDownloadQueueDelayMs } = this._options
    if (lane === 'download') {
      return maxDownloadQueueDelayMs
    }
    return Math.min(maxQueueDelayMs, Math.max(minQueueDelayMs, queueDelayServiceTimes * this._serviceMs.short))
  }

  private _mayStart (lane: Lane): boolean {
    if (this._running.size >= this._limit.current) {
      return false
    }
    return lane === 'short' || this._running.downloads < this._downloadSlots()
  }

  /** Slots that downloads may take: all but the reserve; a single slot is shared in order of arrival. */
  private _downloadSlots (): number {
    const limit = this._limit.current
    const reserve = Math.max(1, Math.ceil(limit * this._options.lookupReserveShare))
    return Math.max(1, limit - reserve)
  }

  private _startWaiting (nowMs: number, actions: AdmissionAction[]): void {
    if (this._waiting.size === 0) {
      return
    }
    this._refuseOverdue(nowMs, actions)
    let lane = this._nextLane()
    while (lane !== undefined) {
      const next = this._waiting.takeFirst(lane)
      if (next !== undefined) {
        this._start(next.call, lane, nowMs, actions)
      }
      lane = this._nextLane()
    }
  }

  /** Short work goes first, but while no download runs the one that waited longest goes first. */
  private _nextLane (): Lane | undefined {
    const short = this._mayStart('short') ? this._waiting.first('short') : undefined
    const download = this._mayStart('download') ? this._waiting.first('download') : undefined
    if (short === undefined) {
      return download === undefined ? undefined : 'download'
    }
    if (download === undefined || this._running.downloads > 0) {
      return 'short'
    }
    return download.arrivedAtMs < short.arrivedAtMs ? 'download' : 'short'
  }

  private _start (call: CallId, lane: Lane, nowMs: number, actions: AdmissionAction[]): void {
    this._running.add(call, lane, nowMs)
    actions.push({ type: 'start', call })
  }

  private _learn (event: EventOf<'finish'>, running: RunningCall, nowMs: number): void {
    if (event.outcome === 'shed') {
      this._limit.shed(this._running.size, running.startedAtMs, nowMs)
    }
    if (event.outcome === 'ok') {
      const smoothed = this._serviceMs[running.lane]
      this._serviceMs[running.lane] = smoothed + SERVICE_TIME_WEIGHT * (Math.max(0, event.serviceMs) - smoothed)
      this._limit.succeeded(this._running.size)
    }
  }

  private _refuseOverdue (nowMs: number, actions: AdmissionAction[]): void {
    for (const { call, lane, deadlineAtMs } of this._waiting.takeOverdue(nowMs)) {
      this._refuse(call, lane, deadlineAtMs <= nowMs ? 'deadline-exceeded' : 'overloaded', nowMs, actions)
    }
  }

  private _refuseAll (reason: Reason, nowMs: number, actions: AdmissionAction[]): void {
    for (const { call, lane } of this._waiting.takeOverdue(Infinity)) {
      this._refuse(call, lane, reason, nowMs, actions)
    }
  }

  private _refuse (call: CallId, lane: Lane, reason: Reason, nowMs: number, actions: AdmissionAction[]): void {
    const msPerCall = this._msPerCall(lane, nowMs)
    const waitMs = this._waiting.sizeOf(lane) * msPerCall
    actions.push({ type: 'refuse', call, reason, retryAfterMs: this._retryAfter.next(waitMs, msPerCall, nowMs) })
  }

  /** Asks for a tick unless one is due by then. */
  private _wakeAt (atMs: number, actions: AdmissionAction[]): void {
    if (atMs < this._wakeAtMs) {
      this._wakeAtMs = atMs
      actions.push({ type: 'wake', atMs })
    }
  }

  private _tellDrained (actions: AdmissionAction[]): void {
    if (this._draining && !this._drainedTold && this._running.size === 0) {
      this._drainedTold = true
      actions.push({ type: 'drained' })
    }
  }
}
