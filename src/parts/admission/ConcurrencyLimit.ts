import { SHED_LIMIT_FACTOR } from './Constants.js'

/**
 * Concurrency limit of an upstream with additive increase and multiplicative decrease (AIMD). It never exceeds the
 * announced slots, drops when the upstream sheds a call, and grows by about one after as many successful calls as it
 * allows at once.
 */
export class ConcurrencyLimit {
  private _slots: number
  private _limit: number
  private _lastDecreaseAtMs = -Infinity

  /** @param slots Announced slots; with 0 no call may run. */
  public constructor (slots: number) {
    this._slots = Math.max(0, Math.floor(slots))
    this._limit = this._slots
  }

  /** Calls that may run at once, a whole number; at least 1 unless the slots are 0. */
  public get current (): number {
    return this._slots === 0 ? 0 : Math.max(1, Math.floor(this._limit))
  }

  /**
   * Sets the announced slots. A changed number replaces the limit at once, because the upstream knows its own capacity.
   * @param slots Announced slots.
   */
  public setSlots (slots: number): void {
    const announced = Math.max(0, Math.floor(slots))
    if (announced === this._slots) {
      return
    }
    this._slots = announced
    this._limit = announced
  }

  /**
   * Raises the limit after a successful call, but only when the limit was fully used: a success below the limit is no
   * evidence that the upstream can run more calls.
   * @param running Calls that were running when the call finished, including itself.
   */
  public recordSuccess (running: number): void {
    if (running < this.current) {
      return
    }
    this._limit = Math.min(this._slots, this._limit + 1 / Math.max(1, this._limit))
  }

  /**
   * Lowers the limit after a shed call. A call that started before the last decrease is ignored, so that calls shed
   * together lower the limit only once.
   * @param running Calls that were running when the call was shed, including itself.
   * @param startedAtMs Monotonic time at which the shed call started, in milliseconds.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordShed (running: number, startedAtMs: number, nowMs: number): void {
    if (startedAtMs < this._lastDecreaseAtMs) {
      return
    }
    this._lastDecreaseAtMs = nowMs
    this._limit = Math.max(1, Math.min(this._limit, running) * SHED_LIMIT_FACTOR)
  }
}
