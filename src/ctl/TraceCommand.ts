import { readFileSync } from 'node:fs'
import { Command, Option } from 'clipanion'
import { AdmissionController } from '../parts/admission/AdmissionController.js'
import { MeasuringBudget } from '../parts/budget/MeasuringBudget.js'
import { UpstreamChooser } from '../parts/choice/UpstreamChooser.js'
import { ConfigurationFollower } from '../parts/configuration/ConfigurationFollower.js'
import { MembershipTable } from '../parts/membership/MembershipTable.js'
import { QuarantineTable } from '../parts/quarantine/QuarantineTable.js'
import { RetryPolicy } from '../parts/retry/RetryPolicy.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import { TraceReplay } from '../parts/trace/TraceReplay.js'
import type { PartFactories } from '../parts/trace/Types.js'
import type { ProcessLocation } from '../parts/Types.js'
import { renderFindings } from '../runtime/SettingsFile.js'
import { CtlCommand, invalidReport } from './CtlCommand.js'
import type { CtlReport } from './CtlCommand.js'
import { CTL_EXIT_CODES } from './ExitCodes.js'

/** Creates the parts of a node from the options and seeds recorded in a trace. */
const PART_FACTORIES: PartFactories = {
  admission: ({ seed, options }) => new AdmissionController(new SeededRandom(seed), options),
  budget: ({ options }) => new MeasuringBudget(options as never),
  choice: ({ seed, options }) => {
    const { place, ...others } = options as { readonly place: ProcessLocation }
    return new UpstreamChooser(place, new SeededRandom(seed), others)
  },
  configuration: ({ options }) => new ConfigurationFollower(options),
  membership: ({ options }) => new MembershipTable(options),
  quarantine: ({ options }) => new QuarantineTable(options as never),
  retry: ({ options }) => new RetryPolicy(options)
}

/** `sassafrasctl trace`: replays a recorded trace with the parts of this version and compares the outcomes. */
export class TraceCommand extends CtlCommand {
  public static override paths = [['trace']]
  public static override usage = Command.Usage({
    description: 'Replay a recorded trace and list each outcome that differs from the recorded one.',
    details: 'Exits with 7 when an outcome differs.'
  })

  public readonly file = Option.String()

  protected async runCommand (): Promise<CtlReport> {
    let text: string
    try {
      text = readFileSync(this.file, 'utf8')
    } catch (error) {
      return invalidReport([{ place: this.file, problem: (error as Error).message, expected: 'a readable file' }])
    }
    const findings = TraceReplay.run(text, PART_FACTORIES)
    const lines = text.split('\n').filter(line => line !== '').length
    if (findings.length === 0) return { exit: CTL_EXIT_CODES.ok, text: `${lines} lines, all outcomes as recorded`, json: { type: 'ok', lines } }
    return { exit: CTL_EXIT_CODES.differs, text: renderFindings(findings), json: { type: 'differs', lines, findings } }
  }
}
