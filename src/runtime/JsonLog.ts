import { pino } from 'pino'
import type { DestinationStream, Logger } from 'pino'
import type { Log, LogFields } from './Types.js'

/** Levels that settings may name. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent'

/** Log lines as JSON on standard output. */
export class JsonLog implements Log {
  private readonly _logger: Logger

  /**
   * @param process Name of the program, for example `sassafras-node`.
   * @param id Id of the process in the mesh.
   * @param level Lines below it are dropped.
   * @param destination Takes the lines; standard output, written at once, by default.
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
