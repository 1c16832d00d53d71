import type { Timer, VirtualClock } from './VirtualClock.js'

/** Ticks a part at the earliest time that it asked for, once. */
export class Wakeup {
  private timer: Timer | undefined

  public constructor (private readonly clock: VirtualClock, private readonly tick: () => void) {}

  /** @param atMs When the part wants its tick. */
  public ask (atMs: number): void {
    if (this.timer !== undefined) {
      if (this.timer.atMs <= atMs) {
        return
      }
      this.clock.cancel(this.timer)
    }
    this.timer = this.clock.at(atMs, () => {
      this.timer = undefined
      this.tick()
    })
  }
}
