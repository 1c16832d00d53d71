import type { Clock, Log, LogFields } from './Types.js'

/** Lines of one message that a process writes in one second; more are counted. */
const LINES_PER_SECOND = 20

/** Messages with a smaller allowance: those of requests that end well are only samples. */
const SAMPLED_LINES_PER_SECOND: Readonly<Record<string, number>> = { answered: 2 }

interface Allowance {
  secondStartMs: number
  lines: number
  omitted: number
}

/**
 * A log with an allowance of lines a second for each message, so that ten times the load does not bring ten times the
 * bytes. What was left out is told in the next line of the same message, as `omitted`. Errors are never left out.
 *
 * Memory: one entry for each message text.
 */
export class BudgetedLog implements Log {
  private readonly _allowances = new Map<string, Allowance>()

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
    const allowance = this._allowanceOf(message)
    if (allowance.lines >= (SAMPLED_LINES_PER_SECOND[message] ?? LINES_PER_SECOND)) {
      allowance.omitted++
      return undefined
    }
    allowance.lines++
    const { omitted } = allowance
    allowance.omitted = 0
    return omitted
  }

  private _allowanceOf (message: string): Allowance {
    const nowMs = this._clock.nowMs()
    const known = this._allowances.get(message)
    if (known === undefined) {
      const first = { secondStartMs: nowMs, lines: 0, omitted: 0 }
      this._allowances.set(message, first)
      return first
    }
    if (nowMs - known.secondStartMs >= 1000) {
      known.secondStartMs = nowMs
      known.lines = 0
    }
    return known
  }
}

function withOmitted (fields: LogFields, omitted: number): LogFields {
  return omitted === 0 ? fields : { ...fields, omitted }
}
