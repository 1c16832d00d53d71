/** Commands that go to the admin surface of one process. */
import { Command, Option } from 'clipanion'
import { CtlCommand, errorReport } from './CtlCommand.js'
import type { CtlReport } from './CtlCommand.js'
import { CTL_EXIT_CODES } from './ExitCodes.js'

/** `sassafrasctl dump`: the state of a process. */
export class DumpCommand extends CtlCommand {
  public static override paths = [['dump']]
  public static override usage = Command.Usage({
    description: 'Dump the state of a process.',
    examples: [['By address', 'sassafrasctl dump 10.0.0.4:7002'], ['By its name in the settings', 'sassafrasctl dump custody-1']]
  })

  public readonly process = Option.String()

  protected async runCommand (): Promise<CtlReport> {
    const answer = await this.requestProcess(this.process, { method: 'GET', path: '/state' })
    if (answer.status !== 200) return errorReport(answer)
    return { exit: CTL_EXIT_CODES.ok, text: JSON.stringify(answer.body, null, 2), json: { type: 'state', state: answer.body } }
  }
}

abstract class DrainStateCommand extends CtlCommand {
  public readonly node = Option.String()
  protected abstract readonly route: string
  protected abstract readonly done: string

  protected async runCommand (): Promise<CtlReport> {
    const answer = await this.requestProcess(this.node, { method: 'POST', path: this.route, json: {} })
    if (answer.status >= 300) return errorReport(answer)
    return { exit: CTL_EXIT_CODES.ok, text: `${this.node} ${this.done}`, json: { type: 'done', node: this.node, answer: answer.body } }
  }
}

/** `sassafrasctl drain`: lets the upstream of a node leave. */
export class DrainCommand extends DrainStateCommand {
  public static override paths = [['drain']]
  public static override usage = Command.Usage({
    description: 'Let the upstream of a node leave: it gets no new work and keeps what it has.',
    details: 'See "sassafrasctl dump NODE" for what is still in flight; "sassafrasctl resume NODE" takes it back.'
  })

  protected readonly route = '/drain'
  protected readonly done = 'drains: no new work, work in flight goes on'
}

/** `sassafrasctl resume`: takes the upstream of a node back. */
export class ResumeCommand extends DrainStateCommand {
  public static override paths = [['resume']]
  public static override usage = Command.Usage({ description: 'Take the drained upstream of a node back.' })
  protected readonly route = '/resume'
  protected readonly done = 'takes work again'
}
