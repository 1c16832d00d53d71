import { Builtins, Cli } from 'clipanion'
import type { BaseContext, Command } from 'clipanion'
import { packageVersion } from '../runtime/PackageVersion.js'
import { ApplyCommand } from './ApplyCommand.js'
import { CheckCommand } from './CheckCommand.js'
import { DiffCommand } from './DiffCommand.js'
import { CTL_EXIT_CODES } from './ExitCodes.js'
import { ExplainCommand } from './ExplainCommand.js'
import { GetCommand } from './GetCommand.js'
import { MembersCommand } from './MembersCommand.js'
import { DrainCommand, DumpCommand, ResumeCommand } from './ProcessCommands.js'
import { TraceCommand } from './TraceCommand.js'

const COMMANDS = [
  ApplyCommand,
  CheckCommand,
  DiffCommand,
  DrainCommand,
  DumpCommand,
  ExplainCommand,
  GetCommand,
  MembersCommand,
  ResumeCommand,
  TraceCommand
]

/** The command-line program `sassafrasctl` for operators. */
export class CtlProgram {
  private readonly _cli: Cli

  /** Registers all commands. */
  public constructor () {
    this._cli = new Cli({ binaryName: 'sassafrasctl', binaryLabel: 'sassafrasctl', binaryVersion: packageVersion() })
    for (const command of COMMANDS) this._cli.register(command)
    this._cli.register(Builtins.HelpCommand)
    this._cli.register(Builtins.VersionCommand)
  }

  /**
   * Runs one command.
   * @param args Arguments after the program's name.
   * @param context Streams in place of those of this process.
   * @returns One of `CTL_EXIT_CODES`.
   */
  public async run (args: readonly string[], context: Partial<BaseContext> = {}): Promise<number> {
    const fullContext = { ...Cli.defaultContext, ...context }
    let command: Command
    try {
      command = this._cli.process([...args], fullContext)
    } catch (error) {
      fullContext.stderr.write(this._cli.error(error))
      return CTL_EXIT_CODES.invalid
    }
    return await this._cli.run(command, fullContext)
  }
}
