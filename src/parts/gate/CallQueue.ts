import type { CallId } from '../Types.js'
import type { GateCall } from './Types.js'

/** A call in the queue, with the time when it joined. */
export interface QueuedCall {
  readonly call: GateCall
  readonly arrivedAtMs: number
}

/**
 * Priority queue of the calls that wait for a slot.
 *
 * Nested calls go first, since about half of the work of their request is done already. Among them, the rank of the
 * request decides, which is the same at all gates: a request that makes several nested calls needs all of them, and
 * when there are too few slots, some requests should get every call rather than all requests a part of theirs. Next
 * come calls that can still meet their objective, then calls past it, both by priority and age.
 *
 * Memory: one entry for each queued call; the caller bounds their number.
 */
export class CallQueue {
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
      if (!precedes(call, meetsObjective, queued.call, canMeetObjective(queued.call))) ahead++
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
      if (best !== undefined && !precedes(call, meetsObjective, best, bestMeetsObjective)) continue
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
   * Removes and returns the calls that joined last.
   * @param count Most calls to remove.
   * @param predicate Returns whether a call may be removed.
   */
  public takeLast (count: number, predicate: (call: GateCall) => boolean): GateCall[] {
    const removed = [...this._calls.values()].map(queued => queued.call).filter(predicate).slice(-count)
    removed.forEach(call => this._calls.delete(call.id))
    return removed
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
}

/** True only when a call goes strictly before another, so that calls of the same order stay first in, first out. */
function precedes (call: GateCall, meetsObjective: boolean, other: GateCall, otherMeetsObjective: boolean): boolean {
  if (call.nested !== other.nested) return call.nested
  if (call.nested) return call.requestRank < other.requestRank
  if (meetsObjective !== otherMeetsObjective) return meetsObjective
  return call.priority < other.priority
}
