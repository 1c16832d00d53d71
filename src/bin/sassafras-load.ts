#!/usr/bin/env node
/** Open-loop load and experiments from a TOML plan. */
import { writeFileSync } from 'node:fs'
import { Builtins, Cli, Command, Option } from 'clipanion'
import { LatencyPlot } from '../load/LatencyPlot.js'
import { loadPlan } from '../load/LoadPlan.js'
import type { LoadPlan } from '../load/LoadPlan.js'
import { LoadRun } from '../load/LoadRun.js'
import { EXIT_CODES } from '../runtime/DaemonProgram.js'
import { packageVersion } from '../runtime/PackageVersion.js'
import { renderFindings, SettingsFile } from '../runtime/SettingsFile.js'

class LoadCommand extends Command {
  public static override paths = [Command.Default]
  public static override usage = Command.Usage({
    description: 'Sends the calls of a plan and tells what each caller got.',
    details: 'Exits with 0 when no answer was wrong, lost, doubled or falsely called not run, 1 when one was, ' +
      'and 2 when the plan is wrong.',
    examples: [['Run a plan', 'sassafras-load plan.toml']]
  })

  public readonly file = Option.String()
  public readonly check = Option.Boolean('--check', false, { description: 'Check the plan and exit.' })

  public async execute (): Promise<number> {
    const plan = new SettingsFile(this.file, loadPlan).load()
    if (!plan.ok) {
      this.context.stderr.write(`${renderFindings(plan.val)}\n`)
      return EXIT_CODES.badSettings
    }
    if (this.check) {
      this.context.stdout.write(`${this.file}: ok\n`)
      return EXIT_CODES.ok
    }
    return await this._runPlan(plan.val)
  }

  private async _runPlan (plan: LoadPlan): Promise<number> {
    const run = new LoadRun(plan, `load-${process.pid}-${Date.now().toString(36)}`)
    const summary = await run.run()
    const json = `${JSON.stringify(summary, null, 2)}\n`
    this.context.stdout.write(json)
    if (plan.summary !== undefined) writeFileSync(plan.summary, json)
    if (plan.plot !== undefined) {
      writeFileSync(plan.plot, new LatencyPlot(run.latencies(), plan.durationMs, this.file).render())
    }
    const { audit } = summary
    const faultCount = (audit?.lost ?? 0) + (audit?.doubled ?? 0) + (audit?.falseNotRun ?? 0)
    return summary.all.ends.wrong + faultCount === 0 ? EXIT_CODES.ok : EXIT_CODES.failed
  }
}

const cli = new Cli({ binaryName: 'sassafras-load', binaryLabel: 'sassafras-load', binaryVersion: packageVersion() })
cli.register(LoadCommand)
cli.register(Builtins.HelpCommand)
cli.register(Builtins.VersionCommand)
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext)
