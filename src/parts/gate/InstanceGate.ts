import type { CallId, Part } from '../Types.js'
import {
  LATE_RESERVE_SHARE, MAX_WAITING, PACE_PATIENCE_MS, PACE_STAY_MS, SLOWNESS_STEPS, SPARE_RESERVE_SHARE
} from './Constants.js'
import type { GateAction, GateCall, GateEvent, GateLoad, TurnAwayReason } from './Types.js'
import { LateQueueLimit } from './LateQueueLimit.js'
import { VmSlowness } from './VmSlowness.js'
import { SlotLimit } from './SlotLimit.js'
import { CallQueue } from './CallQueue.js'
import { WorkTimeEstimate } from './WorkTimeEstimate.js'

type Handlers = {
  readonly [Type in GateEvent['type']]: (event: Extract<GateEvent, { type: Type }>) => void
}

/**
 * Decides at the upstream's node, the only way in to its instance, which calls run, wait or are turned away. It
 * answers load that shifts within milliseconds: the choice of an instance was made on older evidence, so a call
 * that may go elsewhere is handed back at once when waiting here, or running on a machine that is slow at the moment,
 * costs more than the move; one that stays is held until the machine is quick again. Calls that can't be served before
 * their deadline are turned away as soon as that is known.
 *
 * Memory: the calls that run, at most the slots, and `MAX_WAITING` that wait.
 */
export class InstanceGate implements Part<GateEvent, GateAction> {
  private readonly _line = new CallQueue()
  private readonly _running = new Map<CallId, GateCall>()
  private readonly _limit = new SlotLimit()
  private readonly _starts = new Map<CallId, Start>()
  private readonly _estimate = new WorkTimeEstimate()
  private readonly _pace = new VmSlowness()
  private readonly _lateRoom = new LateQueueLimit()
  private _actions: GateAction[] = []
  private _nowMs = 0
  private _slots = 0
  private _wakeAtMs = Infinity

  private readonly _handlers: Handlers = {
    offer: event => this._offer(event.call),
    finished: event => this._finish(event.id, event.workMs),
    cancelled: event => this._cancel(event.id),
    slots: event => this._setSlots(event.slots),
    slowness: event => {
      this._pace.learn(event.slowness, this._nowMs)
      this._handlePace()
    },
    measured: event => {
      this._pace.measured(event.slowness, this._nowMs)
      this._handlePace()
    },
    tick: () => this._tick()
  }

  /** @inheritdoc */
  public step (event: GateEvent, nowMs: number): GateAction[] {
    this._nowMs = nowMs
    this._actions = []
    const handler = this._handlers[event.type] as (event: GateEvent) => void
    handler(event)
    this._measureIfNeeded()
    return this._actions
  }

  /** Load to attach to answers. */
  public load (nowMs: number): GateLoad {
    return {
      running: this._running.size,
      queued: this._line.size,
      limit: this._limit.current(nowMs),
      slowness: Math.round(SLOWNESS_STEPS * this._pace.slowness(nowMs)) / SLOWNESS_STEPS,
      workMs: Math.round(this._estimate.overallMs)
    }
  }

  private _offer (call: GateCall): void {
    if (this._slots === 0) return this._turnAway(call, 'no-slots')
    if (this._keepsRoomFor(call)) return this._offerRoom(call)
    if (call.spare) return this._turnAway(call, 'busy')
    const inTime = this._nowMs + this._waitMs(call) + this._estimate.of(call.work) <= call.objectiveAtMs
    if (isWorthMoving(call, inTime ? this._waitMs(call) : Infinity)) return this._turnAway(call, 'busy')
    if (!this._mayWait(call)) return this._turnAway(call, 'too-late')
    this._hold(call)
  }

  private _offerRoom (call: GateCall): void {
    const lossMs = this._lossMs(call)
    if (lossMs !== undefined && lossMs <= PACE_STAY_MS) return this._start(call)
    if (lossMs !== undefined && this._leavesSlow(call)) return this._turnAway(call, 'slow')
    if (this._latestStartMs(call) <= this._nowMs) return this._turnAway(call, 'too-late')
    this._hold(call)
  }

  private _hold (call: GateCall): void {
    this._line.add(call, this._nowMs)
    this._wakeAt(this._latestStartMs(call))
  }

  private _finish (id: CallId, workMs: number | undefined): void {
    const call = this._running.get(id)
    if (call === undefined) return
    this._running.delete(id)
    if (workMs !== undefined) this._learn(call, workMs)
    this._starts.delete(id)
    this._startWaiting()
  }

  private _cancel (id: CallId): void {
    if (this._line.remove(id)) return
    this._starts.delete(id)
    if (this._running.delete(id)) this._startWaiting()
  }

  private _setSlots (slots: number): void {
    this._slots = slots
    this._limit.announce(slots)
    if (slots === 0) this._line.takeAll(() => true).forEach(call => this._turnAway(call, 'no-slots'))
    else this._startWaiting()
  }

  private _tick (): void {
    // A timer may fire a little early; what is still due is asked for again.
    this._wakeAtMs = Infinity
    this._dropOverdue()
    this._startWaiting()
    if (this._line.size > 0) this._wakeAt(this._line.earliest(call => this._latestStartMs(call)))
  }

  private _handlePace (): void {
    if (this._line.size === 0) return
    const leaving = this._line.takeAll(call => {
      const lossMs = this._hasRoom(call) ? this._lossMs(call) : undefined
      return lossMs !== undefined && lossMs > PACE_STAY_MS && this._leavesSlow(call)
    })
    leaving.forEach(call => this._turnAway(call, 'slow'))
    this._startWaiting()
  }

  private _startWaiting (): void {
    if (this._line.size === 0) return
    this._dropOverdue()
    let next = this._takeNext()
    while (next !== undefined) {
      if (!this._isReachable(next)) this._lateRoom.served(this._slots)
      this._start(next)
      next = this._takeNext()
    }
    if (this._line.size === 0) this._lateRoom.idle()
  }

  private _takeNext (): GateCall | undefined {
    return this._line.takeNext(
      call => this._isReachable(call),
      (call, arrivedAtMs) => this._hasRoom(call) && this._isPaceGood(call, arrivedAtMs)
    )
  }

  private _isPaceGood (call: GateCall, arrivedAtMs: number): boolean {
    if (this._nowMs - arrivedAtMs >= PACE_PATIENCE_MS) return true
    const lossMs = this._lossMs(call)
    return lossMs !== undefined && lossMs <= PACE_STAY_MS
  }

  /** Asks for the next figure while a call has room and waits for nothing else. */
  private _measureIfNeeded (): void {
    if (this._line.size === 0 || this._line.count(call => this._hasRoom(call)) === 0) return
    const dueMs = this._pace.nextMeasureMs(this._nowMs)
    if (dueMs === undefined) return
    if (dueMs > this._nowMs) return this._wakeAt(dueMs)
    this._pace.beginMeasuring()
    this._actions.push({ type: 'measure' })
  }

  /** A call that could not finish in time any more would only take a slot from one that can. */
  private _dropOverdue (): void {
    for (const call of this._line.takeAll(call => this._latestStartMs(call) <= this._nowMs)) {
      if (!this._isReachable(call)) this._lateRoom.starved()
      this._turnAway(call, 'too-late')
    }
    this._dropLate()
  }

  /** Calls that became late while they waited leave as well, the newest first, when too many of them wait. */
  private _dropLate (): void {
    const isLate = (call: GateCall): boolean => !call.nested && !this._isReachable(call)
    const surplus = this._line.count(isLate) - this._lateRoom.size
    if (surplus <= 0) return
    for (const call of this._line.takeLast(surplus, isLate)) this._turnAway(call, 'too-late')
  }

  private _start (call: GateCall): void {
    this._running.set(call.id, call)
    const slowness = this._pace.isKnown(this._nowMs) ? this._pace.slowness(this._nowMs) : undefined
    this._starts.set(call.id, { running: this._running.size, slowness })
    this._actions.push({ type: 'start', call })
  }

  private _turnAway (call: GateCall, reason: TurnAwayReason): void {
    this._actions.push({ type: 'turnAway', call, reason, retryAfterMs: this._waitMs(call) })
  }

  /** Times are learned at the usual pace, so that they tell about the work and the instance. */
  private _learn (call: GateCall, workMs: number): void {
    const start = this._starts.get(call.id)
    if (start?.slowness === undefined) return
    const usualMs = workMs / start.slowness
    this._limit.learn(start.running, call.work, usualMs, this._nowMs)
    this._estimate.learn(call.work, usualMs)
  }

  private _hasRoom (call: GateCall): boolean {
    return this._running.size < this._limitOf(call)
  }

  /** Calls that are held for a better pace will need their room. */
  private _keepsRoomFor (call: GateCall): boolean {
    const ahead = this._line.countAhead(call, waiting => this._isReachable(waiting))
    return this._running.size + ahead < this._limitOf(call)
  }

  private _limitOf (call: GateCall): number {
    const limit = this._limit.current(this._nowMs)
    if (call.spare) return limit - Math.ceil(limit * SPARE_RESERVE_SHARE)
    if (call.nested || this._isReachable(call)) return limit
    return Math.max(1, limit - Math.ceil(limit * LATE_RESERVE_SHARE))
  }

  /** What the call loses when it starts now; undefined when a figure is needed to tell. */
  private _lossMs (call: GateCall): number | undefined {
    return this._pace.lossMs(this._estimate.of(call.work), this._nowMs)
  }

  /** A call leaves a VM that is slow when the move costs less than the wait for a better pace. */
  private _leavesSlow (call: GateCall): boolean {
    return call.spare || (!call.nested && isWorthMoving(call, PACE_STAY_MS))
  }

  private _isReachable (call: GateCall): boolean {
    return this._nowMs + this._estimate.of(call.work) <= call.objectiveAtMs
  }

  /** A call that starts later would be given up in the middle of its run, and only take a slot from others. */
  private _latestStartMs (call: GateCall): number {
    return call.deadlineAtMs - this._estimate.of(call.work)
  }

  /** A call waits while it can meet its objective, or at least its deadline and not many others that are late wait. */
  private _mayWait (call: GateCall): boolean {
    const startAtMs = this._nowMs + this._waitMs(call)
    if (startAtMs > this._latestStartMs(call) || this._line.size >= MAX_WAITING) return false
    if (startAtMs + this._estimate.of(call.work) <= call.objectiveAtMs) return true
    return this._line.count(waiting => !this._isReachable(waiting)) < this._lateRoom.size
  }

  /** Expected time until a call that joins the line now starts. */
  private _waitMs (call: GateCall): number {
    const ahead = this._line.countAhead(call, waiting => this._isReachable(waiting))
    return (ahead + 1) * this._estimate.overallMs / Math.max(1, this._limit.current(this._nowMs))
  }

  private _wakeAt (atMs: number): void {
    if (atMs >= this._wakeAtMs) return
    this._wakeAtMs = atMs
    this._actions.push({ type: 'wake', atMs })
  }
}

/** What a call's start is remembered for. */
interface Start {
  /** Calls that ran, this one included. */
  readonly running: number
  /** Pace of the VM; undefined when it was not known. */
  readonly slowness: number | undefined
}

function isWorthMoving (call: GateCall, lossMs: number): boolean {
  return call.moveMs !== undefined && lossMs > call.moveMs
}
