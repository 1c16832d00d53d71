#!/usr/bin/env node
/** Open-loop load generator: sends the calls of a TOML plan and audits the answers. */
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
    description: 'Send the calls of a plan and report how they ended.',
    details: 'Exits with 0 when no answer was wrong, no request was lost or duplicated, and none was falsely reported as ' +
      'not run; with 1 otherwise, and with 2 when the plan is invalid.',
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
