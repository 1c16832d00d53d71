import type { Clock, Log, LogFields } from './Types.js'

/** Lines a second that are written for one message; further lines are only counted. */
const LINES_PER_SECOND = 20

/** Lower limits by message: lines about successful requests are only sampled. */
const SAMPLED_LINES_PER_SECOND: Readonly<Record<string, number>> = { answered: 2 }

/** Counters of one message in the current second. */
interface RateWindow {
  startMs: number
  /** Lines written since `startMs`. */
  lines: number
  /** Lines omitted since the last written one. */
  omitted: number
}

/**
 * A log that limits the lines a second of each message, so that ten times the load does not write ten times the
 * bytes. The next line of the same message carries the number of omitted lines as `omitted`. Errors and debug lines are
 * never omitted.
 *
 * Memory: one entry for each message text.
 */
export class RateLimitedLog implements Log {
  private readonly _windows = new Map<string, RateWindow>()

  /**
   * @param _log Receives the lines that are not omitted.
   */
  public constructor (private readonly _log: Log, private readonly _clock: Clock) {}

  public debug (fields: LogFields, message: string): void {
    this._log.debug(fields, message)
  }

  public info (fields: LogFields, message: string): void {
    const omitted = this._admit(message)
    if (omitted !== undefined) this._log.info(withOmitted(fields, omitted), message)
  }

  public warn (fields: LogFields, message: string): void {
    const omitted = this._admit(message)
    if (omitted !== undefined) this._log.warn(withOmitted(fields, omitted), message)
  }

  public error (fields: LogFields, message: string): void {
    this._log.error(fields, message)
  }

  /** Returns how many lines were omitted before this one, or undefined when this one is omitted too. */
  private _admit (message: string): number | undefined {
    const window = this._currentWindow(message)
    if (window.lines >= (SAMPLED_LINES_PER_SECOND[message] ?? LINES_PER_SECOND)) {
      window.omitted++
      return undefined
    }
    window.lines++
    const { omitted } = window
    window.omitted = 0
    return omitted
  }

  private _currentWindow (message: string): RateWindow {
    const nowMs = this._clock.nowMs()
    const known = this._windows.get(message)
    if (known === undefined) {
      const first = { startMs: nowMs, lines: 0, omitted: 0 }
      this._windows.set(message, first)
      return first
    }
    if (nowMs - known.startMs >= 1000) {
      known.startMs = nowMs
      known.lines = 0
    }
    return known
  }
}

function withOmitted (fields: LogFields, omitted: number): LogFields {
  return omitted === 0 ? fields : { ...fields, omitted }
}
