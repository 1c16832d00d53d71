import type { Timer, VirtualClock } from './VirtualClock.js'

/** Ticks a part at the earliest time that it asked for, once. */
export class Wakeup {
  private _timer: Timer | undefined

  public constructor (private readonly _clock: VirtualClock, private readonly _tick: () => void) {}

  /** @param atMs When the part wants its tick. */
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
