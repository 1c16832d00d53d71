/** Command line of the histories: plays plans against real processes and judges what was seen of configurations. */
import { mkdirSync, mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { Builtins, Cli, Command, Option } from 'clipanion'
import { HistoryRun, KNOWN_FAULTS } from './HistoryRun.js'
import { drawPlan } from './HistorySchedule.js'
import { judgeHistory } from './Judge.js'
import type { History, HistoryFinding } from './Types.js'

const RUN_FOLDER = 'run'

/** First second octet of the loopback addresses, and how many of them there are; the process id selects one. */
const FIRST_NETWORK = 20
const NETWORK_COUNT = 200

const MS_PER_SECOND = 1000

/** Findings of a run that are printed. */
const PRINTED_FINDINGS = 8

/** Exit code after an interrupt, by the convention of shells: 128 + SIGINT. */
const EXIT_INTERRUPTED = 130

class HistoriesCommand extends Command {
  public static override paths = [Command.Default]
  public static override usage = Command.Usage({
    description: 'Play orders, reads and faults against real processes and judge the history by the promises on configurations.',
    details: `Exits with 1 when a promise was broken; the history is saved then. Known faults that can be left out: ${KNOWN_FAULTS.join(', ')}, or all for all of them.`
  })

  public readonly seed = Option.String('--seed', '1', { description: 'First seed, an integer.' })
  public readonly seconds = Option.String('--seconds', '20', { description: 'Length of each run, an integer.' })
  public readonly count = Option.String('--count', '1', { description: 'Number of runs, each with the next seed.' })
  public readonly without = Option.String('--without', '', { description: 'Known faults to leave out, with commas between them; or all.' })
  public readonly replay = Option.String('--replay', { description: 'Saved history that is judged again; nothing is started.' })

  public async execute (): Promise<number> {
    if (this.replay !== undefined) return this._print(JSON.parse(readFileSync(this.replay, 'utf8')) as History, this.replay)
    const [seed, seconds, count] = [this.seed, this.seconds, this.count].map(Number) as [number, number, number]
    if (![seed, seconds, count].every(Number.isInteger)) {
      this.context.stderr.write(`--seed ${this.seed}, --seconds ${this.seconds} and --count ${this.count} must be integers\n`)
      return 2
    }
    let failedCount = 0
    for (let next = seed; next < seed + count; next++) failedCount += await this._run(next, seconds)
    if (count > 1) this.context.stdout.write(`${count} histories, ${failedCount} with a broken promise\n`)
    return Math.min(1, failedCount)
  }

  private async _run (seed: number, seconds: number): Promise<number> {
    mkdirSync(RUN_FOLDER, { recursive: true })
    const folder = mkdtempSync(join(RUN_FOLDER, `history-${seed}-`))
    const network = `127.${FIRST_NETWORK + process.pid % NETWORK_COUNT}.${2 + seed % NETWORK_COUNT}`
    const plan = drawPlan(seed, seconds * MS_PER_SECOND)
    writeFileSync(join(folder, 'plan.json'), JSON.stringify(plan, null, 1))
    const run = new HistoryRun(plan, folder, network, this.without === 'all' ? KNOWN_FAULTS : this.without.split(','))
    // No process must outlive this one, also when an error ends it.
    const abort = (): void => run.abort()
    const interrupt = (): never => process.exit(EXIT_INTERRUPTED)
    process.once('exit', abort)
    process.once('SIGINT', interrupt)
    process.once('SIGTERM', interrupt)
    const history = await run.run()
    process.off('exit', abort)
    process.off('SIGINT', interrupt)
    process.off('SIGTERM', interrupt)
    const file = join(folder, 'history.json')
    writeFileSync(file, JSON.stringify(history))
    return this._print(history, file)
  }

  /** Prints the verdict and returns 1 when a promise was broken. */
  private _print (history: History, file: string): number {
    const findings = judgeHistory(history)
    const { seed, orders, attempts, reads, probes, processes, disturbances, delays } = history
    const acknowledged = new Set(attempts.filter(({ status }) => status === 200).map(({ order }) => order)).size
    const counts = `${processes.length} processes, ${disturbances.length} disturbances, ${orders.length} orders (${acknowledged} acknowledged), ${reads.length} reads, ${probes.length} probes, ${delays.length} delays`
    this.context.stdout.write(`seed ${seed}: promises ${findings.length === 0 ? 'kept' : 'BROKEN'}; ${counts}\n`)
    for (const finding of selectFindings(findings)) this.context.stdout.write(`  ${finding.rule} at ${finding.atMs} ms: ${finding.detail}\n`)
    if (findings.length > 0) this.context.stdout.write(`  ${findings.length} findings; to judge again: npm run histories -- --replay ${file}\n`)
    return Math.min(1, findings.length)
  }
}

/** Selects the first finding of each rule, and then others. */
function selectFindings (findings: readonly HistoryFinding[]): readonly HistoryFinding[] {
  const firsts = findings.filter((finding, index) => findings.findIndex(({ rule }) => rule === finding.rule) === index)
  return [...firsts, ...findings.filter(finding => !firsts.includes(finding))].slice(0, PRINTED_FINDINGS)
}

const cli = new Cli({ binaryLabel: 'sassafraslead histories', binaryName: 'npm run histories --' })
cli.register(HistoriesCommand)
cli.register(Builtins.HelpCommand)
process.exitCode = await cli.run(process.argv.slice(2))
