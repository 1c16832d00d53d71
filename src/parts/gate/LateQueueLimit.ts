import { FIRST_LATE_ROOM, LATE_ROOM_STEP } from './Constants.js'

/**
 * How many calls past their objective may wait. They start only when no other call waits; during an overload that
 * never comes, and a caller that is held until its deadline is worse off than one that is told at once. The number
 * grows while such calls get their turn and is halved when one is dropped: this answers load that stays above what
 * the instance can do.
 *
 * Memory: one number.
 */
export class LateQueueLimit {
  private _size = FIRST_LATE_ROOM

  /** Calls that may wait. */
  public get size (): number {
    return Math.floor(this._size)
  }

  /**
   * A late call started.
   * @param slots Slots of the instance, which the number does not exceed.
   */
  public served (slots: number): void {
    this._size = Math.min(slots, this._size + LATE_ROOM_STEP)
  }

  /** A late call waited in vain. */
  public starved (): void {
    this._size /= 2
  }

  /** Nothing waits: the overload is over. */
  public idle (): void {
    this._size = Math.max(1, this._size)
  }
}
