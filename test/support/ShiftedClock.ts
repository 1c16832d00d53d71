import { SystemClock } from '../../src/runtime/SystemClock.js'
import type { Clock } from '../../src/runtime/Types.js'

/** System clock whose monotonic time can be advanced by hand, to reach timeouts or to act as a pause of the process. */
export class ShiftedClock implements Clock {
  public shiftMs = 0
  private readonly _clock = new SystemClock()

  public nowMs (): number {
    return this._clock.nowMs() + this.shiftMs
  }

  public wallMs (): number {
    return this._clock.wallMs()
  }
}
