import { readFileSync, writeFileSync } from 'node:fs'
import { Cli, Command, Option } from 'clipanion'
import fc from 'fast-check'
import { DEFAULT_GROUP_HOOKS, type GroupHooks, GroupRun } from './fuzz/GroupRun.js'
import { fineSchedules, groupSchedules, type GroupSchedule } from './fuzz/GroupSchedule.js'

const DEFAULT_SECONDS = '30'
const MAX_RUNS = 1_000_000_000
const SEED_RANGE = 2 ** 31

/** Runs random schedules on the agreement part until the time limit or until an invariant is violated. */
class FuzzCommand extends Command {
  public static override paths = [Command.Default]

  private readonly _seconds = Option.String('--seconds', DEFAULT_SECONDS)
  private readonly _seed = Option.String('--seed')
  private readonly _lateMembers = Option.String('--late-members', '0', {
    description: 'members, fewer than half, that learn of their group only after its first commits'
  })

  private readonly _replay = Option.String('--replay', { description: 'file with a schedule that an earlier run wrote' })
  private readonly _out = Option.String('--out', 'fuzz-failure.json', { description: 'where a failing schedule goes' })

  public override async execute (): Promise<number> {
    return this._replay === undefined ? this._search() : this._replaySchedule(this._replay)
  }

  private _replaySchedule (file: string): number {
    new GroupRun(JSON.parse(readFileSync(file, 'utf8')) as GroupSchedule, this._hooks()).run()
    this.context.stdout.write('the schedule runs without a broken promise\n')
    return 0
  }

  private _hooks (): GroupHooks {
    return { ...DEFAULT_GROUP_HOOKS, lateMembers: Number(this._lateMembers) }
  }

  private _search (): number {
    const seed = this._seed === undefined ? Date.now() % SEED_RANGE : Number(this._seed)
    const property = fc.property(
      fc.oneof(groupSchedules, fineSchedules),
      schedule => new GroupRun(schedule, this._hooks()).run()
    )
    const details = fc.check(property, {
      seed, numRuns: MAX_RUNS, interruptAfterTimeLimit: Number(this._seconds) * 1000, markInterruptAsFailure: false
    })
    this.context.stdout.write(`seed ${seed}: ${details.numRuns} schedules\n`)
    if (!details.failed) return 0
    const [schedule] = details.counterexample!
    writeFileSync(this._out, JSON.stringify(schedule, undefined, 1))
    const error = details.errorInstance as Error | null
    this.context.stdout.write(`${error?.message ?? 'failed'}\nshrunk schedule in ${this._out}:\n${JSON.stringify(schedule)}\n`)
    return 1
  }
}

await Cli.from([FuzzCommand]).runExit(process.argv.slice(2))
