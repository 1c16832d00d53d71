import type { CallId, Part } from '../Types.js'
import {
  LATE_LINE_SHARE, LATE_RESERVE_SHARE, MAX_WAITING,
  SLOWNESS_STEPS, SLOWNESS_VALID_MS, SLOWNESS_WEIGHT, SLOW_FACTOR, SPARE_RESERVE_SHARE
} from './Constants.js'
import type { GateAction, GateCall, GateEvent, GateLoad, TurnAwayReason } from './Types.js'
import { SlotLimit } from './SlotLimit.js'
import { WaitingLine } from './WaitingLine.js'
import { WorkEstimate } from './WorkEstimate.js'

type Handlers = {
  readonly [Type in GateEvent['type']]: (event: Extract<GateEvent, { type: Type }>) => void
}

/**
 * Decides at the upstream's node, the only way in to its instance, which calls run, wait or are turned away. It
 * answers load that shifts within milliseconds: the choice of an instance was made on older evidence, so a call
 * that may go elsewhere is handed back at once when waiting here, or running on a machine that is slow at the moment,
 * costs more than the move. Calls that can't be served before their deadline are turned away as soon as that is known.
 *
 * Memory: the calls that run, at most the slots, and `MAX_WAITING` that wait.
 */
export class RunGate implements Part<GateEvent, GateAction> {
  private readonly _line = new WaitingLine()
  private readonly _running = new Map<CallId, GateCall>()
  private readonly _limit = new SlotLimit()
  /** Calls that ran, each one included, when a call started. */
  private readonly _runningAtStart = new Map<CallId, number>()
  private readonly _estimate = new WorkEstimate()
  private _actions: GateAction[] = []
  private _nowMs = 0
  private _slots = 0
  private _slowness = 1
  private _slownessAtMs = -Infinity
  private _usualSlowness = 1
  private _wakeAtMs = Infinity

  private readonly _handlers: Handlers = {
    offer: event => this._offer(event.call),
    finished: event => this._finish(event.id, event.workMs),
    cancelled: event => this._cancel(event.id),
    slots: event => this._setSlots(event.slots),
    slowness: event => {
      this._slowness = event.slowness
      this._slownessAtMs = this._nowMs
      this._usualSlowness += SLOWNESS_WEIGHT * (event.slowness - this._usualSlowness)
    },
    tick: () => this._tick()
  }

  /** @inheritdoc */
  public step (event: GateEvent, nowMs: number): GateAction[] {
    this._nowMs = nowMs
    this._actions = []
    const handler = this._handlers[event.type] as (event: GateEvent) => void
    handler(event)
    return this._actions
  }

  /** Load to attach to answers. */
  public load (nowMs: number): GateLoad {
    return {
      running: this._running.size,
      queued: this._line.size,
      limit: this._limit.current(nowMs),
      slowness: Math.round(SLOWNESS_STEPS * this._slownessNow(nowMs)) / SLOWNESS_STEPS,
      workMs: Math.round(this._estimate.overallMs / this._usualSlowness)
    }
  }

  private _offer (call: GateCall): void {
    if (this._slots === 0) return this._turnAway(call, 'no-slots')
    if (call.spare) return this._hasSpareRoom() ? this._start(call) : this._turnAway(call, 'busy')
    if (this._hasRoom(call)) {
      if (this._isWorthMoving(call, this._slowLossMs()) && !call.nested) return this._turnAway(call, 'slow')
      return this._start(call)
    }
    const inTime = this._nowMs + this._waitMs(call) + this._estimate.of(call.work) <= call.objectiveAtMs
    if (this._isWorthMoving(call, inTime ? this._waitMs(call) : Infinity)) return this._turnAway(call, 'busy')
    if (!this._mayWait(call)) return this._turnAway(call, 'too-late')
    this._line.add(call, this._nowMs)
    this._wakeAt(this._latestStartMs(call))
  }

  private _finish (id: CallId, workMs: number | undefined): void {
    const call = this._running.get(id)
    if (call === undefined) return
    this._running.delete(id)
    if (workMs !== undefined) this._learn(call, workMs)
    this._runningAtStart.delete(id)
    this._startWaiting()
  }

  private _cancel (id: CallId): void {
    if (this._line.remove(id)) return
    this._runningAtStart.delete(id)
    if (this._running.delete(id)) this._startWaiting()
  }

  private _setSlots (slots: number): void {
    this._slots = slots
    this._limit.announce(slots)
    if (slots === 0) this._line.takeAll(() => true).forEach(call => this._turnAway(call, 'no-slots'))
    else this._startWaiting()
  }

  private _tick (): void {
    if (this._nowMs >= this._wakeAtMs) this._wakeAtMs = Infinity
    this._dropOverdue()
    this._startWaiting()
    if (this._line.size > 0) this._wakeAt(this._line.earliest(call => this._latestStartMs(call)))
  }

  private _startWaiting (): void {
    if (this._line.size === 0) return
    this._dropOverdue()
    let next = this._takeNext()
    while (next !== undefined) {
      this._start(next)
      next = this._takeNext()
    }
  }

  private _takeNext (): GateCall | undefined {
    return this._line.takeNext(call => this._isReachable(call), call => this._hasRoom(call))
  }

  /** A call that could not finish in time any more would only take a slot from one that can. */
  private _dropOverdue (): void {
    for (const call of this._line.takeAll(call => this._latestStartMs(call) <= this._nowMs)) {
      this._turnAway(call, 'too-late')
    }
  }

  private _start (call: GateCall): void {
    this._running.set(call.id, call)
    this._runningAtStart.set(call.id, this._running.size)
    this._actions.push({ type: 'start', call })
  }

  private _turnAway (call: GateCall, reason: TurnAwayReason): void {
    this._actions.push({ type: 'turnAway', call, reason, retryAfterMs: this._waitMs(call) })
  }

  private _learn (call: GateCall, workMs: number): void {
    const running = this._runningAtStart.get(call.id) ?? 1
    this._limit.learn(running, call.work, workMs, this._nowMs)
    this._estimate.learn(call.work, workMs)
  }

  private _hasRoom (call: GateCall): boolean {
    return this._running.size < this._limitOf(call)
  }

  private _hasSpareRoom (): boolean {
    const limit = this._limit.current(this._nowMs)
    return this._slowLossMs() === 0 && this._running.size < limit - Math.ceil(limit * SPARE_RESERVE_SHARE)
  }

  private _limitOf (call: GateCall): number {
    const limit = this._limit.current(this._nowMs)
    if (call.nested || this._isReachable(call)) return limit
    return Math.max(1, limit - Math.ceil(limit * LATE_RESERVE_SHARE))
  }

  private _slownessNow (nowMs: number): number {
    return nowMs - this._slownessAtMs < SLOWNESS_VALID_MS ? this._slowness : this._usualSlowness
  }

  private _isWorthMoving (call: GateCall, lossMs: number): boolean {
    return call.moveMs !== undefined && lossMs > call.moveMs
  }

  /** Time that a run loses to the present slowness of the VM, which lasts about as long as a figure is valid. */
  private _slowLossMs (): number {
    const isSlow = this._nowMs - this._slownessAtMs < SLOWNESS_VALID_MS && this._slowness >= SLOW_FACTOR
    return isSlow ? SLOWNESS_VALID_MS * (1 - 1 / this._slowness) : 0
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
    return this._line.count(waiting => !this._isReachable(waiting)) < this._slots * LATE_LINE_SHARE
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
