import { pino } from 'pino'
import type { DestinationStream, Logger } from 'pino'
import type { Log, LogFields } from './Types.js'

/** Log levels that settings may choose; `silent` drops all lines. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent'

/** Writes log lines as JSON, to standard output by default. */
export class JsonLog implements Log {
  private readonly _logger: Logger

  /**
   * @param process Name of the program, for example `sassafras-node`.
   * @param id Id of the process within the deployment.
   * @param level Lines below it are dropped.
   * @param destination Receives the lines; synchronous standard output by default.
   */
  public constructor (process: string, id: string, level: LogLevel, destination?: DestinationStream) {
    const options = { level, base: { process, id }, timestamp: pino.stdTimeFunctions.isoTime }
    this._logger = destination === undefined ? pino(options) : pino(options, destination)
  }

  public debug (fields: LogFields, message: string): void {
    this._logger.debug(fields, message)
  }

  public info (fields: LogFields, message: string): void {
    this._logger.info(fields, message)
  }

  public warn (fields: LogFields, message: string): void {
    this._logger.warn(fields, message)
  }

  public error (fields: LogFields, message: string): void {
    this._logger.error(fields, message)
  }
}
