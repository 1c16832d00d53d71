import { readFileSync } from 'node:fs'
import { Command, Option } from 'clipanion'
import { CtlCommand, CtlFailure, invalidReport } from './CtlCommand.js'
import type { CtlReport } from './CtlCommand.js'
import { CTL_EXIT_CODES } from './ExitCodes.js'
import { findTrail, type RequestLogLine } from './RequestTrail.js'

/** `sassafrasctl explain`: prints the log lines of several processes about one request. */
export class ExplainCommand extends CtlCommand {
  public static override paths = [['explain']]
  public static override usage = Command.Usage({
    description: 'Print the log lines of several processes about one request, ordered by time.',
    details: 'Exits with 4 when no log mentions the request: its lines may have been omitted under load, see the field omitted.',
    examples: [['Explain a request', 'sassafrasctl explain 9c41d07be2a35f68 node-a.log node-b.log']]
  })

  public readonly requestId = Option.String()
  public readonly files = Option.Rest({ required: 1 })

  protected async runCommand (): Promise<CtlReport> {
    const trail = findTrail(this.requestId, this.files.map(readLog))
    return {
      exit: trail.length === 0 ? CTL_EXIT_CODES.unavailable : CTL_EXIT_CODES.ok,
      text: trail.length === 0 ? `no log mentions the request ${this.requestId}` : trail.map(formatLine).join('\n'),
      json: { type: 'explain', requestId: this.requestId, trail }
    }
  }
}

function readLog (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    const finding = { place: file, problem: (error as Error).message, expected: 'a readable log file' }
    throw new CtlFailure(invalidReport([finding]))
  }
}

function formatLine ({ time, process, message, fields }: RequestLogLine): string {
  const rest = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`)
  return [time, process, `${message}:`, ...rest].join(' ')
}
