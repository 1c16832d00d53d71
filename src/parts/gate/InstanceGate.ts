import type { CallId, Part } from '../Types.js'
import {
  FAILING_EWMA_WEIGHT, FAILING_STEPS, HEDGE_RESERVE_SHARE, LATE_RESERVE_SHARE, MAX_QUEUED_CALLS, MAX_SLOWNESS_WAIT_MS,
  MIN_REMAINING_SHARE, SLOWNESS_RECOVERY_MS, SLOWNESS_STEPS_PER_UNIT, WORK_TIME_EWMA_WEIGHT
} from './Constants.js'
import { AcceptedCalls } from './AcceptedCalls.js'
import { compareCalls, hasWorkspace } from './CallOrder.js'
import { ColdLimit, type ColdTicket, PACED } from './ColdLimit.js'
import { CallQueue } from './CallQueue.js'
import { LateQueueLimit } from './LateQueueLimit.js'
import { OfferedLoad } from './OfferedLoad.js'
import { RequestRateLimit } from './RequestRateLimit.js'
import { SlotLimit } from './SlotLimit.js'
import type { DeclineReason, GateAction, GateCall, GateEvent, GateLoad } from './Types.js'
import { VmSlowness } from './VmSlowness.js'
import { WorkTimeEstimate } from './WorkTimeEstimate.js'

type Handlers = {
  readonly [Type in GateEvent['type']]: (event: Extract<GateEvent, { type: Type }>) => void
}

/**
 * Admission control of one instance: decides which calls start, queue or are declined. It runs at the node beside the
 * instance, through which all its calls pass.
 *
 * Load shifts within milliseconds, and the caller's node chose the instance on older load evidence. A call that may go
 * to another instance is therefore declined at once when queueing here, or running while the VM is slow, costs more
 * than the move; a call that stays is queued until the VM has recovered. Calls that can't finish before their deadline
 * are declined as soon as that is known. While the instance names a limit on requests, a call that it does not allow is
 * declined at once. The same holds for calls beyond the limit of a cold instance; see `ColdLimit`.
 *
 * Memory: the running calls, at most the slots, up to `MAX_QUEUED_CALLS` queued calls, and the work time estimates.
 */
export class InstanceGate implements Part<GateEvent, GateAction> {
  private readonly _queue = new CallQueue()
  private readonly _running = new Map<CallId, GateCall>()
  private readonly _limit = new SlotLimit()
  private readonly _runStarts = new Map<CallId, RunStart>()
  private readonly _workTimes = new WorkTimeEstimate()
  /** Moving average of the time for which calls hold their slot before they run, in milliseconds. */
  private _transferMs = 0
  private readonly _vmSlowness = new VmSlowness()
  private readonly _lateQueueLimit = new LateQueueLimit()
  private readonly _requestRateLimit = new RequestRateLimit()
  private readonly _acceptedCalls = new AcceptedCalls()
  private readonly _offeredLoad = new OfferedLoad()
  private readonly _coldLimit = new ColdLimit()
  private _actions: GateAction[] = []
  private _nowMs = 0
  private _slots = 0
  private _wakeAtMs = Infinity
  /** Share of the recent runs that brought no usable answer. */
  private _failing = 0

  private readonly _handlers: Handlers = {
    offer: event => {
      this._offer(event.call)
      this._recordOffer(event.call)
    },
    finished: event => this._finish(event.id, event.workMs),
    cancelled: event => this._cancel(event.id),
    slots: event => this._setSlots(event.slots),
    requestLimit: event => this._setRequestLimit(event.perS),
    coldLimit: event => this._setColdLimit(event.perS, event.coldUntilMs),
    probed: event => this._finishProbe(event.ticket, event.isWarm),
    restarted: () => { if (this._coldLimit.isSet) this._failing = 0 },
    misdirected: event => this._coldLimit.refund(this._runStarts.get(event.id)?.coldTicket ?? PACED, this._nowMs),
    resent: () => {
      this._requestRateLimit.take(this._nowMs)
      this._coldLimit.take(this._nowMs)
    },
    slowness: event => {
      this._vmSlowness.recordSample(event.slowness, this._nowMs)
      this._handleSlowness()
    },
    measured: event => {
      this._vmSlowness.finishMeasurement(event.slowness, this._nowMs)
      this._handleSlowness()
    },
    tick: () => this._tick()
  }

  /** @inheritdoc */
  public step (event: GateEvent, nowMs: number): GateAction[] {
    this._nowMs = nowMs
    this._actions = []
    this._queue.ordersByShare = this._offeredLoad.isContended(nowMs)
    const handler = this._handlers[event.type] as (event: GateEvent) => void
    handler(event)
    this._measureIfNeeded()
    this._checkColdIfNeeded()
    return this._actions
  }

  /** Returns whether a request may be sent once more; `resent` tells that it was. */
  public mayResend (nowMs: number): boolean {
    return this.load(nowMs).closedForMs === undefined && this._coldLimit.canSend(nowMs)
  }

  /**
   * Takes a health check or a load query from the limit of a cold instance; `probed` tells its result.
   * @returns Undefined when it must not be sent now.
   */
  public takeProbe (nowMs: number): ColdTicket | undefined {
    return this._coldLimit.takeProbe(nowMs)
  }

  /** Returns the load report that is attached to answers. */
  public load (nowMs: number): GateLoad {
    const closedForMs = this._closedForMs(nowMs)
    const load = {
      running: this._running.size,
      queued: this._queue.size,
      limit: this._limit.current(nowMs),
      slowness: Math.round(SLOWNESS_STEPS_PER_UNIT * this._vmSlowness.current(nowMs)) / SLOWNESS_STEPS_PER_UNIT,
      workMs: Math.round(this._workTimes.overallMs),
      failing: Math.round(FAILING_STEPS * this._failing) / FAILING_STEPS
    }
    return closedForMs > 0 ? { ...load, closedForMs } : load
  }

  private _offer (call: GateCall): void {
    if (this._slots === 0) return this._decline(call, 'no-slots')
    // Each queued call will take one of the available requests.
    const available = this._requestRateLimit.available(this._nowMs)
    const isOverLimit = available < this._queue.size + 1 + this._reservedRequests(call)
    if (isOverLimit && (available < 1 || !this._mayDisplace(call))) return this._decline(call, 'rate-limited')
    if (!this._coldLimit.accepts(this._queue.size, this._nowMs)) return this._declineCold(call)
    if (call.isHedge && !this._maySendHedge()) return this._decline(call, 'busy')
    if (this._hasFreeSlotFor(call)) return this._offerFreeSlot(call)
    if (call.isHedge) return this._decline(call, 'busy')
    const meetsObjective =
      this._nowMs + this._expectedWaitMs(call) + this._expectedStayMs(call) <= call.objectiveAtMs
    if (isWorthMoving(call, meetsObjective ? this._expectedWaitMs(call) : Infinity)) return this._decline(call, 'busy')
    if (!this._mayQueue(call)) return this._decline(call, 'too-late')
    this._enqueue(call)
  }

  /** A call that goes to another instance is offered there. */
  private _recordOffer (call: GateCall): void {
    const isMoved = this._actions.some(action => action.type === 'decline' && action.call === call) &&
      (call.moveMs !== undefined || call.isHedge)
    if (isMoved || this._slots === 0) return
    const capacityMs = this._workTimes.expectedMs(call.work) / Math.max(1, this._limit.current(this._nowMs))
    this._offeredLoad.record(Math.max(capacityMs, this._requestRateLimit.intervalMs), this._nowMs)
  }

  /** Available requests that are kept for calls which go before a call, as far as they take up the request limit. */
  private _reservedRequests (call: GateCall): number {
    if (!this._requestRateLimit.isSet || !this._queue.ordersByShare || !hasWorkspace(call) || call.nested) return 0
    const takenShare = Math.min(1, this._overtakingRate(call) * this._requestRateLimit.intervalMs)
    return takenShare * (this._requestRateLimit.burst - 1)
  }

  private _offerFreeSlot (call: GateCall): void {
    // Its bytes would be moved in vain.
    if (call.transferMs !== undefined && this._latestStartMs(call) <= this._nowMs) return this._decline(call, 'too-late')
    // It waits until a check has shown whether the instance is warm.
    if (!this._coldLimit.canSend(this._nowMs)) return this._enqueue(call)
    const extraRunMs = this._extraRunMs(call)
    if (extraRunMs !== undefined && extraRunMs <= SLOWNESS_RECOVERY_MS) {
      this._start(call)
      return this._onAccepted(call)
    }
    if (extraRunMs !== undefined && this._shouldLeaveSlowVm(call)) return this._decline(call, 'slow')
    if (this._latestStartMs(call) <= this._nowMs) return this._decline(call, 'too-late')
    this._enqueue(call)
  }

  private _enqueue (call: GateCall): void {
    this._queue.add(call, this._nowMs)
    this._wakeAt(this._latestStartMs(call))
    this._onAccepted(call)
  }

  private _onAccepted (call: GateCall): void {
    this._acceptedCalls.record(call, this._canMeetObjective(call), this._nowMs)
    this._declineDisplaced(call)
  }

  private _finish (id: CallId, workMs: number | undefined): void {
    const call = this._running.get(id)
    if (call === undefined) return
    this._running.delete(id)
    this._transferMs += WORK_TIME_EWMA_WEIGHT * ((call.transferMs ?? 0) - this._transferMs)
    this._failing += FAILING_EWMA_WEIGHT * (Number(workMs === undefined) - this._failing)
    if (workMs !== undefined) this._recordWorkTime(call, workMs)
    this._runStarts.delete(id)
    this._startQueued()
  }

  private _cancel (id: CallId): void {
    if (this._queue.remove(id)) return
    this._runStarts.delete(id)
    if (this._running.delete(id)) this._startQueued()
  }

  private _setSlots (slots: number): void {
    this._slots = slots
    this._limit.setSlots(slots)
    if (slots === 0) this._queue.takeAll(() => true).forEach(call => this._decline(call, 'no-slots'))
    else this._startQueued()
  }

  private _setRequestLimit (perS: number | undefined): void {
    this._requestRateLimit.set(perS, this._nowMs)
    this._declineSurplus(Math.floor(this._requestRateLimit.available(this._nowMs)), 'rate-limited')
  }

  private _setColdLimit (perS: number | undefined, coldUntilMs: number): void {
    this._coldLimit.set(perS, coldUntilMs, this._nowMs)
    this._startQueued()
    this._declineColdSurplus()
  }

  private _finishProbe (ticket: ColdTicket, isWarm: boolean): void {
    this._coldLimit.endProbe(ticket, isWarm, this._nowMs)
    this._startQueued()
    this._declineColdSurplus()
  }

  private _declineColdSurplus (): void {
    const surplus = this._coldLimit.surplus(this._queue.size, this._nowMs)
    if (surplus <= 0) return
    const declined = this._queue.takeLast(surplus, () => true, call => this._canMeetObjective(call))
    declined.forEach(call => this._declineCold(call))
  }

  private _declineCold (call: GateCall): void {
    this._coldLimit.promise(this._nowMs)
    this._decline(call, 'rate-limited')
  }

  /** The requests that a cold instance tolerates are kept for first attempts. */
  private _maySendHedge (): boolean {
    return !this._coldLimit.isPaced(this._nowMs) && this._coldLimit.canSend(this._nowMs)
  }

  /** Requests a check of the instance while it is needed, and a wake-up for calls that wait for its result. */
  private _checkColdIfNeeded (): void {
    if (!this._coldLimit.isSet) return
    const ticket = this._coldLimit.startCheck(this._nowMs)
    if (ticket !== undefined) this._actions.push({ type: 'checkCold', ticket })
    const isHeld = this._queue.size > 0 && !this._coldLimit.canSend(this._nowMs)
    if (isHeld) this._wakeAt(this._coldLimit.nextWakeMs(this._nowMs))
  }

  private _tick (): void {
    // A timer may fire slightly early, so a wake-up that is still due is requested again.
    this._wakeAtMs = Infinity
    this._declineOverdue()
    this._startQueued()
    if (this._queue.size > 0) this._wakeAt(this._queue.earliest(call => this._latestStartMs(call)))
  }

  private _handleSlowness (): void {
    if (this._queue.size === 0) return
    const declined = this._queue.takeAll(call => {
      const extraRunMs = this._isBelowLimit(call) ? this._extraRunMs(call) : undefined
      return extraRunMs !== undefined && extraRunMs > SLOWNESS_RECOVERY_MS && this._shouldLeaveSlowVm(call)
    })
    declined.forEach(call => this._decline(call, 'slow'))
    this._startQueued()
  }

  private _startQueued (): void {
    if (this._queue.size === 0) return
    this._declineOverdue()
    let next = this._takeNext()
    while (next !== undefined) {
      if (!this._canMeetObjective(next)) this._lateQueueLimit.recordStart(this._slots)
      this._start(next)
      next = this._takeNext()
    }
    if (this._queue.size === 0) this._lateQueueLimit.recordEmpty()
  }

  private _takeNext (): GateCall | undefined {
    return this._queue.takeNext(
      call => this._canMeetObjective(call),
      (call, arrivedAtMs) => this._coldLimit.canSend(this._nowMs) && this._isBelowLimit(call) &&
        this._isSlownessAcceptable(call, arrivedAtMs)
    )
  }

  private _isSlownessAcceptable (call: GateCall, arrivedAtMs: number): boolean {
    if (this._nowMs - arrivedAtMs >= MAX_SLOWNESS_WAIT_MS) return true
    const extraRunMs = this._extraRunMs(call)
    return extraRunMs !== undefined && extraRunMs <= SLOWNESS_RECOVERY_MS
  }

  /** Requests a measurement while a queued call is below its limit, so that only the VM's slowness holds it back. */
  private _measureIfNeeded (): void {
    if (this._queue.size === 0 || !this._coldLimit.canSend(this._nowMs)) return
    if (this._queue.count(call => this._isBelowLimit(call)) === 0) return
    const measureAtMs = this._vmSlowness.nextMeasurementAtMs(this._nowMs)
    if (measureAtMs === undefined) return
    if (measureAtMs > this._nowMs) return this._wakeAt(measureAtMs)
    this._vmSlowness.startMeasurement()
    this._actions.push({ type: 'measure' })
  }

  /**
   * Declines calls that can't finish before their deadline, since they would only take slots from calls that can, and
   * the surplus of late calls.
   */
  private _declineOverdue (): void {
    for (const call of this._queue.takeAll(call => this._latestStartMs(call) <= this._nowMs)) {
      if (!this._canMeetObjective(call)) this._lateQueueLimit.recordExpired()
      this._decline(call, 'too-late')
    }
    this._declineSurplusLate()
  }

  /** Declines queued late calls that exceed the limit on them. */
  private _declineSurplusLate (): void {
    const isLate = (call: GateCall): boolean => !call.nested && !this._canMeetObjective(call)
    this._declineSurplus(this._lateQueueLimit.current, 'too-late', isLate)
    const last = this._queue.last(call => this._canMeetObjective(call), isLate)
    if (last === undefined || this._remainingShare(last) > MIN_REMAINING_SHARE) return
    this._queue.remove(last.id)
    this._lateQueueLimit.recordExpired()
    this._decline(last, 'too-late')
  }

  /** Declines queued calls that exceed a limit on those that meet a condition. */
  private _declineSurplus (
    limit: number, reason: DeclineReason, predicate: (call: GateCall) => boolean = () => true
  ): void {
    const surplus = this._queue.count(predicate) - limit
    if (surplus <= 0) return
    const declined = this._queue.takeLast(surplus, predicate, call => this._canMeetObjective(call))
    declined.forEach(call => this._decline(call, reason))
  }

  /** True when a call goes before a queued one, which can be declined in its place. */
  private _mayDisplace (call: GateCall, predicate: (queued: GateCall) => boolean = () => true): boolean {
    if (!hasWorkspace(call)) return false
    const last = this._queue.last(queued => this._canMeetObjective(queued), predicate)
    if (last === undefined) return false
    const lastMeetsObjective = this._canMeetObjective(last)
    return compareCalls(call, this._canMeetObjective(call), last, lastMeetsObjective, this._queue.ordersByShare) < 0
  }

  /**
   * Declines the queued calls that an accepted call displaces: those beyond a limit, and those at the end that can't be
   * expected to start in time any more. Their callers learn it now rather than after a wait in vain.
   */
  private _declineDisplaced (accepted: GateCall): void {
    if (!hasWorkspace(accepted) || this._queue.size === 0) return
    this._declineSurplus(Math.floor(this._requestRateLimit.available(this._nowMs)), 'rate-limited')
    this._declineSurplus(MAX_QUEUED_CALLS, 'displaced')
    this._declineSurplusLate()
    const canMeetObjective = (call: GateCall): boolean => this._canMeetObjective(call)
    const findLast = (): GateCall | undefined => this._queue.last(canMeetObjective, call => !call.nested)
    for (let last = findLast(); last !== undefined && last !== accepted && !this._mayStay(last); last = findLast()) {
      this._queue.remove(last.id)
      this._decline(last, 'displaced')
    }
  }

  private _start (call: GateCall): void {
    this._requestRateLimit.take(this._nowMs)
    const coldTicket = this._coldLimit.take(this._nowMs)
    this._running.set(call.id, call)
    const slowness = this._vmSlowness.isKnown(this._nowMs) ? this._vmSlowness.current(this._nowMs) : undefined
    this._runStarts.set(call.id, { running: this._running.size, slowness, coldTicket })
    this._actions.push({ type: 'start', call })
  }

  private _decline (call: GateCall, reason: DeclineReason): void {
    const retryAfterMs = Math.max(this._closedForMs(this._nowMs), this._expectedWaitMs(call))
    this._actions.push({ type: 'decline', call, reason, retryAfterMs })
  }

  /** Time until the limits allow a call beside those that are queued; 0 when they do. */
  private _closedForMs (nowMs: number): number {
    const count = this._queue.size + 1
    return Math.max(this._requestRateLimit.waitMs(count, nowMs), this._coldLimit.closedForMs(count, nowMs))
  }

  /** Records a run's time, normalised to a slowness of 1 so that it reflects the work and the instance, not the VM. */
  private _recordWorkTime (call: GateCall, workMs: number): void {
    const runStart = this._runStarts.get(call.id)
    if (runStart?.slowness === undefined) return
    const normalizedMs = workMs / runStart.slowness
    this._limit.recordRun(runStart.running, call.work, normalizedMs, this._nowMs)
    this._workTimes.recordRun(call.work, normalizedMs)
  }

  private _isBelowLimit (call: GateCall): boolean {
    return this._running.size < this._limitFor(call)
  }

  /** Counts queued calls that go first as running: those that wait for the VM to recover will need their slots. */
  private _hasFreeSlotFor (call: GateCall): boolean {
    return this._running.size + this._countAhead(call) < this._limitFor(call)
  }

  private _limitFor (call: GateCall): number {
    const limit = this._limit.current(this._nowMs)
    if (call.isHedge) return limit - Math.ceil(limit * HEDGE_RESERVE_SHARE)
    if (call.nested || this._canMeetObjective(call)) return limit
    return Math.max(1, limit - Math.ceil(limit * LATE_RESERVE_SHARE))
  }

  /** By how much the call takes longer when it starts now; undefined when that needs a measurement. */
  private _extraRunMs (call: GateCall): number | undefined {
    return this._vmSlowness.extraRunMs(this._workTimes.expectedMs(call.work), this._nowMs)
  }

  /** True for a hedge, and for a call that is not nested when moving it costs less than waiting for a slow VM. */
  private _shouldLeaveSlowVm (call: GateCall): boolean {
    return call.isHedge || (!call.nested && isWorthMoving(call, SLOWNESS_RECOVERY_MS))
  }

  /** Expected time from the start of a call to its end, in milliseconds, with the transfer of its body. */
  private _expectedStayMs (call: GateCall): number {
    return this._workTimes.expectedMs(call.work) + (call.transferMs ?? 0)
  }

  private _canMeetObjective (call: GateCall): boolean {
    return this._nowMs + this._expectedStayMs(call) <= call.objectiveAtMs
  }

  /**
   * Latest start, in monotonic milliseconds, at which the call is expected to finish before its deadline. A call that
   * starts later would time out while it runs, and take a slot for nothing.
   */
  private _latestStartMs (call: GateCall): number {
    return call.deadlineAtMs - this._expectedStayMs(call)
  }

  /** A call may queue when it can meet its objective, or its deadline while few other late calls are queued. */
  private _mayQueue (call: GateCall): boolean {
    if (this._queue.size >= MAX_QUEUED_CALLS && !this._mayDisplace(call)) return false
    const outlook = this._outlook(call, this._expectedWaitMs(call))
    if (outlook !== 'late') return outlook === 'inTime'
    const lateLimit = this._lateQueueLimit.current
    if (this._canMeetObjective(call) && this._remainingShare(call) < 1) {
      // Where others overtake, the calls before this one are not late yet either, but will be.
      const ahead = Math.max(0, this._countAhead(call) - lateLimit)
      if (this._outlook(call, this._waitMs(call, ahead)) !== 'inTime') return false
    }
    const isLate = (queued: GateCall): boolean => !this._canMeetObjective(queued)
    return this._queue.count(isLate) < lateLimit || this._mayDisplace(call, isLate)
  }

  /**
   * The same for the last queued call after another one has gone before it. Calls still to come do not count here, so
   * that a call isn't accepted and declined by turns.
   */
  private _mayStay (last: GateCall): boolean {
    const outlook = this._outlook(last, this._queue.size * this._startIntervalMs)
    if (outlook !== 'late') return outlook === 'inTime'
    const isOtherLate = (queued: GateCall): boolean => queued !== last && !this._canMeetObjective(queued)
    return this._queue.count(isOtherLate) < this._lateQueueLimit.current
  }

  /** Whether a call that starts after a wait is expected to meet its objective, only its deadline, or neither. */
  private _outlook (call: GateCall, waitMs: number): 'inTime' | 'late' | 'tooLate' {
    const startAtMs = this._nowMs + waitMs
    if (startAtMs > this._latestStartMs(call)) return 'tooLate'
    return startAtMs + this._expectedStayMs(call) <= call.objectiveAtMs ? 'inTime' : 'late'
  }

  /** Number of queued calls that go before one. */
  private _countAhead (call: GateCall): number {
    return this._queue.countAhead(call, queued => this._canMeetObjective(queued))
  }

  /** Expected time until a call that is queued now starts, in milliseconds. */
  private _expectedWaitMs (call: GateCall): number {
    return this._waitMs(call, this._countAhead(call))
  }

  /** Expected time until a call starts that so many queued ones go before, in milliseconds. */
  private _waitMs (call: GateCall, ahead: number): number {
    return (ahead + 1) * this._startIntervalMs / this._remainingShare(call)
  }

  /**
   * Share of the starts that a call and those ahead of it get, while the rest goes to calls that overtake it. It counts
   * only while calls compete for the instance, and not for nested calls: refusing one wastes the work of its request.
   */
  private _remainingShare (call: GateCall): number {
    if (call.nested || !this._queue.ordersByShare) return 1
    const overtakingRate = this._overtakingRate(call)
    return Math.max(MIN_REMAINING_SHARE, 1 - overtakingRate * this._startIntervalMs)
  }

  private _overtakingRate (call: GateCall): number {
    const meetsObjective = this._canMeetObjective(call)
    return this._acceptedCalls.overtakingRate(call, meetsObjective, this._queue.ordersByShare, this._nowMs)
  }

  /** Expected time between the starts of two calls while the queue is not empty, in milliseconds. */
  private get _startIntervalMs (): number {
    return (this._workTimes.overallMs + this._transferMs) / Math.max(1, this._limit.current(this._nowMs))
  }

  private _wakeAt (atMs: number): void {
    if (atMs >= this._wakeAtMs) return
    this._wakeAtMs = atMs
    this._actions.push({ type: 'wake', atMs })
  }
}

/** Conditions under which a call started. */
interface RunStart {
  /** Running calls, this one included. */
  readonly running: number
  /** Slowness of the VM; undefined when it was not known. */
  readonly slowness: number | undefined
  readonly coldTicket: ColdTicket
}

function isWorthMoving (call: GateCall, stayMs: number): boolean {
  return call.moveMs !== undefined && stayMs > call.moveMs
}
