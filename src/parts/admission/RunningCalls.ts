import type { CallId } from '../Types.js'
import type { QueueClass } from './Types.js'

/** A call that holds a slot. */
export interface RunningCall {
  readonly queueClass: QueueClass
  readonly startedAtMs: number
}

/** Calls that hold a slot of the upstream, with their number and mean age kept up to date in constant time. */
export class RunningCalls {
  private readonly _calls = new Map<CallId, RunningCall>()
  private _downloads = 0
  private _shortStartSumMs = 0

  /** Slots in use. */
  public get size (): number {
    return this._calls.size
  }

  /** Slots in use by downloads. */
  public get downloads (): number {
    return this._downloads
  }

  /**
   * Returns a running call, or undefined when the call holds no slot.
   * @param call Id of the call.
   */
  public get (call: CallId): RunningCall | undefined {
    return this._calls.get(call)
  }

  /**
   * Adds a call that starts now.
   * @param call Id of the call.
   * @param queueClass Class of the call.
   * @param nowMs Monotonic time in milliseconds.
   */
  public add (call: CallId, queueClass: QueueClass, nowMs: number): void {
    this._calls.set(call, { queueClass, startedAtMs: nowMs })
    if (queueClass === 'download') {
      this._downloads++
    } else {
      this._shortStartSumMs += nowMs
    }
  }

  /**
   * Removes a call that has finished and frees its slot.
   * @param call Id of the call; an unknown id is ignored.
   */
  public remove (call: CallId): void {
    const running = this._calls.get(call)
    if (running === undefined) {
      return
    }
    this._calls.delete(call)
    if (running.queueClass === 'download') {
      this._downloads--
    } else {
      this._shortStartSumMs -= running.startedAtMs
    }
  }

  /**
   * Returns how long the running short calls have run so far on average, or 0 when there are none.
   * @param nowMs Monotonic time in milliseconds.
   */
  public meanShortAgeMs (nowMs: number): number {
    const count = this._calls.size - this._downloads
    return count === 0 ? 0 : nowMs - this._shortStartSumMs / count
  }
}
