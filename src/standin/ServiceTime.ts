import { readFileSync } from 'node:fs'
import type { Random } from '../parts/Types.js'
import type { TestUpstreamSettings } from './TestUpstreamSettings.js'

type Settings = TestUpstreamSettings['serviceTime']
type SettingsOfKind<K extends Settings['kind']> = Extract<Settings, { kind: K }>
type Sampler = () => number

const SAMPLER_FACTORIES: { readonly [K in Settings['kind']]: (settings: SettingsOfKind<K>, random: Random) => Sampler } = {
  constant: ({ ms }) => () => ms,
  exponential: ({ meanMs }, random) => () => -Math.log(1 - random.next()) * meanMs,
  trace: ({ file }) => createTraceSampler(file)
}

/** Draws the service time of each run, longer for the first runs of a cold start. Holds the trace in memory. */
export class ServiceTime {
  private readonly _sample: Sampler
  private readonly _coldStart: TestUpstreamSettings['coldStart']
  private _runs = 0

  /**
   * @param settings Distribution of the times.
   * @param coldStart Number of slow first runs, and their initial factor.
   * @param random Random numbers of the exponential distribution.
   */
  public constructor (settings: Settings, coldStart: TestUpstreamSettings['coldStart'], random: Random) {
    this._sample = createSampler(settings, random)
    this._coldStart = coldStart
  }

  /**
   * Returns the service time of the next run in milliseconds.
   * @param slowFactor Factor on the time.
   */
  public nextMs (slowFactor: number): number {
    const cold = this._coldFactor()
    this._runs++
    return this._sample() * slowFactor * cold
  }

  private _coldFactor (): number {
    const { requests, factor } = this._coldStart
    if (this._runs >= requests) return 1
    return factor - (factor - 1) * this._runs / requests
  }
}

function createSampler (settings: Settings, random: Random): Sampler {
  const make = SAMPLER_FACTORIES[settings.kind] as (settings: Settings, random: Random) => Sampler
  return make(settings, random)
}

function createTraceSampler (file: string): Sampler {
  const times = readFileSync(file, 'utf8').split('\n').filter(line => line.trim() !== '').map(Number)
  if (times.length === 0 || times.some(time => !(time >= 0))) {
    throw new RangeError(`${file}: expected one service time in milliseconds on each line`)
  }
  let next = 0
  return () => {
    const time = times[next] ?? 0
    next = (next + 1) % times.length
    return time
  }
}
