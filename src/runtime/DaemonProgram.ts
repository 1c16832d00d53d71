/** The command line shared by all daemons: one TOML settings file, `--check`, `--help` and `--version`. */
import { Builtins, Cli, Command, Option } from 'clipanion'
import type { z } from 'zod'
import { packageVersion } from './PackageVersion.js'
import { renderFindings, SettingsFile } from './SettingsFile.js'

/** Exit codes of the daemons. */
export const EXIT_CODES = {
  ok: 0,
  /** The daemon failed to start or failed while it ran. */
  failed: 1,
  /** The settings or the value of an option are invalid; the problem is on standard error. */
  badSettings: 2
} as const

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const

/** Signal on which a daemon writes its state to standard output, as one JSON line among those of its log. */
export const DUMP_SIGNAL = 'SIGUSR2'

/** A started daemon. */
export interface RunningDaemon {
  /** Shuts down gracefully: finishes work in flight first. The process then exits with 0. */
  stop (): Promise<void>
  /** Resolves when the daemon has ended without a stop signal; rejects when it failed. */
  readonly ended?: Promise<void>
  /** Returns a bounded dump of the state, without bodies or secrets; called on `DUMP_SIGNAL`. */
  state? (): object
}

/** Name, settings and start function of a daemon. */
export interface DaemonSpec<Schema extends z.ZodType> {
  /** Name of the binary. */
  readonly name: string
  readonly description: string
  readonly schema: Schema
  /** Starts the daemon; an error is printed to standard error and ends the process with `EXIT_CODES.failed`. */
  start (settings: z.output<Schema>, file: string): Promise<RunningDaemon>
}

/** Runs a daemon from the command line until it ends or SIGTERM or SIGINT stops it. */
export class DaemonProgram<Schema extends z.ZodType> {
  private readonly _spec: DaemonSpec<Schema>

  /**
   * @param spec The daemon to run.
   */
  public constructor (spec: DaemonSpec<Schema>) {
    this._spec = spec
  }

  /**
   * Parses the arguments, runs the daemon and exits the process with one of `EXIT_CODES`.
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
          ['Check the settings without running', `${spec.name} --settings settings.toml --check`]
        ]
      })

      public readonly file = Option.String('--settings,-s', { required: true, description: 'TOML file with the settings.' })
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
    // Exits explicitly: sockets that a library keeps open would keep the process alive.
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
