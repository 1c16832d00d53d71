import { readFileSync } from 'node:fs'
import { Command, Option } from 'clipanion'
import { parse } from 'smol-toml'
import type { Finding } from '../parts/configuration/Types.js'
import { controlSettings } from '../control/ControlSettings.js'
import { loadPlan } from '../load/LoadPlan.js'
import { nodeSettings } from '../node/NodeSettings.js'
import { SettingsFile } from '../runtime/SettingsFile.js'
import type { Result } from '../runtime/Results.js'
import { testUpstreamSettings } from '../standin/TestUpstreamSettings.js'
import { ConfigurationFile } from './ConfigurationFile.js'
import { CtlCommand, invalidReport } from './CtlCommand.js'
import type { CtlReport } from './CtlCommand.js'
import { ctlSettings } from './CtlSettings.js'
import { CTL_EXIT_CODES } from './ExitCodes.js'

type Checker = (file: string) => Result<unknown, readonly Finding[]>

const CHECKERS: Readonly<Record<string, Checker>> = {
  configuration: file => new ConfigurationFile(file).load(),
  node: file => new SettingsFile(file, nodeSettings).load(),
  control: file => new SettingsFile(file, controlSettings).load(),
  upstream: file => new SettingsFile(file, testUpstreamSettings).load(),
  load: file => new SettingsFile(file, loadPlan).load(),
  ctl: file => new SettingsFile(file, ctlSettings).load()
}

/** Keys that identify the kind of a file; the first key that the file has decides. */
const DISTINCTIVE_KEYS: ReadonlyArray<readonly [key: string, kind: string]> = [
  ['measuring', 'configuration'],
  ['services', 'configuration'],
  ['streams', 'load'],
  ['dataFolder', 'control'],
  ['replicas', 'control'],
  ['journal', 'upstream'],
  ['instance', 'upstream'],
  ['listen', 'node'],
  ['processes', 'ctl'],
  ['timeoutMs', 'ctl']
]

/** `sassafrasctl check`: validates a configuration or settings file without running anything. */
export class CheckCommand extends CtlCommand {
  public static override paths = [['check']]
  public static override usage = Command.Usage({
    description: 'Check a configuration, or the settings of a program.',
    details: `Kinds: ${Object.keys(CHECKERS).join(', ')}. Exits with 2 and prints all findings when the file is invalid.`
  })

  public readonly file = Option.String()
  public readonly kind = Option.String('--kind', { description: 'Kind of the file; detected from its keys when omitted.' })

  protected async runCommand (): Promise<CtlReport> {
    const kind = this.kind ?? detectKind(this.file)
    const checker = CHECKERS[kind]
    if (checker === undefined) {
      const expected = `one of ${Object.keys(CHECKERS).join(', ')}`
      return invalidReport([{ place: '--kind', problem: `is "${kind}"`, expected }])
    }
    const outcome = checker(this.file)
    if (!outcome.ok) return invalidReport(outcome.val)
    return { exit: CTL_EXIT_CODES.ok, text: `${this.file}: ok (${kind})`, json: { type: 'ok', file: this.file, kind } }
  }
}

/**
 * Detects the kind of a file from its top-level keys. For a file that can't be read or parsed the kind doesn't matter:
 * every checker reports that.
 */
function detectKind (file: string): string {
  try {
    const document = parse(readFileSync(file, 'utf8'))
    return DISTINCTIVE_KEYS.find(([key]) => key in document)?.[1] ?? 'configuration'
  } catch {
    return 'configuration'
  }
}
