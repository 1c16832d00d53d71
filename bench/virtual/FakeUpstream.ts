import type { Random } from '../../src/parts/Types.js'
import type { Timer, VirtualClock } from './VirtualClock.js'

/** Mean service time of a lookup at normal speed. */
export const MEAN_WORK_MS = 5

/** Sigma of the log-normal distribution of service times. */
const WORK_SIGMA = 0.7

/** Service time of an error from a failing upstream. */
const FAIL_FAST_MS = 0.2

/** How a simulated upstream answers: normally (`up`), with quick errors (`failing`) or never again (`lost`). */
export type UpstreamBehaviour = 'up' | 'failing' | 'lost'

interface SimulatedCall {
  /** Work left at `scheduledAtMs`, in milliseconds at normal speed. */
  remainingMs: number
  scheduledAtMs: number
  readonly arrivedAtMs: number
  timer: Timer | undefined
  readonly done: (ok: boolean, serviceMs: number) => void
}

/**
 * A simulated upstream with a fixed number of slots and an unbounded FIFO queue. Service times are log-normal and
 * scale with a slowness that may change while calls run.
 */
export class FakeUpstream {
  public behaviour: UpstreamBehaviour = 'up'
  /** Slowness of the first call after a restart; it falls linearly to 1 over `coldCalls` calls. */
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

  /** Calls that are running or queued. */
  public get load (): number {
    return this._running.size + this._queue.length
  }

  /** Current slowness (1 = usual), including that of a cold start. */
  public get slownessFactor (): number {
    return this._slowdown * this._currentColdFactor()
  }

  /**
   * Runs a call, or queues it while all slots are taken.
   * @param done Called once when the call ends; never called while the upstream is lost.
   */
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

  /**
   * Changes the slowness, also for calls that are running.
   * @param factor 1 is normal speed; 2 doubles service times.
   */
  public slowDown (factor: number): void {
    for (const call of this._running) {
      call.remainingMs -= (this._clock.nowMs - call.scheduledAtMs) / this._slowdown
    }
    this._slowdown = factor
    for (const call of this._running) {
      this._schedule(call)
    }
  }

  /** Simulates a restart: the next `coldCalls` calls are slower, by `coldFactor` at first. */
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
