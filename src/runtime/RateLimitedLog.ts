import type { Clock, Log, LogFields } from './Types.js'

/** Lines of one message that a process writes in one second; more are counted. */
const LINES_PER_SECOND = 20

/** Messages with a smaller allowance: those of requests that end well are only samples. */
const SAMPLED_LINES_PER_SECOND: Readonly<Record<string, number>> = { answered: 2 }

interface RateWindow {
  startMs: number
  lines: number
  omitted: number
}

/**
 * A log with an allowance of lines a second for each message, so that ten times the load does not bring ten times the
 * bytes. What was left out is told in the next line of the same message, as `omitted`. Errors are never left out.
 *
 * Memory: one entry for each message text.
 */
export class RateLimitedLog implements Log {
  private readonly _windows = new Map<string, RateWindow>()

  /**
   * @param _log Where lines go.
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

  /** Returns the lines left out before this one, or undefined when it is left out itself. */
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
