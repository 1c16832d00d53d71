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

/** What a command tells: the exit code, text for a person, and the same as JSON. */
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
   * @param report What to tell.
   */
  public constructor (report: CtlReport) {
    super(report.text)
    this.report = report
  }
}

/** Options and ways to answer that all commands share. */
export abstract class CtlCommand extends Command {
  public readonly json = Option.Boolean('--json', false, { description: 'Answer with one JSON object.' })
  public readonly settingsFile = Option.String('--settings,-s', {
    env: 'SASSAFRASCTL_SETTINGS',
    description: `TOML file of the settings; ${CTL_SETTINGS_FILE} in this folder when there is one.`
  })

  public readonly controlAddresses = Option.Array('--control', {
    description: 'Admin address of a control replica, in place of those in the settings; may be given again.'
  })

  public readonly timeout = Option.String('--timeout-ms', { description: 'Time for the command in all.' })

  /** Does the work of the command. */
  protected abstract runCommand (): Promise<CtlReport>

  /** Runs the command and tells its report. */
  public override async execute (): Promise<number> {
    const report = await this._runToReport()
    const output = this.json ? JSON.stringify({ exit: report.exit, ...report.json }) : report.text
    const stream = report.exit === CTL_EXIT_CODES.ok || this.json ? this.context.stdout : this.context.stderr
    stream.write(`${output}\n`)
    return report.exit
  }

  /**
   * Sends a request to the control replicas.
   * @param request What to send; must be safe to repeat.
   */
  protected async requestControl (request: AdminRequest): Promise<AdminOutcome> {
    const settings = this._loadSettings()
    const addresses = this.controlAddresses ?? settings.control
    if (addresses.length === 0) {
      const finding = { place: 'control', problem: 'names no replica', expected: '--control host:port, or control in the settings' }
      throw new CtlFailure(invalidReport([finding]))
    }
    return await new AdminClient(addresses, this._timeoutMs(settings)).send(request)
  }

  /**
   * Sends a request to one process.
   * @param process Its name in the settings, or its admin address.
   * @param request What to send; must be safe to repeat.
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
 * Returns the answer of a request, or ends the command when there is none.
 * @param outcome How the request ended.
 */
export function requireAnswer (outcome: AdminOutcome): AdminAnswer {
  if (outcome.type === 'answer' && outcome.answer.status !== 503) return outcome.answer
  const problem = outcome.type === 'answer' ? 'no quorum, or not ready' : outcome.problem
  throw new CtlFailure({
    exit: CTL_EXIT_CODES.unavailable,
    text: `unavailable: ${problem}\nTry again; if it stays so, look at GET /health of the processes.`,
    json: { type: 'unavailable', problem }
  })
}

/**
 * Reads a number of the command line, or ends the command when it is none.
 * @param option Name of the option.
 * @param text What was given.
 */
export function parseWholeNumber (option: string, text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text)
  throw new CtlFailure(invalidReport([{ place: option, problem: `is "${text}"`, expected: 'a whole number, 0 or above' }]))
}

/**
 * Reports findings.
 * @param findings What is wrong.
 */
export function invalidReport (findings: readonly Finding[]): CtlReport {
  return { exit: CTL_EXIT_CODES.invalid, text: renderFindings(findings), json: { type: 'invalid', findings } }
}

/**
 * Reports that a process answered with an error.
 * @param answer What it answered.
 */
export function errorReport (answer: AdminAnswer): CtlReport {
  return {
    exit: CTL_EXIT_CODES.failed,
    text: `${answer.from} answered with ${answer.status}: ${JSON.stringify(answer.body)}`,
    json: { type: 'error', ...answer }
  }
}
