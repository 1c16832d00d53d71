/** Command line of the runs with planned stops: callers use open connections until a process is gone. */
import { mkdirSync, mkdtempSync } from 'node:fs'
import { join } from 'node:path'
import { Builtins, Cli, Command, Option } from 'clipanion'
import { StopRun } from './StopRun.js'

const RUN_FOLDER = 'run'

/** First second octet of the loopback addresses, and how many of them there are; the process id selects one. */
const FIRST_NETWORK = 20
const NETWORK_COUNT = 160

/** Violations that are printed. */
const MAX_PRINTED = 20

class StopsCommand extends Command {
  public static override paths = [Command.Default]
  public static override usage = Command.Usage({
    description: 'Stop nodes again and again and check that no answer is cut.',
    details: 'Exits with 1 when an answer was cut or a call was broken off; the seed and the folder of the logs are printed then.'
  })

  public readonly seed = Option.String('--seed', '1', { description: 'First seed, an integer.' })
  public readonly seconds = Option.String('--seconds', '30', { description: 'Length of each run.' })
  public readonly count = Option.String('--count', '1', { description: 'Number of runs, each with the next seed.' })
  public readonly callers = Option.String('--callers', '6', { description: 'Callers at each node.' })
  public readonly workMs = Option.String('--work-ms', '400', { description: 'Longest work of an instance, in milliseconds.' })
  public readonly answerBytes = Option.String('--answer-bytes', '262144', { description: 'Size of the large answers.' })
  public readonly pauseMs = Option.String('--pause-ms', '30', { description: 'Longest pause of a caller.' })
  public readonly readMs = Option.String('--read-ms', '500', { description: 'Time for which slow readers read an answer.' })

  public readonly programs = Option.String('--programs', 'dist', { description: 'Folder of the compiled programs.' })

  public async execute (): Promise<number> {
    let failed = 0
    const first = Number(this.seed)
    for (let seed = first; seed < first + Number(this.count); seed++) failed += Number(!await this._run(seed))
    return Math.min(1, failed)
  }

  private async _run (seed: number): Promise<boolean> {
    mkdirSync(RUN_FOLDER, { recursive: true })
    const folder = mkdtempSync(join(RUN_FOLDER, `stops-${seed}-`))
    const [workMs, answerBytes] = [Number(this.workMs), Number(this.answerBytes)]
    const traffic = { workMs, answerBytes, pauseMs: Number(this.pauseMs), readMs: Number(this.readMs) }
    const network = `127.${FIRST_NETWORK + process.pid % NETWORK_COUNT}.${1 + seed % 250}`
    const [seconds, callersPerNode] = [Number(this.seconds), Number(this.callers)]
    const run = new StopRun({ seed, seconds, folder, network, callersPerNode, traffic, programs: this.programs })
    const abort = (): void => {
      run.abort()
      process.exit(1)
    }
    process.once('SIGINT', abort)
    process.once('SIGTERM', abort)
    const { counts, stops, violations } = await run.run()
    process.off('SIGINT', abort)
    process.off('SIGTERM', abort)
    const { stdout } = this.context
    stdout.write(`seed ${seed}: ${stops} stops, ${JSON.stringify(counts)}, ${violations.length} violations\n`)
    for (const text of violations.slice(0, MAX_PRINTED)) stdout.write(`  ${text}\n`)
    if (violations.length > 0) stdout.write(`  logs in ${folder}\n`)
    return violations.length === 0
  }
}

const cli = new Cli({ binaryLabel: 'sassafraslead stops', binaryName: 'npm run stops --' })
cli.register(StopsCommand)
cli.register(Builtins.HelpCommand)
process.exitCode = await cli.run(process.argv.slice(2))
