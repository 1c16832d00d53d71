import type { Timer, VirtualClock } from './VirtualClock.js'

/** Schedules one tick of a part at the earliest of the times that it has requested since the last tick. */
export class Wakeup {
  private _timer: Timer | undefined

  public constructor (private readonly _clock: VirtualClock, private readonly _tick: () => void) {}

  /** @param atMs Virtual time at which the part requests its tick. */
  public schedule (atMs: number): void {
    if (this._timer !== undefined) {
      if (this._timer.atMs <= atMs) {
        return
      }
      this._clock.cancel(this._timer)
    }
    this._timer = this._clock.at(atMs, () => {
      this._timer = undefined
      this._tick()
    })
  }
}
