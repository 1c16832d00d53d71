import type { Clock, Disposable } from './Types.js'

/** Wakes a part's host at the earliest of the times that it was given. */
export class PartTimer implements Disposable {
  private timer: NodeJS.Timeout | undefined
  private atMs = Number.POSITIVE_INFINITY

  /**
   * @param onWake Called at or shortly after the earliest time.
   */
  public constructor (private readonly clock: Clock, private readonly onWake: () => void) {}

  /**
   * Asks for a wake-up; an earlier one that is already asked for stays.
   * @param atMs Monotonic time in milliseconds.
   */
  public wakeAt (atMs: number): void {
    if (atMs >= this.atMs) return
    clearTimeout(this.timer)
    this.atMs = atMs
    this.timer = setTimeout(() => this.fire(), Math.max(0, Math.ceil(atMs - this.clock.nowMs())))
  }

  /** Drops the wake-up. */
  public dispose (): void {
    clearTimeout(this.timer)
    this.atMs = Number.POSITIVE_INFINITY
  }

  private fire (): void {
    this.atMs = Number.POSITIVE_INFINITY
    this.onWake()
  }
}
