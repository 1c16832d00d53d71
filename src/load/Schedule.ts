import { SeededRandom } from '../parts/SeededRandom.js'
import type { LoadPlan, LoadStream } from './LoadPlan.js'
import type { PlannedCall } from './Types.js'

const STREAM_SEEDS = 1009
const SKIPPED_NUMBERS = 16

interface Source {
  readonly stream: LoadStream
  readonly random: SeededRandom
  nextMs: number
}

/** Draws the calls of a plan in the order in which they are due; the same seed gives the same calls. */
export class Schedule {
  private readonly plan: LoadPlan
  private readonly runName: string
  private readonly sources: Source[]
  private count = 0

  /**
   * @param plan Streams, duration and seed.
   * @param runName Starts the id of each call; must differ between runs against the same upstreams.
   */
  public constructor (plan: LoadPlan, runName: string) {
    this.plan = plan
    this.runName = runName
    this.sources = plan.streams.map((stream, index) => {
      const random = seedStream(plan.seed, index)
      return { stream, random, nextMs: gapMs(stream, random) }
    })
  }

  /** When the next call is due, in milliseconds since the start; undefined after the last. */
  public get nextDueMs (): number | undefined {
    const due = this.earliest().nextMs
    return due < this.plan.durationMs ? due : undefined
  }

  /** Takes the next call; to be called only while `nextDueMs` is defined. */
  public take (): PlannedCall {
    const source = this.earliest()
    const { stream, random, nextMs } = source
    source.nextMs += gapMs(stream, random)
    const number = this.count++
    return {
      id: `${this.runName}-${number}`,
      number,
      stream,
      dueMs: nextMs,
      target: Math.floor(random.next() * this.plan.targets.length),
      repeated: stream.kind === 'guarded' && random.next() < stream.repeatShare
    }
  }

  private earliest (): Source {
    return this.sources.reduce((first, source) => source.nextMs < first.nextMs ? source : first)
  }
}

/** The first numbers of neighbouring small seeds lie close together, so they are skipped. */
function seedStream (seed: number, index: number): SeededRandom {
  const random = new SeededRandom(seed * STREAM_SEEDS + index)
  for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped++) random.next()
  return random
}

/** Gaps of a Poisson process, so that calls come in small bursts as they do from people. */
function gapMs (stream: LoadStream, random: SeededRandom): number {
  return -Math.log(1 - random.next()) * 1000 / stream.rate
}
