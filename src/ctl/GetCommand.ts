import { Command } from 'clipanion'
import type { ServiceRule, VersionedConfiguration } from '../parts/configuration/Types.js'
import { requireAnswer, CtlCommand, errorReport } from './CtlCommand.js'
import type { CtlReport } from './CtlCommand.js'
import { CTL_EXIT_CODES } from './ExitCodes.js'
import { InForceView } from './InForceView.js'

/** `sassafrasctl get`: prints the configuration in force and the nodes that lag behind it. */
export class GetCommand extends CtlCommand {
  public static override paths = [['get']]
  public static override usage = Command.Usage({
    description: 'Print the configuration in force, confirmed by a quorum of the control replicas, and the nodes that lag behind.',
    details: 'Exits with 6 when a node lags behind.'
  })

  protected async runCommand (): Promise<CtlReport> {
    const answer = requireAnswer(await this.requestControl({ method: 'GET', path: '/configuration' }))
    if (answer.status !== 200) return errorReport(answer)
    const inForce = answer.body as VersionedConfiguration
    const view = InForceView.fromOutcome(await this.requestControl({ method: 'GET', path: '/in-force' }), inForce.version)
    return {
      exit: view.lagging.length === 0 ? CTL_EXIT_CODES.ok : CTL_EXIT_CODES.lagging,
      text: [formatVersion(inForce), view.text(), ...configurationLines(inForce)].join('\n'),
      json: { ...inForce, ...view.json() }
    }
  }
}

function formatVersion ({ version, operation }: VersionedConfiguration): string {
  return version === 0 ? 'version 0: no configuration has been submitted yet' : `version ${version}, operation ${operation}`
}

function configurationLines ({ configuration }: VersionedConfiguration): string[] {
  const { bytesPerSecond, messagesPerCall } = configuration.measuring
  return [
    ...configuration.services.map(formatService),
    ...configuration.zones.map(({ region, zone }) => `zone ${region}/${zone}`),
    `measuring at most ${bytesPerSecond} bytes/s on each VM and ${messagesPerCall} messages for each call`
  ]
}

function formatService (rule: ServiceRule): string {
  const guarded = rule.guarded.length === 0 ? 'nothing guarded' : `guarded ${rule.guarded.join(', ')}`
  const downloads = rule.downloads.length === 0 ? '' : `, downloads ${rule.downloads.join(', ')}`
  return `service ${rule.name}: ${guarded}${downloads}, deadline ${rule.deadlineMs} ms, drain ${rule.drainMs} ms`
}
