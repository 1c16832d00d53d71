import { INITIAL_LATE_QUEUE_LIMIT, LATE_QUEUE_LIMIT_STEP } from './Constants.js'

/**
 * Adaptive limit on queued late calls: those that can no longer meet their latency objective, but may still meet their
 * deadline. They start only when no other call is queued, which never happens during an overload, and a caller that
 * waits until its deadline is worse off than one that is declined at once. The limit follows AIMD: it increases with
 * each late call that starts and halves when one expires in the queue, so it falls while the load stays above the
 * capacity of the instance.
 *
 * Memory: one number.
 */
export class LateQueueLimit {
  private _limit = INITIAL_LATE_QUEUE_LIMIT

  /** Late calls that may be queued. */
  public get current (): number {
    return Math.floor(this._limit)
  }

  /**
   * Records that a late call started.
   * @param slots Slots of the instance; upper bound of the limit.
   */
  public recordStart (slots: number): void {
    this._limit = Math.min(slots, this._limit + LATE_QUEUE_LIMIT_STEP)
  }

  /** Records that a late call expired in the queue. */
  public recordExpired (): void {
    this._limit /= 2
  }

  /** Records that the queue is empty: the overload is over, so at least one late call may queue again. */
  public recordEmpty (): void {
    this._limit = Math.max(1, this._limit)
  }
}
