/** Commands that are sent to the admin endpoint of one process. */
import { Command, Option } from 'clipanion'
import { CtlCommand, errorReport } from './CtlCommand.js'
import type { CtlReport } from './CtlCommand.js'
import { CTL_EXIT_CODES } from './ExitCodes.js'

/** `sassafrasctl dump`: prints the state of a process. */
export class DumpCommand extends CtlCommand {
  public static override paths = [['dump']]
  public static override usage = Command.Usage({
    description: 'Print the state of a process as JSON.',
    examples: [['By address', 'sassafrasctl dump 10.0.0.4:7002'], ['By its name in the settings', 'sassafrasctl dump custody-1']]
  })

  public readonly process = Option.String()

  protected async runCommand (): Promise<CtlReport> {
    const answer = await this.requestProcess(this.process, { method: 'GET', path: '/state' })
    if (answer.status !== 200) return errorReport(answer)
    return { exit: CTL_EXIT_CODES.ok, text: JSON.stringify(answer.body, null, 2), json: { type: 'state', state: answer.body } }
  }
}

/** A command that starts or ends the draining of the upstream of a node. */
abstract class DrainStateCommand extends CtlCommand {
  public readonly node = Option.String()
  /** Path of the admin request. */
  protected abstract readonly route: string
  /** Text printed after the name of the node on success. */
  protected abstract readonly done: string

  protected async runCommand (): Promise<CtlReport> {
    const answer = await this.requestProcess(this.node, { method: 'POST', path: this.route, json: {} })
    if (answer.status >= 300) return errorReport(answer)
    return { exit: CTL_EXIT_CODES.ok, text: `${this.node} ${this.done}`, json: { type: 'done', node: this.node, answer: answer.body } }
  }
}

/** `sassafrasctl drain`: drains the upstream of a node. */
export class DrainCommand extends DrainStateCommand {
  public static override paths = [['drain']]
  public static override usage = Command.Usage({
    description: 'Drain the upstream of a node: it receives no new calls and finishes those in flight.',
    details: '"sassafrasctl dump NODE" shows what is still in flight; "sassafrasctl resume NODE" ends the draining.'
  })

  protected readonly route = '/drain'
  protected readonly done = 'is draining: it receives no new calls, calls in flight continue'
}

/** `sassafrasctl resume`: ends the draining of the upstream of a node. */
export class ResumeCommand extends DrainStateCommand {
  public static override paths = [['resume']]
  public static override usage = Command.Usage({ description: 'End the draining of the upstream of a node: it receives new calls again.' })
  protected readonly route = '/resume'
  protected readonly done = 'receives new calls again'
}
