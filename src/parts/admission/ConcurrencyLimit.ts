import { SHED_LIMIT_FACTOR } from './Constants.js'

/**
 * Number of calls that an upstream may run at once: never above the announced slots, lowered when the upstream sheds
 * and raised again by one for each limit's worth of calls that ended well.
 */
export class ConcurrencyLimit {
  private _slots: number
  private _limit: number
  private _lastDecreaseAtMs = -Infinity

  /** @param slots Announced slots; 0 admits nothing. */
  public constructor (slots: number) {
    this._slots = Math.max(0, Math.floor(slots))
    this._limit = this._slots
  }

  /** Calls that may run at once, a whole number. */
  public get current (): number {
    return this._slots === 0 ? 0 : Math.max(1, Math.floor(this._limit))
  }

  /**
   * Takes newly announced slots. More slots count at once, because the upstream knows its own size.
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
   * Takes a call that ended well. It speaks for a higher limit only when the present one was in use.
   * @param running Calls that ran when it ended, with itself.
   */
  public recordSuccess (running: number): void {
    if (running < this.current) {
      return
    }
    this._limit = Math.min(this._slots, this._limit + 1 / Math.max(1, this._limit))
  }

  /**
   * Takes a shed answer. Sheds of calls that ran together lower the limit once.
   * @param running Calls that ran when the answer came, with the shed one.
   * @param startedAtMs When the shed call started.
   * @param nowMs Monotonic time.
   */
  public recordShed (running: number, startedAtMs: number, nowMs: number): void {
    if (startedAtMs < this._lastDecreaseAtMs) {
      return
    }
    this._lastDecreaseAtMs = nowMs
    this._limit = Math.max(1, Math.min(this._limit, running) * SHED_LIMIT_FACTOR)
  }
}
