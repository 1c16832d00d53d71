import type { Clock, Disposable } from './Types.js'

/** Wakes a part's host at the earliest of the times that it was given. */
export class PartTimer implements Disposable {
  private _timer: NodeJS.Timeout | undefined
  private _atMs = Number.POSITIVE_INFINITY

  /**
   * @param _onWake Called at or shortly after the earliest time.
   */
  public constructor (private readonly _clock: Clock, private readonly _onWake: () => void) {}

  /**
   * Asks for a wake-up; an earlier one that is already asked for stays.
   * @param atMs Monotonic time in milliseconds.
   */
  public wakeAt (atMs: number): void {
    if (atMs >= this._atMs) return
    clearTimeout(this._timer)
    this._atMs = atMs
    this._timer = setTimeout(() => this._fire(), Math.max(0, Math.ceil(atMs - this._clock.nowMs())))
  }

  /** Drops the wake-up. */
  public dispose (): void {
    clearTimeout(this._timer)
    this._atMs = Number.POSITIVE_INFINITY
  }

  private _fire (): void {
    this._atMs = Number.POSITIVE_INFINITY
    this._onWake()
  }
}
