import type { Clock, Disposable } from './Types.js'

/** Timer for a part of the library: calls back at the earliest of the requested wake-up times. */
export class PartTimer implements Disposable {
  private _timer: NodeJS.Timeout | undefined
  private _atMs = Number.POSITIVE_INFINITY

  /**
   * @param _onWake Called at or shortly after the earliest requested time.
   */
  public constructor (private readonly _clock: Clock, private readonly _onWake: () => void) {}

  /**
   * Requests a wake-up; ignored when an earlier one is already requested.
   * @param atMs Monotonic time in milliseconds.
   */
  public wakeAt (atMs: number): void {
    if (atMs >= this._atMs) return
    clearTimeout(this._timer)
    this._atMs = atMs
    this._timer = setTimeout(() => this._fire(), Math.max(0, Math.ceil(atMs - this._clock.nowMs())))
  }

  /** Cancels the wake-up. */
  public dispose (): void {
    clearTimeout(this._timer)
    this._atMs = Number.POSITIVE_INFINITY
  }

  private _fire (): void {
    this._atMs = Number.POSITIVE_INFINITY
    this._onWake()
  }
}
