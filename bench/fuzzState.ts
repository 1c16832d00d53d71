import { Cli, Command, Option } from 'clipanion'
import fc from 'fast-check'
import { followerProperty } from './fuzz/FollowerSimulation.js'
import { membershipProperty } from './fuzz/MembershipSimulation.js'
import { permitProperty } from './fuzz/PermitSimulation.js'

const DEFAULT_SECONDS = '30'
const MAX_RUNS = 1_000_000_000
const MS_PER_SECOND = 1_000
const SEED_RANGE = 2 ** 31

/** Properties by their names on the command line. */
const PROPERTIES = {
  configuration: followerProperty,
  membership: membershipProperty,
  records: permitProperty
}

type PropertyName = keyof typeof PROPERTIES

/** Runs random schedules on the parts for configuration, membership and records until the time limit of each. */
class FuzzStateCommand extends Command {
  public static override paths = [Command.Default]

  private readonly _seconds = Option.String('--seconds', DEFAULT_SECONDS, { description: 'for each part' })
  private readonly _seed = Option.String('--seed')
  private readonly _part = Option.String('--part', { description: Object.keys(PROPERTIES).join(', ') })
  private readonly _replay = Option.String('--replay', { description: 'path of a counterexample, with its seed and part' })

  public override async execute (): Promise<number> {
    const names = Object.keys(PROPERTIES) as PropertyName[]
    const chosen = names.filter((name) => this._part === undefined || this._part === name)
    const failed = chosen.filter((name) => !this._search(name))
    return failed.length
  }

  private _search (name: PropertyName): boolean {
    const seed = this._seed === undefined ? Date.now() % SEED_RANGE : Number(this._seed)
    const details = fc.check<unknown[]>(PROPERTIES[name]() as fc.IProperty<unknown[]>, {
      seed,
      numRuns: MAX_RUNS,
      interruptAfterTimeLimit: Number(this._seconds) * MS_PER_SECOND,
      markInterruptAsFailure: false,
      ...(this._replay === undefined ? {} : { path: this._replay })
    })
    this.context.stdout.write(`${name}, seed ${seed}: ${details.numRuns} schedules\n`)
    if (details.failed) {
      const path = details.counterexamplePath ?? ''
      const text = JSON.stringify(details.counterexample)
      this.context.stdout.write(`${String(details.errorInstance)}\n--part ${name} --seed ${seed} --replay ${path}\n${text}\n`)
    }
    return !details.failed
  }
}

await Cli.from([FuzzStateCommand]).runExit(process.argv.slice(2))
