import type { CallId, CallKind, LoadEvidence, Part, Random, Reason } from '../Types.js'
import { ConcurrencyLimit } from './ConcurrencyLimit.js'
import { ADMISSION_DEFAULTS, SERVICE_TIME_EWMA_WEIGHT } from './Constants.js'
import { RetryAfter } from './RetryAfter.js'
import { RunningCalls } from './RunningCalls.js'
import type { RunningCall } from './RunningCalls.js'
import type { AdmissionAction, AdmissionEvent, AdmissionOptions, AdmissionView, QueueClass } from './Types.js'
import { QueuedCalls } from './QueuedCalls.js'

type EventOf<T extends AdmissionEvent['type']> = Extract<AdmissionEvent, { type: T }>

type Handlers = {
  readonly [T in AdmissionEvent['type']]: (event: EventOf<T>, nowMs: number, actions: AdmissionAction[]) => void
}

const QUEUE_CLASS_BY_KIND: { readonly [K in CallKind]: QueueClass } = {
  lookup: 'short',
  guarded: 'short',
  download: 'download'
}

/**
 * Admission control in front of one upstream: a concurrency limit and a bounded queue. All calls to the upstream pass
 * through it. Every call ends exactly once: it starts and finishes, or it is refused without having run. A call is
 * queued only when it is expected to start within the allowed queue delay and to finish before its deadline; otherwise
 * it is refused immediately.
 *
 * Memory: one entry for each running call, bounded by the largest number of slots announced, and at most `maxQueued`
 * queued calls.
 */
export class AdmissionController implements Part<AdmissionEvent, AdmissionAction>, AdmissionView {
  private readonly _options: AdmissionOptions
  private readonly _limit: ConcurrencyLimit
  private readonly _retryAfter: RetryAfter
  private readonly _running = new RunningCalls()
  private readonly _queued = new QueuedCalls()
  private readonly _averageServiceMs: { [C in QueueClass]: number }
  private _isDraining = false
  private _isDrainReported = false
  /** Time of the next `tick` that was requested from the host, Infinity when there is none. */
  private _requestedWakeAtMs = Infinity

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
   * @param random Source of the jitter of Retry-After.
   * @param options Options that replace the defaults.
   */
  public constructor (random: Random, options: Partial<AdmissionOptions> = {}) {
    this._options = { ...ADMISSION_DEFAULTS, ...options }
    this._limit = new ConcurrencyLimit(this._options.slots)
    this._retryAfter = new RetryAfter(random, this._options.minRetryAfterMs, this._options.maxRetryAfterMs)
    this._averageServiceMs = { short: this._options.initialServiceMs, download: this._options.initialDownloadMs }
  }

  /** @inheritdoc */
  public step (event: AdmissionEvent, nowMs: number): AdmissionAction[] {
    const actions: AdmissionAction[] = []
    const handle = this._handlers[event.type] as
      (event: AdmissionEvent, nowMs: number, actions: AdmissionAction[]) => void
    handle(event, nowMs, actions)
    return actions
  }

  /** Returns the load evidence to attach to answers. The limit is 0 while the upstream drains. */
  public evidence (): LoadEvidence {
    return {
      inFlight: this._running.size,
      queued: this._queued.size,
      limit: this._isDraining ? 0 : this._limit.current,
      serviceMs: this._averageServiceMs.short
    }
  }

  private _onCapacity (event: EventOf<'capacity'>, nowMs: number, actions: AdmissionAction[]): void {
    this._limit.setSlots(event.slots)
    if (this._limit.current === 0) {
      this._refuseAll('no-upstream', nowMs, actions)
      return
    }
    this._startQueued(nowMs, actions)
  }

  private _onArrive (event: EventOf<'arrive'>, nowMs: number, actions: AdmissionAction[]): void {
    if (this._running.get(event.call) !== undefined) {
      return
    }
    const queueClass = QUEUE_CLASS_BY_KIND[event.kind]
    const reason = this._findRefusalReason(queueClass, event.deadlineAtMs, nowMs)
    if (reason !== undefined) {
      this._refuse(event.call, queueClass, reason, nowMs, actions)
      return
    }
    if (this._queued.count(queueClass) === 0 && this._mayStart(queueClass)) {
      this._start(event.call, queueClass, nowMs, actions)
      return
    }
    this._enqueue(event, queueClass, nowMs, actions)
  }

  private _onFinish (event: EventOf<'finish'>, nowMs: number, actions: AdmissionAction[]): void {
    const running = this._running.get(event.call)
    if (running === undefined) {
      return
    }
    this._recordOutcome(event, running, nowMs)
    this._running.remove(event.call)
    this._startQueued(nowMs, actions)
    this._reportDrained(actions)
  }

  private _onCancel (event: EventOf<'cancel'>, actions: AdmissionAction[]): void {
    if (this._queued.remove(event.call)) {
      actions.push({ type: 'refuse', call: event.call, reason: 'cancelled', retryAfterMs: 0 })
    }
  }

  private _onDrain (nowMs: number, actions: AdmissionAction[]): void {
    this._isDraining = true
    this._isDrainReported = false
    this._refuseAll('draining', nowMs, actions)
    this._reportDrained(actions)
  }

  private _onResume (): void {
    this._isDraining = false
  }

  private _onTick (nowMs: number, actions: AdmissionAction[]): void {
    if (nowMs >= this._requestedWakeAtMs) {
      this._requestedWakeAtMs = Infinity
    }
    this._refuseOverdue(nowMs, actions)
    this._startQueued(nowMs, actions)
    this._requestWake(this._queued.earliestRefusalAtMs(), actions)
  }

  private _findRefusalReason (queueClass: QueueClass, deadlineAtMs: number, nowMs: number): Reason | undefined {
    if (this._isDraining) {
      return 'draining'
    }
    if (this._limit.current === 0) {
      return 'no-upstream'
    }
    if (deadlineAtMs <= nowMs) {
      return 'deadline-exceeded'
    }
    if (this._queued.count(queueClass) === 0 && this._mayStart(queueClass)) {
      return undefined
    }
    const waitMs = this._expectedWaitMs(queueClass, nowMs)
    const isLate = nowMs + waitMs + this._averageServiceMs[queueClass] > deadlineAtMs
    const isFull = this._queued.size >= this._options.maxQueued
    return isLate || isFull || waitMs > this._allowedDelayMs(queueClass) ? 'overloaded' : undefined
  }

  private _enqueue (event: EventOf<'arrive'>, queueClass: QueueClass, nowMs: number, actions: AdmissionAction[]): void {
    const refuseAtMs = Math.min(event.deadlineAtMs, nowMs + this._allowedDelayMs(queueClass))
    const { call, deadlineAtMs } = event
    this._queued.add({ call, queueClass, deadlineAtMs, arrivedAtMs: nowMs, refuseAtMs })
    this._requestWake(refuseAtMs, actions)
  }

  /** Expected time until a call that is queued now starts. */
  private _expectedWaitMs (queueClass: QueueClass, nowMs: number): number {
    return (this._queued.count(queueClass) + 1) * this._startIntervalMs(queueClass, nowMs)
  }

  /** Expected time between the starts of two calls of a class while calls of it are queued. */
  private _startIntervalMs (queueClass: QueueClass, nowMs: number): number {
    if (queueClass === 'download') {
      // While lookups are queued, downloads hold fewer slots than they are allowed to.
      return this._averageServiceMs.download / Math.max(1, this._running.downloads)
    }
    // Calls that have run longer than the average show a slowdown before they finish.
    const serviceMs = Math.max(this._averageServiceMs.short, this._running.meanShortAgeMs(nowMs))
    return serviceMs / Math.max(1, this._limit.current - this._running.downloads)
  }

  private _allowedDelayMs (queueClass: QueueClass): number {
    const { queueDelayServiceTimes, minQueueDelayMs, maxQueueDelayMs, maxDownloadQueueDelayMs } = this._options
    if (queueClass === 'download') {
      return maxDownloadQueueDelayMs
    }
    return Math.min(maxQueueDelayMs, Math.max(minQueueDelayMs, queueDelayServiceTimes * this._averageServiceMs.short))
  }

  private _mayStart (queueClass: QueueClass): boolean {
    if (this._running.size >= this._limit.current) {
      return false
    }
    return queueClass === 'short' || this._running.downloads < this._downloadSlots()
  }

  /** Slots that downloads may use: all but the reserve, at least one. A single slot is shared in order of arrival. */
  private _downloadSlots (): number {
    const limit = this._limit.current
    const reserve = Math.max(1, Math.ceil(limit * this._options.lookupReserveShare))
    return Math.max(1, limit - reserve)
  }

  private _startQueued (nowMs: number, actions: AdmissionAction[]): void {
    if (this._queued.size === 0) {
      return
    }
    this._refuseOverdue(nowMs, actions)
    let queueClass = this._nextQueueClass()
    while (queueClass !== undefined) {
      const next = this._queued.takeFirst(queueClass)
      if (next !== undefined) {
        this._start(next.call, queueClass, nowMs, actions)
      }
      queueClass = this._nextQueueClass()
    }
  }

  /**
   * Class of the next call to start. Short work has priority, but while no download runs the oldest queued call starts
   * first, so that lookups cannot starve downloads.
   */
  private _nextQueueClass (): QueueClass | undefined {
    const short = this._mayStart('short') ? this._queued.first('short') : undefined
    const download = this._mayStart('download') ? this._queued.first('download') : undefined
    if (short === undefined) {
      return download === undefined ? undefined : 'download'
    }
    if (download === undefined || this._running.downloads > 0) {
      return 'short'
    }
    return download.arrivedAtMs < short.arrivedAtMs ? 'download' : 'short'
  }

  private _start (call: CallId, queueClass: QueueClass, nowMs: number, actions: AdmissionAction[]): void {
    this._running.add(call, queueClass, nowMs)
    actions.push({ type: 'start', call })
  }

  private _recordOutcome (event: EventOf<'finish'>, running: RunningCall, nowMs: number): void {
    if (event.outcome === 'shed') {
      this._limit.recordShed(this._running.size, running.startedAtMs, nowMs)
    }
    if (event.outcome === 'ok') {
      const averageMs = this._averageServiceMs[running.queueClass]
      this._averageServiceMs[running.queueClass] =
        averageMs + SERVICE_TIME_EWMA_WEIGHT * (Math.max(0, event.serviceMs) - averageMs)
      this._limit.recordSuccess(this._running.size)
    }
  }

  private _refuseOverdue (nowMs: number, actions: AdmissionAction[]): void {
    for (const { call, queueClass, deadlineAtMs } of this._queued.takeOverdue(nowMs)) {
      this._refuse(call, queueClass, deadlineAtMs <= nowMs ? 'deadline-exceeded' : 'overloaded', nowMs, actions)
    }
  }

  private _refuseAll (reason: Reason, nowMs: number, actions: AdmissionAction[]): void {
    for (const { call, queueClass } of this._queued.takeOverdue(Infinity)) {
      this._refuse(call, queueClass, reason, nowMs, actions)
    }
  }

  private _refuse (
    call: CallId, queueClass: QueueClass, reason: Reason, nowMs: number, actions: AdmissionAction[]
  ): void {
    const startIntervalMs = this._startIntervalMs(queueClass, nowMs)
    const waitMs = this._queued.count(queueClass) * startIntervalMs
    actions.push({ type: 'refuse', call, reason, retryAfterMs: this._retryAfter.next(waitMs, startIntervalMs, nowMs) })
  }

  /** Requests a tick unless one is already due by then. */
  private _requestWake (atMs: number, actions: AdmissionAction[]): void {
    if (atMs < this._requestedWakeAtMs) {
      this._requestedWakeAtMs = atMs
      actions.push({ type: 'wake', atMs })
    }
  }

  private _reportDrained (actions: AdmissionAction[]): void {
    if (this._isDraining && !this._isDrainReported && this._running.size === 0) {
      this._isDrainReported = true
      actions.push({ type: 'drained' })
    }
  }
}
