import { SeededRandom } from '../parts/SeededRandom.js'
import type { LoadPlan, LoadStream } from './LoadPlan.js'
import type { PlannedCall } from './Types.js'

/** Distance between the seeds of two plans, which leaves room for a seed for each stream. */
const STREAM_SEED_STRIDE = 1009
const SKIPPED_DRAWS = 16

/** One stream with its random numbers and the time of its next call. */
interface ArrivalSource {
  readonly stream: LoadStream
  readonly random: SeededRandom
  nextMs: number
}

/** Draws the calls of a plan in the order in which they are due. The same seed gives the same calls. */
export class ArrivalSchedule {
  private readonly _plan: LoadPlan
  private readonly _runName: string
  private readonly _sources: ArrivalSource[]
  private _count = 0

  /**
   * @param plan Streams, duration and seed.
   * @param runName Prefix of the id of each call; must differ between runs against the same upstreams.
   */
  public constructor (plan: LoadPlan, runName: string) {
    this._plan = plan
    this._runName = runName
    this._sources = plan.streams.map((stream, index) => {
      const random = createStreamRandom(plan.seed, index)
      return { stream, random, nextMs: drawGapMs(stream, random) }
    })
  }

  /** When the next call is due, in milliseconds since the start; undefined after the last. */
  public get nextDueMs (): number | undefined {
    const due = this._earliestSource().nextMs
    return due < this._plan.durationMs ? due : undefined
  }

  /** Returns the next call and advances its stream. To be called only while `nextDueMs` is defined. */
  public take (): PlannedCall {
    const source = this._earliestSource()
    const { stream, random, nextMs } = source
    source.nextMs += drawGapMs(stream, random)
    const number = this._count++
    return {
      id: `${this._runName}-${number}`,
      number,
      stream,
      dueMs: nextMs,
      target: Math.floor(random.next() * this._plan.targets.length),
      sentTwice: stream.kind === 'guarded' && random.next() < stream.repeatShare
    }
  }

  private _earliestSource (): ArrivalSource {
    return this._sources.reduce((first, source) => source.nextMs < first.nextMs ? source : first)
  }
}

/** Skips the first random numbers, because those of neighbouring small seeds lie close together. */
function createStreamRandom (seed: number, index: number): SeededRandom {
  const random = new SeededRandom(seed * STREAM_SEED_STRIDE + index)
  for (let skipped = 0; skipped < SKIPPED_DRAWS; skipped++) random.next()
  return random
}

/** Draws an inter-arrival time of a Poisson process: independent callers arrive in small bursts. */
function drawGapMs (stream: LoadStream, random: SeededRandom): number {
  return -Math.log(1 - random.next()) * 1000 / stream.rate
}
