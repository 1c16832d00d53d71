import type { Clock } from './Types.js'

/** Clock of the operating system. */
export class SystemClock implements Clock {
  /** Monotonic milliseconds since the process started. */
  public nowMs (): number {
    return performance.now()
  }

  /** Milliseconds since the Unix epoch. */
  public wallMs (): number {
    return Date.now()
  }
}
