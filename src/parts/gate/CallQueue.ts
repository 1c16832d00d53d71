import type { CallId } from '../Types.js'
import type { GateCall } from './Types.js'

/** A call in the line. */
export interface QueuedCall {
  readonly call: GateCall
  readonly arrivedAtMs: number
}

/**
 * Calls that wait for a slot. Calls of instances in the middle of a run go first: half of their work is paid for. Among
 * these, the same requests go first at all gates: one that makes several calls needs all of them, and when there is not
 * room for all, some requests should get every call rather than all requests a part of theirs.
 * Then those that can still meet their objective, by priority and age; a call past its objective fills what is left.
 *
 * Memory: one entry for each call.
 */
export class CallQueue {
  private readonly _calls = new Map<CallId, QueuedCall>()

  /** Calls that wait. */
  public get size (): number {
    return this._calls.size
  }

  /**
   * Adds a call at its place.
   * @param call The call.
   * @param nowMs Monotonic time in milliseconds.
   */
  public add (call: GateCall, nowMs: number): void {
    this._calls.set(call.id, { call, arrivedAtMs: nowMs })
  }

  /**
   * Takes a call out.
   * @param id The call.
   */
  public remove (id: CallId): boolean {
    return this._calls.delete(id)
  }

  /**
   * Returns how many calls would start before a new one.
   * @param call The new call.
   * @param isReachable Tells whether a call can still meet its objective.
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
   * Counts calls.
   * @param condition Tells which count.
   */
  public count (predicate: (call: GateCall) => boolean): number {
    let count = 0
    for (const { call } of this._calls.values()) count += Number(predicate(call))
    return count
  }

  /**
   * Takes the next call to start.
   * @param isReachable Tells whether a call can still meet its objective.
   * @param mayStart Tells whether a call that has waited since a time may start now.
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
   * Takes all calls out that meet a condition.
   * @param condition Tells whether a call leaves.
   */
  public takeAll (predicate: (call: GateCall) => boolean): GateCall[] {
    const removed = [...this._calls.values()].map(queued => queued.call).filter(predicate)
    removed.forEach(call => this._calls.delete(call.id))
    return removed
  }

  /**
   * Takes the calls out that joined last.
   * @param count How many at most.
   * @param condition Tells which calls may leave.
   */
  public takeLast (count: number, predicate: (call: GateCall) => boolean): GateCall[] {
    const removed = [...this._calls.values()].map(queued => queued.call).filter(predicate).slice(-count)
    removed.forEach(call => this._calls.delete(call.id))
    return removed
  }

  /**
   * Returns the earliest of some time over all calls; infinite when none waits.
   * @param timeOf Returns the time of one call.
   */
  public earliest (timeOf: (call: GateCall) => number): number {
    let earliest = Infinity
    for (const { call } of this._calls.values()) earliest = Math.min(earliest, timeOf(call))
    return earliest
  }
}

/** A call goes before another only by rank: among equals the one that came first stays ahead. */
function precedes (call: GateCall, meetsObjective: boolean, other: GateCall, otherMeetsObjective: boolean): boolean {
  if (call.nested !== other.nested) return call.nested
  if (call.nested) return call.requestRank < other.requestRank
  if (meetsObjective !== otherMeetsObjective) return meetsObjective
  return call.priority < other.priority
}
