import { readFileSync } from 'node:fs'
import { Builtins, Cli, Command, Option } from 'clipanion'
import { renderFindings, SettingsFile } from '../platform/SettingsFile.js'
import { ControlDaemon } from './ControlDaemon.js'
import { controlSettings, type ControlSettings } from './ControlSettings.js'

const EXIT_BAD_SETTINGS = 2
const EXIT_FAULT = 3

/** Runs a control replica until it is told to stop. */
class ControlCommand extends Command {
  public static override paths = [Command.Default]

  public static override usage = Command.Usage({
    description: 'run one control replica',
    details: 'The replica keeps its state in the data folder that the settings name. It stops on SIGTERM and SIGINT, and with status 3 when its disk fails to sync.',
    examples: [
      ['Run with settings', 'sassafras-control --settings control.toml'],
      ['Only check the settings', 'sassafras-control --settings control.toml --check']
    ]
  })

  private readonly _settingsFile = Option.String('--settings,-s', { required: true, description: 'TOML file' })
  private readonly _check = Option.Boolean('--check', false, { description: 'check the settings and end' })

  public override async execute (): Promise<number> {
    const outcome = new SettingsFile(this._settingsFile, controlSettings).load()
    if (!outcome.ok) {
      this.context.stderr.write(`${renderFindings(outcome.val)}\n`)
      return EXIT_BAD_SETTINGS
    }
    if (!this._check) return await run(outcome.val)
    this.context.stdout.write('the settings are sound\n')
    return 0
  }
}

/**
 * Runs the program.
 * @param args Arguments after the program's name.
 */
export async function runControlCommand (args: string[]): Promise<void> {
  const cli = new Cli({ binaryName: 'sassafras-control', binaryLabel: 'Control replica', binaryVersion: readVersion() })
  cli.register(ControlCommand)
  cli.register(Builtins.HelpCommand)
  cli.register(Builtins.VersionCommand)
  await cli.runExit(args)
}

async function run (settings: ControlSettings): Promise<number> {
  return await new Promise<number>((resolve, reject) => {
    const onFault = (error: Error): void => {
      process.stderr.write(`${JSON.stringify({ fault: error.message, stack: error.stack })}\n`)
      process.exit(EXIT_FAULT)
    }
    const daemon = new ControlDaemon(settings, onFault)
    const stop = (): void => { daemon.stop().then(() => resolve(0), reject) }
    process.once('SIGTERM', stop)
    process.once('SIGINT', stop)
    daemon.start().catch(onFault)
  })
}

function readVersion (): string {
  const file = new URL('../../../package.json', import.meta.url)
  return (JSON.parse(readFileSync(file, 'utf8')) as { readonly version: string }).version
}
