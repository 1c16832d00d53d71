#!/usr/bin/env node
/**
 * Runs a demo: a mesh of separate processes on loopback, scaled down from an example deployment. With `--stay` the mesh
 * runs until SIGINT or SIGTERM, to try commands by hand.
 */
import { mkdirSync, mkdtempSync } from 'node:fs'
import { join } from 'node:path'
import { Builtins, Cli, Command, Option } from 'clipanion'
import { Demo } from '../demo/Demo.js'
import { DEMO_PLANS } from '../demo/DemoPlans.js'
import { EXIT_CODES } from '../runtime/DaemonProgram.js'
import { packageVersion } from '../runtime/PackageVersion.js'

const RUN_FOLDER = 'run'

class DemoCommand extends Command {
  public static override paths = [Command.Default]
  public static override usage = Command.Usage({
    description: 'Run a demo mesh of separate processes on loopback.',
    details: 'Exits with 0 when each caller got its own complete answer and nothing was lost or duplicated, and 1 otherwise.'
  })

  public readonly example = Option.String('--example', 'kagamino', {
    description: `One of ${Object.keys(DEMO_PLANS).join(', ')}.`
  })

  public readonly stay = Option.Boolean('--stay', false, { description: 'Keep the mesh running until SIGINT.' })

  public readonly faults = Option.Boolean('--faults', false, {
    description: 'Inject faults while calls run, instead of the run without faults.'
  })

  public async execute (): Promise<number> {
    const plan = DEMO_PLANS[this.example]
    if (plan === undefined) {
      this.context.stderr.write(`unknown example ${this.example}; expected one of ${Object.keys(DEMO_PLANS).join(', ')}\n`)
      return EXIT_CODES.badSettings
    }
    mkdirSync(RUN_FOLDER, { recursive: true })
    const demo = new Demo(plan, mkdtempSync(join(RUN_FOLDER, 'demo-')))
    try {
      return await this._run(demo)
    } catch (error) {
      this._printProgress((error as Error).message)
      return EXIT_CODES.failed
    }
  }

  private async _run (demo: Demo): Promise<number> {
    if (this.stay) {
      const ended = new Promise<void>(resolve => { process.once('SIGINT', resolve).once('SIGTERM', resolve) })
      await demo.keepRunning(line => { this._printProgress(line) }, ended)
      return EXIT_CODES.ok
    }
    if (this.faults) {
      const summaries = await demo.runFaults(line => { this._printProgress(line) })
      this.context.stdout.write(`${JSON.stringify(summaries, null, 2)}\n`)
      return summaries.every(({ kept }) => kept) ? EXIT_CODES.ok : EXIT_CODES.failed
    }
    const summary = await demo.run(line => { this._printProgress(line) })
    this.context.stdout.write(`${JSON.stringify(summary, null, 2)}\n`)
    return summary.whole ? EXIT_CODES.ok : EXIT_CODES.failed
  }

  private _printProgress (line: string): void {
    this.context.stderr.write(`${line}\n`)
  }
}

const cli = new Cli({ binaryName: 'sassafras-demo', binaryLabel: 'sassafras-demo', binaryVersion: packageVersion() })
cli.register(DemoCommand)
cli.register(Builtins.HelpCommand)
cli.register(Builtins.VersionCommand)
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext)
