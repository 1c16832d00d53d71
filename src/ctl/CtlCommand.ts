import { existsSync } from 'node:fs'
import { Command, Option } from 'clipanion'
import type { Finding } from '../parts/configuration/Types.js'
import { renderFindings, SettingsFile } from '../runtime/SettingsFile.js'
import { AdminClient } from './AdminClient.js'
import type { AdminAnswer, AdminOutcome, AdminRequest } from './AdminClient.js'
import { CTL_EXIT_CODES } from './ExitCodes.js'
import type { CtlExitCode } from './ExitCodes.js'
import { CTL_SETTINGS_FILE, ctlSettings } from './CtlSettings.js'
import type { CtlSettings } from './CtlSettings.js'

/** Result of a command: the exit code, human-readable text, and the same content as JSON. */
export interface CtlReport {
  readonly exit: CtlExitCode
  readonly text: string
  readonly json: object
}

const ADDRESS = /^\S+:\d{1,5}$/

/** Ends a command early with its report. */
export class CtlFailure extends Error {
  public readonly report: CtlReport

  /**
   * @param report The report to print.
   */
  public constructor (report: CtlReport) {
    super(report.text)
    this.report = report
  }
}

/** Base class of all commands: the common options, requests to processes and the printing of reports. */
export abstract class CtlCommand extends Command {
  public readonly json = Option.Boolean('--json', false, { description: 'Print one JSON object.' })
  public readonly settingsFile = Option.String('--settings,-s', {
    env: 'SASSAFRASCTL_SETTINGS',
    description: `TOML file with the settings; by default ${CTL_SETTINGS_FILE} in the current folder, if it exists.`
  })

  public readonly controlAddresses = Option.Array('--control', {
    description: 'Admin address of a control replica, instead of those in the settings; may be repeated.'
  })

  public readonly timeout = Option.String('--timeout-ms', { description: 'Timeout of a request in milliseconds, including retries.' })

  /** Runs the command and returns its report. */
  protected abstract runCommand (): Promise<CtlReport>

  /** Runs the command, prints its report and returns the exit code. */
  public override async execute (): Promise<number> {
    const report = await this._runToReport()
    const output = this.json ? JSON.stringify({ exit: report.exit, ...report.json }) : report.text
    const stream = report.exit === CTL_EXIT_CODES.ok || this.json ? this.context.stdout : this.context.stderr
    stream.write(`${output}\n`)
    return report.exit
  }

  /**
   * Sends a request to the control replicas.
   * @param request The request; must be idempotent.
   * @throws CtlFailure when no control replica is known.
   */
  protected async requestControl (request: AdminRequest): Promise<AdminOutcome> {
    const settings = this._loadSettings()
    const addresses = this.controlAddresses ?? settings.control
    if (addresses.length === 0) {
      const finding = { place: 'control', problem: 'lists no control replica', expected: '--control host:port, or control in the settings' }
      throw new CtlFailure(invalidReport([finding]))
    }
    return await new AdminClient(addresses, this._timeoutMs(settings)).send(request)
  }

  /**
   * Sends a request to one process.
   * @param process Name of the process in the settings, or its admin address.
   * @param request The request; must be idempotent.
   * @throws CtlFailure when the process is unknown or does not answer.
   */
  protected async requestProcess (process: string, request: AdminRequest): Promise<AdminAnswer> {
    const settings = this._loadSettings()
    const address = settings.processes[process] ?? (ADDRESS.test(process) ? process : undefined)
    if (address === undefined) {
      const known = Object.keys(settings.processes).join(', ') || 'none'
      const finding = { place: process, problem: 'is not a known process', expected: `host:port, or a name in the settings (${known})` }
      throw new CtlFailure(invalidReport([finding]))
    }
    return requireAnswer(await new AdminClient([address], this._timeoutMs(settings)).send(request))
  }

  private _timeoutMs (settings: CtlSettings): number {
    return this.timeout === undefined ? settings.timeoutMs : parseWholeNumber('--timeout-ms', this.timeout)
  }

  private _loadSettings (): CtlSettings {
    const file = this.settingsFile ?? (existsSync(CTL_SETTINGS_FILE) ? CTL_SETTINGS_FILE : undefined)
    if (file === undefined) return ctlSettings.parse({})
    const settings = new SettingsFile(file, ctlSettings).load()
    if (!settings.ok) throw new CtlFailure(invalidReport(settings.val))
    return settings.val
  }

  private async _runToReport (): Promise<CtlReport> {
    try {
      return await this.runCommand()
    } catch (error) {
      if (error instanceof CtlFailure) return error.report
      throw error
    }
  }
}

/**
 * Returns the answer to a request.
 * @param outcome How the request ended.
 * @throws CtlFailure when there is no answer or its status is 503.
 */
export function requireAnswer (outcome: AdminOutcome): AdminAnswer {
  if (outcome.type === 'answer' && outcome.answer.status !== 503) return outcome.answer
  const problem = outcome.type === 'answer' ? 'no quorum, or the process is not ready' : outcome.problem
  throw new CtlFailure({
    exit: CTL_EXIT_CODES.unavailable,
    text: `unavailable: ${problem}\nTry again; if the problem persists, check GET /health of the processes.`,
    json: { type: 'unavailable', problem }
  })
}

/**
 * Parses a whole number given on the command line.
 * @param option Name of the option.
 * @param text Value of the option.
 * @throws CtlFailure when the text is not a whole number of at most 15 digits.
 */
export function parseWholeNumber (option: string, text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text)
  throw new CtlFailure(invalidReport([{ place: option, problem: `is "${text}"`, expected: 'a whole number, 0 or above' }]))
}

/**
 * Builds the report of an invalid command line, file or settings.
 * @param findings The findings to report.
 */
export function invalidReport (findings: readonly Finding[]): CtlReport {
  return { exit: CTL_EXIT_CODES.invalid, text: renderFindings(findings), json: { type: 'invalid', findings } }
}

/**
 * Builds the report of an answer with an unexpected status or body.
 * @param answer The answer of the process.
 */
export function errorReport (answer: AdminAnswer): CtlReport {
  return {
    exit: CTL_EXIT_CODES.failed,
    text: `${answer.from} answered with ${answer.status}: ${JSON.stringify(answer.body)}`,
    json: { type: 'error', ...answer }
  }
}
