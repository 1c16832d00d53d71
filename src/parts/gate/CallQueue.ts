import type { CallId } from '../Types.js'
import { compareCalls, hasWorkspace } from './CallOrder.js'
import type { GateCall } from './Types.js'

/** A call in the queue, with the time when it joined. */
export interface QueuedCall {
  readonly call: GateCall
  readonly arrivedAtMs: number
}

/**
 * Priority queue of the calls that wait for a slot, in the order of `compareCalls` and then of age.
 *
 * Memory: one entry for each queued call; the caller bounds their number.
 */
export class CallQueue {
  /** Whether the shares that workspaces have used decide. */
  public ordersByShare = false
  private readonly _calls = new Map<CallId, QueuedCall>()

  /** Number of queued calls. */
  public get size (): number {
    return this._calls.size
  }

  /**
   * Adds a call.
   * @param call The call.
   * @param nowMs Monotonic time in milliseconds.
   */
  public add (call: GateCall, nowMs: number): void {
    this._calls.set(call.id, { call, arrivedAtMs: nowMs })
  }

  /**
   * Removes a call and returns whether it was queued.
   * @param id Id of the call.
   */
  public remove (id: CallId): boolean {
    return this._calls.delete(id)
  }

  /**
   * Returns how many queued calls would start before a new one.
   * @param call The new call.
   * @param canMeetObjective Returns whether a call can still meet its objective.
   */
  public countAhead (call: GateCall, canMeetObjective: (call: GateCall) => boolean): number {
    const meetsObjective = canMeetObjective(call)
    let ahead = 0
    for (const queued of this._calls.values()) {
      if (this._compare(call, meetsObjective, queued.call, canMeetObjective(queued.call)) >= 0) ahead++
    }
    return ahead
  }

  /**
   * Counts the calls that meet a condition.
   * @param predicate Returns whether a call counts.
   */
  public count (predicate: (call: GateCall) => boolean): number {
    let count = 0
    for (const { call } of this._calls.values()) count += Number(predicate(call))
    return count
  }

  /**
   * Removes and returns the next call to start, or undefined when none may start.
   * @param canMeetObjective Returns whether a call can still meet its objective.
   * @param mayStart Returns whether a call that joined at a time may start now.
   */
  public takeNext (
    canMeetObjective: (call: GateCall) => boolean, mayStart: (call: GateCall, arrivedAtMs: number) => boolean
  ): GateCall | undefined {
    let best: GateCall | undefined
    let bestMeetsObjective = false
    for (const { call, arrivedAtMs } of this._calls.values()) {
      if (!mayStart(call, arrivedAtMs)) continue
      const meetsObjective = canMeetObjective(call)
      if (best !== undefined && this._compare(call, meetsObjective, best, bestMeetsObjective) >= 0) continue
      best = call
      bestMeetsObjective = meetsObjective
    }
    if (best !== undefined) this._calls.delete(best.id)
    return best
  }

  /**
   * Removes and returns all calls that meet a condition.
   * @param predicate Returns whether a call is removed.
   */
  public takeAll (predicate: (call: GateCall) => boolean): GateCall[] {
    const removed = [...this._calls.values()].map(queued => queued.call).filter(predicate)
    removed.forEach(call => this._calls.delete(call.id))
    return removed
  }

  /**
   * Removes and returns the calls that are last in the order; where no workspace is known, those that joined last.
   * @param count Most calls to remove.
   * @param predicate Returns whether a call may be removed.
   * @param canMeetObjective Returns whether a call can still meet its objective.
   */
  public takeLast (
    count: number, predicate: (call: GateCall) => boolean, canMeetObjective: (call: GateCall) => boolean
  ): GateCall[] {
    const candidates = [...this._calls.values()].map(queued => queued.call).filter(predicate)
    if (candidates.some(hasWorkspace)) {
      candidates.sort((a, b) => this._compare(a, canMeetObjective(a), b, canMeetObjective(b)))
    }
    const removed = candidates.slice(-count)
    removed.forEach(call => this._calls.delete(call.id))
    return removed
  }

  /**
   * Returns the last call in the order, the newest of those with the same place; undefined when none meets the
   * condition.
   * @param canMeetObjective Returns whether a call can still meet its objective.
   * @param predicate Returns whether a call counts.
   */
  public last (
    canMeetObjective: (call: GateCall) => boolean, predicate: (call: GateCall) => boolean
  ): GateCall | undefined {
    let last: GateCall | undefined
    let lastMeetsObjective = false
    for (const { call } of this._calls.values()) {
      if (!predicate(call)) continue
      const meetsObjective = canMeetObjective(call)
      if (last !== undefined && this._compare(call, meetsObjective, last, lastMeetsObjective) < 0) continue
      last = call
      lastMeetsObjective = meetsObjective
    }
    return last
  }

  /**
   * Returns the earliest of a time over all queued calls; infinite when the queue is empty.
   * @param timeOf Returns the time of one call.
   */
  public earliest (timeOf: (call: GateCall) => number): number {
    let earliest = Infinity
    for (const { call } of this._calls.values()) earliest = Math.min(earliest, timeOf(call))
    return earliest
  }

  private _compare (call: GateCall, meetsObjective: boolean, other: GateCall, otherMeetsObjective: boolean): number {
    return compareCalls(call, meetsObjective, other, otherMeetsObjective, this.ordersByShare)
  }
}
