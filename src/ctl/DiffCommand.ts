import { Command, Option } from 'clipanion'
import { differingPaths } from '../parts/configuration/ConfigurationDelta.js'
import type { VersionedConfiguration } from '../parts/configuration/Types.js'
import { ConfigurationFile } from './ConfigurationFile.js'
import { requireAnswer, CtlCommand, errorReport, invalidReport } from './CtlCommand.js'
import type { CtlReport } from './CtlCommand.js'
import { CTL_EXIT_CODES } from './ExitCodes.js'

/** `sassafrasctl diff`: lists what a file would change in the configuration in force. */
export class DiffCommand extends CtlCommand {
  public static override paths = [['diff']]
  public static override usage = Command.Usage({
    description: 'List what a configuration file would change in the configuration in force.',
    details: 'Exits with 0 when the file would change nothing and with 7 otherwise.'
  })

  public readonly file = Option.String()

  protected async runCommand (): Promise<CtlReport> {
    const configuration = new ConfigurationFile(this.file).load()
    if (!configuration.ok) return invalidReport(configuration.val)
    const answer = requireAnswer(await this.requestControl({ method: 'GET', path: '/configuration' }))
    if (answer.status !== 200) return errorReport(answer)
    const inForce = answer.body as VersionedConfiguration
    const differs = differingPaths(configuration.val, inForce.configuration)
    const heading = `version ${inForce.version} is in force`
    return {
      exit: differs.length === 0 ? CTL_EXIT_CODES.ok : CTL_EXIT_CODES.differs,
      text: differs.length === 0 ? `${heading}; the file changes nothing` : [`${heading}; the file changes`, ...differs].join('\n  '),
      json: { type: 'diff', inForce: inForce.version, differs }
    }
  }
}
