/** Command line of the soak: runs the programs as processes on loopback, injects faults and checks their guarantees. */
import { mkdirSync, mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { Builtins, Cli, Command, Option } from 'clipanion'
import { drawSchedule } from './FaultSchedule.js'
import { Soak } from './Soak.js'
import type { Fault, SoakOutcome } from './Types.js'

const RUN_FOLDER = 'run'

/** First second octet of the loopback addresses, and how many of them there are; the process id selects one. */
const FIRST_NETWORK = 20
const NETWORK_COUNT = 200

const MS_PER_SECOND = 1000

/** Exit code after an interrupt, by the convention of shells: 128 + SIGINT. */
const EXIT_INTERRUPTED = 130

class SoakCommand extends Command {
  public static override paths = [Command.Default]
  public static override usage = Command.Usage({
    description: 'Run the programs under faults and check their guarantees.',
    details: 'Exits with 1 when a guarantee was violated; the seed, the schedule and the folder of the logs are printed then.'
  })

  public readonly seed = Option.String('--seed', '1', { description: 'First seed, an integer.' })
  public readonly seconds = Option.String('--seconds', '20', { description: 'Length of each soak, an integer.' })
  public readonly count = Option.String('--count', '1', { description: 'Number of soaks, each with the next seed.' })
  public readonly replay = Option.String('--replay', { description: 'Schedule file of an earlier soak, used instead of a random one.' })

  public async execute (): Promise<number> {
    const [seed, seconds, count] = [this.seed, this.seconds, this.count].map(Number) as [number, number, number]
    if (![seed, seconds, count].every(Number.isInteger)) {
      this.context.stderr.write(`--seed ${this.seed}, --seconds ${this.seconds} and --count ${this.count} must be integers\n`)
      return 2
    }
    let failedCount = 0
    for (let next = seed; next < seed + count; next++) failedCount += Number(!await this._runSoak(next, seconds))
    if (count > 1) this.context.stdout.write(`${count} soaks, ${failedCount} with a violated guarantee\n`)
    return Math.min(1, failedCount)
  }

  private async _runSoak (seed: number, seconds: number): Promise<boolean> {
    mkdirSync(RUN_FOLDER, { recursive: true })
    const folder = mkdtempSync(join(RUN_FOLDER, `soak-${seed}-`))
    const faults = this.replay === undefined
      ? drawSchedule(seed, seconds * MS_PER_SECOND)
      : JSON.parse(readFileSync(this.replay, 'utf8')) as Fault[]
    const schedulePath = join(folder, 'schedule.json')
    writeFileSync(schedulePath, JSON.stringify(faults, null, 1))
    const soak = new Soak(seed, faults, folder, FIRST_NETWORK + process.pid % NETWORK_COUNT)
    const interrupt = (): void => {
      soak.abort()
      process.exit(EXIT_INTERRUPTED)
    }
    process.once('SIGINT', interrupt)
    process.once('SIGTERM', interrupt)
    const outcome = await soak.run()
    process.off('SIGINT', interrupt)
    process.off('SIGTERM', interrupt)
    this._printOutcome(outcome, schedulePath)
    return outcome.violations.length === 0
  }

  private _printOutcome (outcome: SoakOutcome, schedulePath: string): void {
    const { seed, folder, requestCount, answered, refused, failed, runs, faults, violations } = outcome
    const { stdout } = this.context
    const verdict = violations.length === 0 ? 'kept' : 'VIOLATED'
    const counts = `${requestCount} requests, ${answered} answered, ${refused} refused, ${failed} failed, ${runs} runs`
    stdout.write(`seed ${seed}: guarantees ${verdict}; ${faults.length} faults, ${counts}\n`)
    for (const { rule, atMs, detail } of violations.slice(0, 10)) stdout.write(`  ${rule} at ${atMs} ms: ${detail}\n`)
    if (violations.length > 0) stdout.write(`  to replay: npm run soak -- --seed ${seed} --replay ${schedulePath}; logs in ${folder}\n`)
  }
}

const cli = new Cli({ binaryLabel: 'sassafraslead soak', binaryName: 'npm run soak --' })
cli.register(SoakCommand)
cli.register(Builtins.HelpCommand)
process.exitCode = await cli.run(process.argv.slice(2))
