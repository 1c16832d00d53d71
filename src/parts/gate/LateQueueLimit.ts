import { INITIAL_LATE_QUEUE_LIMIT, LATE_QUEUE_LIMIT_STEP } from './Constants.js'

/**
 * How many calls past their objective may wait. They start only when no other call waits; during an overload that
 * never comes, and a caller that is held until its deadline is worse off than one that is told at once. The number
 * grows while such calls get their turn and is halved when one is dropped: this answers load that stays above what
 * the instance can do.
 *
 * Memory: one number.
 */
export class LateQueueLimit {
  private _limit = INITIAL_LATE_QUEUE_LIMIT

  /** Calls that may wait. */
  public get current (): number {
    return Math.floor(this._limit)
  }

  /**
   * A late call started.
   * @param slots Slots of the instance, which the number does not exceed.
   */
  public recordStart (slots: number): void {
    this._limit = Math.min(slots, this._limit + LATE_QUEUE_LIMIT_STEP)
  }

  /** A late call waited in vain. */
  public recordExpired (): void {
    this._limit /= 2
  }

  /** Nothing waits: the overload is over. */
  public recordEmpty (): void {
    this._limit = Math.max(1, this._limit)
  }
}
