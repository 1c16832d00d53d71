import { Command } from 'clipanion'
import type { ServiceRule, VersionedConfiguration } from '../parts/configuration/Types.js'
import { answerOf, CtlCommand, errorReport } from './CtlCommand.js'
import type { CtlReport } from './CtlCommand.js'
import { CTL_EXIT } from './ExitCodes.js'
import { InForceView } from './InForceView.js'

/** `sassafrasctl get`: tells what is in force and which nodes lag. */
export class GetCommand extends CtlCommand {
  public static override paths = [['get']]
  public static override usage = Command.Usage({
    description: 'Tell what is in force, by a quorum of the control replicas, and how many nodes have it.',
    details: 'Exits with 6 when a node lags.'
  })

  protected async work (): Promise<CtlReport> {
    const answer = answerOf(await this.askControl({ method: 'GET', path: '/configuration' }))
    if (answer.status !== 200) return errorReport(answer)
    const inForce = answer.body as VersionedConfiguration
    const view = InForceView.ofOutcome(await this.askControl({ method: 'GET', path: '/in-force' }), inForce.version)
    return {
      exit: view.lagging.length === 0 ? CTL_EXIT.ok : CTL_EXIT.lagging,
      text: [versionText(inForce), view.text(), ...servicesText(inForce)].join('\n'),
      json: { ...inForce, ...view.json() }
    }
  }
}

function versionText ({ version, operation }: VersionedConfiguration): string {
  return version === 0 ? 'version 0: no configuration was handed over yet' : `version ${version}, operation ${operation}`
}

function servicesText ({ configuration }: VersionedConfiguration): string[] {
  const { bytesPerSecond, messagesPerCall } = configuration.measuring
  return [
    ...configuration.services.map(serviceText),
    ...configuration.zones.map(({ region, zone }) => `zone ${region}/${zone}`),
    `measuring at most ${bytesPerSecond} bytes/s on each VM and ${messagesPerCall} messages for each call`
  ]
}

function serviceText (rule: ServiceRule): string {
  const guarded = rule.guarded.length === 0 ? 'nothing guarded' : `guarded ${rule.guarded.join(', ')}`
  const downloads = rule.downloads.length === 0 ? '' : `, downloads ${rule.downloads.join(', ')}`
  return `service ${rule.name}: ${guarded}${downloads}, deadline ${rule.deadlineMs} ms, drain ${rule.drainMs} ms`
}
