import { randomUUID } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import { Command, Option } from 'clipanion'
import type { ChangeReply, ChangeRequest } from '../parts/configuration/Types.js'
import type { AdminOutcome } from './AdminClient.js'
import { ConfigurationFile } from './ConfigurationFile.js'
import { CtlCommand, CtlFailure, errorReport, invalidReport, parseWholeNumber } from './CtlCommand.js'
import type { CtlReport } from './CtlCommand.js'
import { CTL_EXIT_CODES } from './ExitCodes.js'
import { InForceView } from './InForceView.js'

type ReplyFormatters = { readonly [Type in ChangeReply['type']]: (reply: Extract<ChangeReply, { type: Type }>) => CtlReport }

const POLL_INTERVAL_MS = 100

/** `sassafrasctl apply`: submits a new configuration. */
export class ApplyCommand extends CtlCommand {
  public static override paths = [['apply']]
  public static override usage = Command.Usage({
    description: 'Submit a new configuration.',
    details: 'The change is accepted only while --base is the version in force. When the answer is lost, run the ' +
      'same command again with the same --operation: the change is applied once and the first answer is returned.',
    examples: [['Change version 4', 'sassafrasctl apply mesh.toml --base 4 --operation 2026-12-03-drain']]
  })

  public readonly file = Option.String()
  public readonly base = Option.String('--base', { required: true, description: 'The version that the change is based on.' })
  public readonly operation = Option.String('--operation', { description: 'Id of the change; generated when omitted.' })
  public readonly waitMs = Option.String('--wait-ms', { description: 'Wait until the change is in force at every node, at most this many milliseconds.' })

  private readonly _replyFormatters: ReplyFormatters = {
    accepted: reply => ({ exit: CTL_EXIT_CODES.ok, text: `accepted: version ${reply.version} is in force`, json: reply }),
    conflict: reply => ({ exit: CTL_EXIT_CODES.conflict, text: conflictText(reply), json: reply }),
    invalid: reply => invalidReport(reply.findings),
    unavailable: reply => ({ exit: CTL_EXIT_CODES.unknown, text: '', json: reply }),
    operationReused: reply => ({
      exit: CTL_EXIT_CODES.conflict,
      text: 'refused: this operation id belongs to another change, accepted as version ' +
        `${reply.version}\nNothing was changed. Use another operation id for this change.`,
      json: reply
    })
  }

  protected async runCommand (): Promise<CtlReport> {
    const base = parseWholeNumber('--base', this.base)
    if (this.waitMs !== undefined) parseWholeNumber('--wait-ms', this.waitMs)
    const configuration = new ConfigurationFile(this.file).load()
    if (!configuration.ok) return invalidReport(configuration.val)
    const operation = this.operation ?? this._generateOperation()
    const change: ChangeRequest = { operation, base, configuration: configuration.val }
    const outcome = await this.requestControl({ method: 'POST', path: '/changes', json: change })
    const report = this._buildReport(outcome, operation)
    return report.exit === CTL_EXIT_CODES.ok && this.waitMs !== undefined ? await this._waitForNodes(report) : report
  }

  private _generateOperation (): string {
    const operation = randomUUID()
    // Printed before the change is sent, so that it can be sent again under this id when the answer is lost.
    this.context.stderr.write(`operation ${operation}\n`)
    return operation
  }

  private _buildReport (outcome: AdminOutcome, operation: string): CtlReport {
    if (outcome.type === 'unsent') {
      return {
        exit: CTL_EXIT_CODES.unavailable,
        text: `unavailable: ${outcome.problem}\nNothing was changed. Try again.`,
        json: { type: 'unavailable', operation, problem: outcome.problem }
      }
    }
    if (outcome.type === 'lost') return unknownReport(operation, outcome.problem)
    if (outcome.answer.status === 503) return unknownReport(operation, 'the control replicas have no quorum')
    const reply = outcome.answer.body as ChangeReply
    const report = this._replyFormatters[reply?.type] as ((reply: ChangeReply) => CtlReport) | undefined
    return report === undefined ? errorReport(outcome.answer) : withOperation(report(reply), operation)
  }

  private async _waitForNodes (report: CtlReport): Promise<CtlReport> {
    const { version } = report.json as { version: number }
    try {
      const view = await this._pollNodes(version)
      const exit = view.lagging.length === 0 ? CTL_EXIT_CODES.ok : CTL_EXIT_CODES.lagging
      return { exit, text: `${report.text}\n${view.text()}`, json: { ...report.json, ...view.json() } }
    } catch (error) {
      if (!(error instanceof CtlFailure)) throw error
      // The change itself was accepted; the later failure must not hide that.
      const text = `${report.text}\nthe versions in force at the nodes could not be read: ${error.message}`
      return { exit: CTL_EXIT_CODES.lagging, text, json: { ...report.json, problem: error.message } }
    }
  }

  private async _pollNodes (version: number): Promise<InForceView> {
    const deadlineAtMs = performance.now() + Number(this.waitMs)
    let view = await this._readInForce(version)
    while (view.lagging.length > 0 && performance.now() < deadlineAtMs) {
      await delay(POLL_INTERVAL_MS)
      view = await this._readInForce(version)
    }
    return view
  }

  private async _readInForce (version: number): Promise<InForceView> {
    return InForceView.fromOutcome(await this.requestControl({ method: 'GET', path: '/in-force' }), version)
  }
}

function conflictText (reply: Extract<ChangeReply, { type: 'conflict' }>): string {
  const differs = reply.differs.map(path => `  ${path}`).join('\n')
  return `conflict: version ${reply.inForce} is in force, not the base of this change; they differ in\n${differs}\n` +
    `Nothing was changed. Inspect it with "sassafrasctl get", then apply again with --base ${reply.inForce}.`
}

function unknownReport (operation: string, problem: string): CtlReport {
  return {
    exit: CTL_EXIT_CODES.unknown,
    text: `unknown: the answer was lost (${problem}); the change may be in force\n` +
      `Run the same command again with --operation ${operation}: the change is applied only once.`,
    json: { type: 'unknown', operation, problem }
  }
}

function withOperation (report: CtlReport, operation: string): CtlReport {
  return { ...report, json: { ...report.json, operation } }
}
