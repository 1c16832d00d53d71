import { CONTENTION_BACKLOG_MS, MAX_BACKLOG_MS } from './Constants.js'

/**
 * Tells whether an instance is offered more than it can serve, from the backlog that there would be if nothing were
 * refused. Refusals keep the queue short, so its length does not tell.
 *
 * Memory: two numbers.
 */
export class OfferedLoad {
  private _backlogMs = 0
  private _countedAtMs = 0

  /**
   * Records a call that was accepted, or refused and not sent to another instance.
   * @param capacityMs Time for which the call takes up the whole instance: its work time over the slots.
   * @param nowMs Monotonic time in milliseconds.
   */
  public record (capacityMs: number, nowMs: number): void {
    this._backlogMs = Math.min(MAX_BACKLOG_MS, this._current(nowMs) + capacityMs)
    this._countedAtMs = nowMs
  }

  /** Returns whether calls compete for the instance. */
  public isContended (nowMs: number): boolean {
    return this._current(nowMs) > CONTENTION_BACKLOG_MS
  }

  private _current (nowMs: number): number {
    return Math.max(0, this._backlogMs - (nowMs - this._countedAtMs))
  }
}
