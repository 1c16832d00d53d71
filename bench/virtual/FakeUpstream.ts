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

interface SimulatedCall {
  remainingMs: number
  scheduledAtMs: number
  readonly arrivedAtMs: number
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
  private _startedCalls = 0
  private readonly _running = new Set<SimulatedCall>()
  private readonly _queue: SimulatedCall[] = []

  public constructor (
    private readonly _clock: VirtualClock,
    private readonly _random: Random,
    public readonly slots: number
  ) {}

  /** Calls inside, running or waiting. */
  public get load (): number {
    return this._running.size + this._queue.length
  }

  /** Factor by which work takes longer now, cold start included. */
  public get slownessFactor (): number {
    return this._slowdown * this._currentColdFactor()
  }

  /** @param done Called once, unless the upstream is lost. */
  public start (done: (ok: boolean, serviceMs: number) => void): void {
    const workMs = this.behaviour === 'failing' ? FAIL_FAST_MS : this._sampleWorkMs() * this._currentColdFactor()
    this._startedCalls += 1
    const call: SimulatedCall = {
      remainingMs: workMs, scheduledAtMs: 0, arrivedAtMs: this._clock.nowMs, timer: undefined, done
    }
    if (this._running.size < this.slots) {
      this._begin(call)
    } else {
      this._queue.push(call)
    }
  }

  /** @param factor Factor by which all work takes longer from now on. */
  public slowDown (factor: number): void {
    for (const call of this._running) {
      call.remainingMs -= (this._clock.nowMs - call.scheduledAtMs) / this._slowdown
    }
    this._slowdown = factor
    for (const call of this._running) {
      this._schedule(call)
    }
  }

  /** Starts anew and cold. */
  public restart (coldFactor: number, coldCalls: number): void {
    this.coldFactor = coldFactor
    this.coldCalls = coldCalls
    this._startedCalls = 0
  }

  private _begin (call: SimulatedCall): void {
    this._running.add(call)
    this._schedule(call)
  }

  private _schedule (call: SimulatedCall): void {
    if (call.timer !== undefined) {
      this._clock.cancel(call.timer)
    }
    call.scheduledAtMs = this._clock.nowMs
    call.timer = this._clock.after(call.remainingMs * this._slowdown, () => this._finish(call))
  }

  private _finish (call: SimulatedCall): void {
    this._running.delete(call)
    const next = this._queue.shift()
    if (next !== undefined) {
      this._begin(next)
    }
    if (this.behaviour !== 'lost') {
      call.done(this.behaviour === 'up', this._clock.nowMs - call.arrivedAtMs)
    }
  }

  private _currentColdFactor (): number {
    if (this._startedCalls >= this.coldCalls) {
      return 1
    }
    return this.coldFactor + (1 - this.coldFactor) * this._startedCalls / this.coldCalls
  }

  private _sampleWorkMs (): number {
    const first = Math.max(1e-12, this._random.next())
    const normal = Math.sqrt(-2 * Math.log(first)) * Math.cos(2 * Math.PI * this._random.next())
    return MEAN_WORK_MS * Math.exp(WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2)
  }
}
