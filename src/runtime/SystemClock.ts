import type { Clock } from './Types.js'

/** The clock of this machine. */
export class SystemClock implements Clock {
  /** Monotonic milliseconds since the process started. */
  public nowMs (): number {
    return performance.now()
  }

  /** Milliseconds since 1970. */
  public wallMs (): number {
    return Date.now()
  }
}
