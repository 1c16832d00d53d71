import { Command, Option } from 'clipanion'
import type { Finding } from '../parts/configuration/Types.js'
import { requireAnswer, CtlCommand, errorReport, invalidReport } from './CtlCommand.js'
import type { CtlReport } from './CtlCommand.js'
import { CTL_EXIT_CODES } from './ExitCodes.js'

/** `sassafrasctl members`: changes the membership of the group of control replicas. */
export class MembersCommand extends CtlCommand {
  public static override paths = [['members']]
  public static override usage = Command.Usage({
    description: 'Change the members of the control group, adding or removing one replica at a time.',
    examples: [['Replace c3 with c4, in two steps', 'sassafrasctl members c1 c2 c3 c4 && sassafrasctl members c1 c2 c4']]
  })

  public readonly members = Option.Rest({ required: 1 })

  protected async runCommand (): Promise<CtlReport> {
    const json = { members: this.members }
    const answer = requireAnswer(await this.requestControl({ method: 'POST', path: '/members', json }))
    if (answer.status === 422) return invalidReport((answer.body as { findings: Finding[] }).findings)
    if (answer.status !== 200) return errorReport(answer)
    return { exit: CTL_EXIT_CODES.ok, text: `the members of the control group are now ${this.members.join(', ')}`, json: answer.body as object }
  }
}
