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
  private slowdown = 1
  private ran = 0
  private readonly running = new Set<Run>()
  private readonly waiting: Run[] = []

  public constructor (
    private readonly clock: VirtualClock,
    private readonly random: Random,
    public readonly slots: number
  ) {}

  /** Calls inside, running or waiting. */
  public get load (): number {
    return this.running.size + this.waiting.length
  }

  /** Factor by which work takes longer now, cold start included. */
  public get workFactor (): number {
    return this.slowdown * this.coldNow()
  }

  /** @param done Called once, unless the upstream is lost. */
  public start (done: (ok: boolean, serviceMs: number) => void): void {
    const workMs = this.behaviour === 'failing' ? FAIL_FAST_MS : this.drawWork() * this.coldNow()
    this.ran += 1
    const run: Run = { remainingMs: workMs, sinceMs: 0, startedMs: this.clock.nowMs, timer: undefined, done }
    if (this.running.size < this.slots) {
      this.begin(run)
    } else {
      this.waiting.push(run)
    }
  }

  /** @param factor Factor by which all work takes longer from now on. */
  public slowDown (factor: number): void {
    for (const run of this.running) {
      run.remainingMs -= (this.clock.nowMs - run.sinceMs) / this.slowdown
    }
    this.slowdown = factor
    for (const run of this.running) {
      this.schedule(run)
    }
  }

  /** Starts anew and cold. */
  public restart (coldFactor: number, coldCalls: number): void {
    this.coldFactor = coldFactor
    this.coldCalls = coldCalls
    this.ran = 0
  }

  private begin (run: Run): void {
    this.running.add(run)
    this.schedule(run)
  }

  private schedule (run: Run): void {
    if (run.timer !== undefined) {
      this.clock.cancel(run.timer)
    }
    run.sinceMs = this.clock.nowMs
    run.timer = this.clock.after(run.remainingMs * this.slowdown, () => this.finish(run))
  }

  private finish (run: Run): void {
    this.running.delete(run)
    const next = this.waiting.shift()
    if (next !== undefined) {
      this.begin(next)
    }
    if (this.behaviour !== 'lost') {
      run.done(this.behaviour === 'up', this.clock.nowMs - run.startedMs)
    }
  }

  private coldNow (): number {
    if (this.ran >= this.coldCalls) {
      return 1
    }
    return this.coldFactor + (1 - this.coldFactor) * this.ran / this.coldCalls
  }

  private drawWork (): number {
    const first = Math.max(1e-12, this.random.next())
    const normal = Math.sqrt(-2 * Math.log(first)) * Math.cos(2 * Math.PI * this.random.next())
    return MEAN_WORK_MS * Math.exp(WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2)
  }
}
