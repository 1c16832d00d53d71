import type { CallId } from '../Types.js'
import type { Lane } from './Types.js'

/** A call that waits for a slot. */
export interface WaitingCall {
  readonly call: CallId
  readonly lane: Lane
  readonly deadlineAtMs: number
  readonly arrivedAtMs: number
  /** When it is refused if it has not started. */
  readonly refuseAtMs: number
}

const LANES: readonly Lane[] = ['short', 'download']

/** Calls that wait for a slot, in order of arrival within their lane. */
export class WaitingCalls {
  private readonly _lanes: { readonly [L in Lane]: WaitingCall[] } = { short: [], download: [] }

  /** Calls that wait, over all lanes. */
  public get size (): number {
    return this._lanes.short.length + this._lanes.download.length
  }

  /** @param lane Lane to count. */
  public sizeOf (lane: Lane): number {
    return this._lanes[lane].length
  }

  /** @param lane Lane whose longest waiting call is returned. */
  public first (lane: Lane): WaitingCall | undefined {
    return this._lanes[lane][0]
  }

  /** @param waiting Call that joins the end of its lane. */
  public add (waiting: WaitingCall): void {
    this._lanes[waiting.lane].push(waiting)
  }

  /** @param lane Lane whose longest waiting call is taken out. */
  public takeFirst (lane: Lane): WaitingCall | undefined {
    return this._lanes[lane].shift()
  }

  /**
   * Takes one call out; returns whether it waited.
   * @param call Number of the call.
   */
  public remove (call: CallId): boolean {
    for (const lane of LANES) {
      const index = this._lanes[lane].findIndex(waiting => waiting.call === call)
      if (index >= 0) {
        this._lanes[lane].splice(index, 1)
        return true
      }
    }
    return false
  }

  /**
   * Takes out the calls that are to be refused by now.
   * @param nowMs Monotonic time; Infinity takes all.
   */
  public takeOverdue (nowMs: number): WaitingCall[] {
    const overdue: WaitingCall[] = []
    for (const lane of LANES) {
      const waiting = this._lanes[lane]
      for (let index = 0; index < waiting.length;) {
        if ((waiting[index] as WaitingCall).refuseAtMs <= nowMs) {
          overdue.push(...waiting.splice(index, 1))
        } else {
          index++
        }
      }
    }
    return overdue
  }

  /** Earliest time at which a call is to be refused, Infinity when none waits. */
  public earliestRefusalMs (): number {
    let atMs = Infinity
    for (const lane of LANES) {
      for (const waiting of this._lanes[lane]) {
        atMs = Math.min(atMs, waiting.refuseAtMs)
      }
    }
    return atMs
  }
}
