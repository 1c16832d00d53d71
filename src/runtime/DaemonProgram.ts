/** The command line that all daemons share: one TOML file, `--check`, `--help` and `--version`. */
import { Builtins, Cli, Command, Option } from 'clipanion'
import type { z } from 'zod'
import { packageVersion } from './PackageVersion.js'
import { renderFindings, SettingsFile } from './SettingsFile.js'

/** Exit codes of the daemons. */
export const EXIT_CODES = {
  ok: 0,
  /** The process could not go on. */
  failed: 1,
  /** The command line or the settings are wrong; the findings are on standard error. */
  badSettings: 2
} as const

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const

/** Makes a daemon write its state to standard output, as one JSON line among those of its log. */
export const DUMP_SIGNAL = 'SIGUSR2'

/** A daemon that has started. */
export interface RunningDaemon {
  /** Stops in order; in-flight work is finished first. The process then exits with 0. */
  stop (): Promise<void>
  /** Resolves when the daemon has ended by itself, or rejects when it failed. */
  readonly ended?: Promise<void>
  /** A bounded dump of the state, without bodies or secrets; `DUMP_SIGNAL` asks for it. */
  state? (): object
}

/** What makes one daemon. */
export interface DaemonSpec<Schema extends z.ZodType> {
  /** Name of the binary. */
  readonly name: string
  readonly description: string
  readonly schema: Schema
  /** Starts the daemon; what it throws is told on standard error and ends the process. */
  start (settings: z.output<Schema>, file: string): Promise<RunningDaemon>
}

/** Runs a daemon from the command line of this process until a signal stops it. */
export class DaemonProgram<Schema extends z.ZodType> {
  private readonly _spec: DaemonSpec<Schema>

  /**
   * @param spec What the daemon is and how it starts.
   */
  public constructor (spec: DaemonSpec<Schema>) {
    this._spec = spec
  }

  /**
   * Parses the arguments, runs the daemon and ends the process with one of `EXIT_CODES`.
   * @param args Arguments after the program's name.
   */
  public async run (args: readonly string[]): Promise<void> {
    const runWithFile = (file: string, checkOnly: boolean): Promise<number> => this._runWithFile(file, checkOnly)
    const spec = this._spec

    class RunCommand extends Command {
      public static override paths = [Command.Default]
      public static override usage = Command.Usage({
        description: spec.description,
        examples: [
          ['Run with settings', `${spec.name} --settings settings.toml`],
          ['Only check the settings', `${spec.name} --settings settings.toml --check`]
        ]
      })

      public readonly file = Option.String('--settings,-s', { required: true, description: 'TOML file of the settings.' })
      public readonly check = Option.Boolean('--check', false, { description: 'Check the settings and exit.' })

      public async execute (): Promise<number> {
        return await runWithFile(this.file, this.check)
      }
    }

    const cli = new Cli({ binaryName: spec.name, binaryLabel: spec.name, binaryVersion: packageVersion() })
    cli.register(RunCommand)
    cli.register(Builtins.HelpCommand)
    cli.register(Builtins.VersionCommand)
    process.exitCode = await cli.run([...args], Cli.defaultContext)
    // Sockets that a library keeps open must not hold a process that has ended.
    process.exit()
  }

  private async _runWithFile (file: string, checkOnly: boolean): Promise<number> {
    const settings = new SettingsFile(file, this._spec.schema).load()
    if (!settings.ok) {
      process.stderr.write(`${renderFindings(settings.val)}\n`)
      return EXIT_CODES.badSettings
    }
    if (checkOnly) {
      process.stdout.write(`${file}: ok\n`)
      return EXIT_CODES.ok
    }
    return await this._runUntilStopped(settings.val, file)
  }

  private async _runUntilStopped (settings: z.output<Schema>, file: string): Promise<number> {
    const stopped = waitForStopSignal()
    try {
      const daemon = await this._spec.start(settings, file)
      process.on(DUMP_SIGNAL, () => { dumpState(this._spec.name, daemon) })
      await Promise.race([stopped, daemon.ended ?? stopped])
      await daemon.stop()
      return EXIT_CODES.ok
    } catch (error) {
      process.stderr.write(`${this._spec.name}: ${(error as Error).stack ?? String(error)}\n`)
      return EXIT_CODES.failed
    }
  }
}

function dumpState (name: string, daemon: RunningDaemon): void {
  const line = { process: name, msg: 'state', state: daemon.state?.() ?? {} }
  process.stdout.write(`${JSON.stringify(line)}\n`)
}

async function waitForStopSignal (): Promise<void> {
  await new Promise<void>(resolve => {
    for (const signal of STOP_SIGNALS) process.on(signal, () => { resolve() })
  })
}
