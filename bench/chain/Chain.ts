import { AdmissionController } from '../../src/parts/admission/AdmissionController.js'
import { Deadline } from '../../src/parts/retry/Deadline.js'
import type { RetryOptions } from '../../src/parts/retry/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import type { Disposition, Random, Reason } from '../../src/parts/Types.js'
import { quantile } from '../BenchReport.js'
import { EventQueue } from './EventQueue.js'
import { Instance } from './Instance.js'
import { RetryingClient } from './RetryingClient.js'
import type { Answer, SendAttempt } from './RetryingClient.js'

/** A fault of the last service of the chain. */
export interface ChainScenario {
  readonly name: string
  /** Fraction of the last service's calls that fail, from 0 to 1. */
  readonly failing: number
  /** Slowness of each instance of the last service (1 = usual). */
  readonly slowdown: readonly number[]
  /** Slots of each instance of the last service. */
  readonly leafSlots: number
  /** Fraction of the last service's calls that are delayed by `STALL_MS`, from 0 to 1. */
  readonly stalling: number
}

/** A retry policy to compare. */
export interface ChainPolicy {
  readonly name: string
  readonly options: Partial<RetryOptions>
  /** Whether calls to lower layers carry the information that a layer above them retries. */
  readonly signalsRetriesAbove: boolean
}

/** Figures of one run. */
export interface ChainResult {
  /** Attempts at the last service per call to the first one. */
  readonly leafAmplification: number
  /** Largest number of attempts at any one service per call to the first one. */
  readonly worstAmplification: number
  /** Fraction of the calls to the first service that succeed before their deadline. */
  readonly answered: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly hedgesPerCall: number
}

/** Number of services in the chain. */
const DEPTH = 7

/** Instances of each service. */
const INSTANCES = 3

/** Slots of each instance but those of the last service. */
const SLOTS = 24

/** Arrivals at the first service. */
const CALLS_PER_SECOND = 200

/** Mean service time of one service, without its nested call. */
const SERVICE_MS = 2

/** One-way network delay. */
const NETWORK_MS = 1

const DEADLINE_MS = 400

const STALL_MS = 150

const WARM_UP_MS = 2000

const END_MS = 17_000

/** Simulates a chain of services on a virtual clock. Each call to a service makes one nested call to the next one. */
export class Chain {
  private readonly _scenario: ChainScenario
  private readonly _policy: ChainPolicy
  private readonly _random: Random
  private readonly _clock = new EventQueue()
  private readonly _services: Instance[][] = []
  /** Clients by depth of the called service, then by instance of the calling one. */
  private readonly _clients: RetryingClient[][] = []
  private readonly _attempts = new Array<number>(DEPTH).fill(0)
  private readonly _latenciesMs: number[] = []
  private _measuredCalls = 0

  /**
   * @param scenario Fault of the last service.
   * @param policy Retry policy of every layer.
   * @param seed Seed of arrivals, service times, failures and the choice of instances.
   */
  public constructor (scenario: ChainScenario, policy: ChainPolicy, seed: number) {
    this._scenario = scenario
    this._policy = policy
    this._random = new SeededRandom(seed)
    for (let depth = 0; depth < DEPTH; depth++) {
      const slots = depth === DEPTH - 1 ? scenario.leafSlots : SLOTS
      this._services.push(Array.from({ length: INSTANCES }, (_, index) => new Instance(
        this._clock, new AdmissionController(new SeededRandom(seed + 100 * depth + index), { slots })
      )))
      this._clients.push(Array.from({ length: INSTANCES }, () => new RetryingClient(this._clock, policy.options)))
    }
  }

  /** Runs the simulation and returns its figures, without the calls of the warm-up. */
  public run (): ChainResult {
    this._scheduleArrival()
    this._clock.runUntil(END_MS)
    const sorted = this._latenciesMs.sort((a, b) => a - b)
    const hedges = this._clients.flat().reduce((sum, host) => sum + host.hedges, 0)
    return {
      leafAmplification: (this._attempts[DEPTH - 1] ?? 0) / this._measuredCalls,
      worstAmplification: Math.max(...this._attempts) / this._measuredCalls,
      answered: sorted.length / this._measuredCalls,
      p50Ms: quantile(sorted, 0.5),
      p99Ms: quantile(sorted, 0.99),
      hedgesPerCall: hedges / this._measuredCalls
    }
  }

  private _scheduleArrival (): void {
    this._clock.at(this._clock.nowMs + this._sampleExponential(1000 / CALLS_PER_SECOND), () => {
      const startMs = this._clock.nowMs
      const counted = startMs >= WARM_UP_MS
      this._measuredCalls += counted ? 1 : 0
      this._call(0, this._pickInstance(), startMs + DEADLINE_MS, counted, answer => {
        if (counted && answer.type === 'good') {
          this._latenciesMs.push(this._clock.nowMs - startMs)
        }
      })
      this._scheduleArrival()
    })
  }

  private _call (
    depth: number, caller: number, deadlineAtMs: number, counted: boolean, answered: (answer: Answer) => void
  ): () => void {
    const retriesAbove = depth > 0 && this._policy.signalsRetriesAbove
    const attempt: SendAttempt = (answer) => this._sendAttempt(depth, deadlineAtMs, counted, answer)
    return (this._clients[depth]?.[caller] as RetryingClient).call({ deadlineAtMs, retriesAbove, attempt, answered })
  }

  /** Sends one attempt to a random instance; returns a function that cancels it. */
  private _sendAttempt (
    depth: number, deadlineAtMs: number, counted: boolean, answer: (answer: Answer) => void
  ): () => void {
    const index = this._pickInstance()
    const instance = this._services[depth]?.[index] as Instance
    let cancel = (): void => {}
    let cancelled = false
    this._attempts[depth] = (this._attempts[depth] ?? 0) + (counted ? 1 : 0)
    const reply = (reply: Answer): void => this._clock.at(this._clock.nowMs + NETWORK_MS, () => answer(reply))
    this._clock.at(this._clock.nowMs + NETWORK_MS, () => {
      if (cancelled) {
        return
      }
      const call = instance.arrive('lookup', deadlineAtMs, {
        started: call => this._serve(depth, index, deadlineAtMs, counted, () => cancelled, result => {
          instance.finish(call, result.type === 'good' ? 'ok' : 'error')
          reply(result)
        }),
        refused: (reason, retryAfterMs) => reply(failure('not-run', reason, retryAfterMs))
      })
      cancel = () => instance.cancel(call)
    })
    return () => {
      cancelled = true
      this._clock.at(this._clock.nowMs + NETWORK_MS, () => cancel())
    }
  }

  private _serve (
    depth: number, index: number, deadlineAtMs: number, counted: boolean, cancelled: () => boolean,
    done: (answer: Answer) => void
  ): void {
    const leaf = depth === DEPTH - 1
    const slowness = leaf ? this._scenario.slowdown[index] ?? 1 : 1
    const stallMs = leaf && this._random.next() < this._scenario.stalling ? STALL_MS : 0
    this._clock.at(this._clock.nowMs + stallMs + this._sampleExponential(SERVICE_MS * slowness), () => {
      const nowMs = this._clock.nowMs
      if (leaf) {
        const failed = this._random.next() < this._scenario.failing
        done(failed ? failure('unknown', 'upstream-failed', 0) : { type: 'good' })
      } else if (cancelled()) {
        done(failure('unknown', 'cancelled', 0))
      } else {
        const nextDeadlineAtMs = nowMs + new Deadline(deadlineAtMs).forwardedMs(nowMs)
        this._call(depth + 1, index, nextDeadlineAtMs, counted, answer => {
          done(answer.type === 'good' ? answer : failure('unknown', 'upstream-failed', 0))
        })
      }
    })
  }

  private _pickInstance (): number {
    return Math.floor(this._random.next() * INSTANCES)
  }

  private _sampleExponential (meanMs: number): number {
    return -meanMs * Math.log(1 - this._random.next())
  }
}

function failure (disposition: Disposition, reason: Reason, retryAfterMs: number): Answer {
  return { type: 'failed', disposition, reason, retryAfterMs }
}
