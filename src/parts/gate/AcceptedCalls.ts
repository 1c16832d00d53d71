import { compareCalls } from './CallOrder.js'
import { ACCEPTED_CALLS_KEPT } from './Constants.js'
import type { GateCall } from './Types.js'

/** A call that was started or queued. */
interface AcceptedCall {
  readonly call: GateCall
  readonly meetsObjective: boolean
  readonly atMs: number
}

/**
 * The calls that a gate has accepted lately. From them it estimates how many calls will arrive and go before one that
 * waits: the queue alone does not tell that, and a call that others keep overtaking waits in vain.
 *
 * Memory: `ACCEPTED_CALLS_KEPT` calls.
 */
export class AcceptedCalls {
  private readonly _calls: AcceptedCall[] = []
  private _next = 0

  /**
   * Records an accepted call.
   * @param meetsObjective Whether it could meet its objective.
   * @param nowMs Monotonic time in milliseconds.
   */
  public record (call: GateCall, meetsObjective: boolean, nowMs: number): void {
    this._calls[this._next] = { call, meetsObjective, atMs: nowMs }
    this._next = (this._next + 1) % ACCEPTED_CALLS_KEPT
  }

  /**
   * Returns the rate at which calls arrive that go before a call, in calls per millisecond; 0 until enough are known.
   * @param meetsObjective Whether the call can meet its objective.
   * @param byShare See `compareCalls`.
   */
  public overtakingRate (call: GateCall, meetsObjective: boolean, byShare: boolean, nowMs: number): number {
    const oldest = this._calls[this._next]
    if (this._calls.length < ACCEPTED_CALLS_KEPT || oldest === undefined || nowMs <= oldest.atMs) return 0
    let overtaking = 0
    for (const accepted of this._calls) {
      overtaking += Number(compareCalls(accepted.call, accepted.meetsObjective, call, meetsObjective, byShare) < 0)
    }
    return overtaking / (nowMs - oldest.atMs)
  }
}
