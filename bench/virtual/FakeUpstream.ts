import type { Random } from '../../src/parts/Types.js'
import type { Timer, VirtualClock } from './VirtualClock.js'

/** Mean work of one lookup in milliseconds at normal speed. */
export const MEAN_WORK_MS = 5

/** Spread of the work of lookups: sigma of the log-normal distribution. */
const WORK_SIGMA = 0.7

/** Time in which a failing upstream answers an error. */
const FAIL_FAST_MS = 0.2

/** How a fake upstream behaves; `lost` never answers again. */
export type UpstreamBehaviour = 'up' | 'failing' | 'lost'

interface Run {
  remainingMs: number
  sinceMs: number
  readonly startedMs: number
  timer: Timer | undefined
  readonly done: (ok: boolean, serviceMs: number) => void
}

/** The one fake upstream: slots, an inner queue, work drawn from a distribution, and a speed that may change. */
export class FakeUpstream {
  public behaviour: UpstreamBehaviour = 'up'
  /** Extra work of the calls after a cold start, as a factor that falls to 1 over `coldCalls`. */
  public coldFactor = 1
  public coldCalls = 0
  private _slowdown = 1
  private _ran = 0
  private readonly _running = new Set<Run>()
  private readonly _waiting: Run[] = []

  public constructor (
    private readonly _clock: VirtualClock,
    private readonly _random: Random,
    public readonly slots: number
  ) {}

  /** Calls inside, running or waiting. */
  public get load (): number {
    return this._running.size + this._waiting.length
  }

  /** Factor by which work takes longer now, cold start included. */
  public get workFactor (): number {
    return this._slowdown * this._coldNow()
  }

  /** @param done Called once, unless the upstream is lost. */
  public start (done: (ok: boolean, serviceMs: number) => void): void {
    const workMs = this.behaviour === 'failing' ? FAIL_FAST_MS : this._drawWork() * this._coldNow()
    this._ran += 1
    const run: Run = { remainingMs: workMs, sinceMs: 0, startedMs: this._clock.nowMs, timer: undefined, done }
    if (this._running.size < this.slots) {
      this._begin(run)
    } else {
      this._waiting.push(run)
    }
  }

  /** @param factor Factor by which all work takes longer from now on. */
  public slowDown (factor: number): void {
    for (const run of this._running) {
      run.remainingMs -= (this._clock.nowMs - run.sinceMs) / this._slowdown
    }
    this._slowdown = factor
    for (const run of this._running) {
      this._schedule(run)
    }
  }

  /** Starts anew and cold. */
  public restart (coldFactor: number, coldCalls: number): void {
    this.coldFactor = coldFactor
    this.coldCalls = coldCalls
    this._ran = 0
  }

  private _begin (run: Run): void {
    this._running.add(run)
    this._schedule(run)
  }

  private _schedule (run: Run): void {
    if (run.timer !== undefined) {
      this._clock.cancel(run.timer)
    }
    run.sinceMs = this._clock.nowMs
    run.timer = this._clock.after(run.remainingMs * this._slowdown, () => this._finish(run))
  }

  private _finish (run: Run): void {
    this._running.delete(run)
    const next = this._waiting.shift()
    if (next !== undefined) {
      this._begin(next)
    }
    if (this.behaviour !== 'lost') {
      run.done(this.behaviour === 'up', this._clock.nowMs - run.startedMs)
    }
  }

  private _coldNow (): number {
    if (this._ran >= this.coldCalls) {
      return 1
    }
    return this.coldFactor + (1 - this.coldFactor) * this._ran / this.coldCalls
  }

  private _drawWork (): number {
    const first = Math.max(1e-12, this._random.next())
    const normal = Math.sqrt(-2 * Math.log(first)) * Math.cos(2 * Math.PI * this._random.next())
    return MEAN_WORK_MS * Math.exp(WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2)
  }
}
