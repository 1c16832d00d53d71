import { AdmissionController } from '../../src/parts/admission/AdmissionController.js'
import type { AdmissionAction, AdmissionEvent } from '../../src/parts/admission/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import type { CallId, CallKind, Part, Random } from '../../src/parts/Types.js'
import { quantile } from '../BenchReport.js'
import { EventQueue } from './EventQueue.js'
import { Instance } from './Instance.js'
import { UnboundedQueue } from './UnboundedQueue.js'

/** Share of calls and mean service time of one kind of work. */
interface Work {
  readonly kind: CallKind
  readonly share: number
  readonly meanMs: number
  readonly deadlineMs: number
}

/** One call as its caller sees it, over all its attempts. */
interface Wanted {
  readonly work: Work
  readonly firstAtMs: number
  readonly deadlineAtMs: number
  attempts: number
  answered: boolean
}

/** One overload scenario. */
export interface OverloadScenario {
  readonly name: string
  readonly slots: number
  /** First attempts as a share of capacity. */
  readonly load: number
  readonly work: readonly Work[]
}

/** What one run gave. */
export interface OverloadResult {
  /** Work ended within its callers' deadlines, as a share of capacity. */
  readonly goodput: number
  /** Calls answered in time as a share of first attempts. */
  readonly answered: number
  /** Lookups, from the arrival of the attempt that was admitted to its end. */
  readonly admittedP50Ms: number
  readonly admittedP99Ms: number
  /** 99th percentile of lookups from a caller's first attempt to its answer. */
  readonly callerP99Ms: number
  /** Guarded calls answered in time, as a share of them; 1 when there are none. */
  readonly guardedAnswered: number
  readonly downloadsAnswered: number
  readonly attemptsPerCall: number
  /** Longest time from arrival to a refusal. */
  readonly slowestRefusalMs: number
}

/** Admissions that are compared. */
export const ADMISSIONS = ['controller', 'unboundedQueue'] as const

const WARM_UP_MS = 2000

const END_MS = 22_000

const MAX_ATTEMPTS = 4

/** How long a caller without an answer waits before it sends again, to a queue that never refuses. */
const CALLER_TIMEOUT_SHARE = 0.5

type AdmissionMaker = (slots: number, random: Random) => Part<AdmissionEvent, AdmissionAction>

const MAKERS: { readonly [A in typeof ADMISSIONS[number]]: AdmissionMaker } = {
  controller: (slots, random) => new AdmissionController(random, { slots }),
  unboundedQueue: slots => new UnboundedQueue(slots)
}

/** One admission under more calls than its slots serve, with callers that come back when they are refused. */
export class Overload {
  private readonly _scenario: OverloadScenario
  private readonly _random: Random
  private readonly _clock = new EventQueue()
  private readonly _instance: Instance
  private readonly _admittedMs: number[] = []
  private readonly _callerMs: number[] = []
  private readonly _firstOf = countsByKind()
  private readonly _answeredOf = countsByKind()
  private _usefulMs = 0
  private _attempts = 0
  private _slowestRefusalMs = 0

  /**
   * @param scenario What comes in.
   * @param admission Which admission stands before the slots.
   * @param seed Seed of arrivals, service times and of the admission's own random numbers.
   */
  public constructor (scenario: OverloadScenario, admission: typeof ADMISSIONS[number], seed: number) {
    this._scenario = scenario
    this._random = new SeededRandom(seed)
    this._instance = new Instance(this._clock, MAKERS[admission](scenario.slots, new SeededRandom(seed + 1000)))
  }

  /** Runs the scenario to its end. */
  public run (): OverloadResult {
    const meanMs = this._scenario.work.reduce((sum, work) => sum + work.share * work.meanMs, 0)
    this._nextArrival(meanMs / (this._scenario.slots * this._scenario.load))
    this._clock.runUntil(END_MS)
    const admitted = this._admittedMs.sort((a, b) => a - b)
    const caller = this._callerMs.sort((a, b) => a - b)
    const first = sumOf(this._firstOf)
    return {
      goodput: this._usefulMs / ((END_MS - WARM_UP_MS) * this._scenario.slots),
      answered: sumOf(this._answeredOf) / first,
      admittedP50Ms: quantile(admitted, 0.5),
      admittedP99Ms: quantile(admitted, 0.99),
      callerP99Ms: quantile(caller, 0.99),
      guardedAnswered: this._answeredShare('guarded'),
      downloadsAnswered: this._answeredShare('download'),
      attemptsPerCall: this._attempts / first,
      slowestRefusalMs: this._slowestRefusalMs
    }
  }

  private _nextArrival (gapMs: number): void {
    this._clock.at(this._clock.nowMs + this._exponential(gapMs), () => {
      const firstAtMs = this._clock.nowMs
      const work = this._pickWork()
      this._firstOf[work.kind] += this._counts() ? 1 : 0
      this._attempt({ work, firstAtMs, deadlineAtMs: firstAtMs + work.deadlineMs, attempts: 0, answered: false })
      this._nextArrival(gapMs)
    })
  }

  private _attempt (wanted: Wanted): void {
    const arrivedAtMs = this._clock.nowMs
    wanted.attempts++
    this._attempts += this._counts() ? 1 : 0
    let settled = false
    const call = this._instance.arrive(wanted.work.kind, wanted.deadlineAtMs, {
      started: call => {
        settled = true
        this._serve(call, wanted, arrivedAtMs)
      },
      refused: (_reason, retryAfterMs) => {
        settled = true
        this._slowestRefusalMs = Math.max(this._slowestRefusalMs, this._clock.nowMs - arrivedAtMs)
        this._comeBack(wanted, retryAfterMs)
      }
    })
    this._clock.at(arrivedAtMs + wanted.work.deadlineMs * CALLER_TIMEOUT_SHARE, () => {
      if (!settled) {
        this._instance.cancel(call)
        this._comeBack(wanted, 0)
      }
    })
  }

  private _comeBack (wanted: Wanted, afterMs: number): void {
    const atMs = this._clock.nowMs + afterMs
    if (atMs < wanted.deadlineAtMs && wanted.attempts < MAX_ATTEMPTS) {
      this._clock.at(atMs, () => this._attempt(wanted))
    }
  }

  private _serve (call: CallId, wanted: Wanted, arrivedAtMs: number): void {
    const serviceMs = this._exponential(wanted.work.meanMs)
    this._clock.at(this._clock.nowMs + serviceMs, () => {
      this._instance.finish(call, 'ok')
      if (this._counts()) {
        if (wanted.work.kind === 'lookup') {
          this._admittedMs.push(this._clock.nowMs - arrivedAtMs)
        }
        this._answer(wanted, serviceMs)
      }
    })
  }

  private _answer (wanted: Wanted, serviceMs: number): void {
    if (!wanted.answered && this._clock.nowMs <= wanted.deadlineAtMs) {
      wanted.answered = true
      this._usefulMs += serviceMs
      this._answeredOf[wanted.work.kind]++
      if (wanted.work.kind === 'lookup') {
        this._callerMs.push(this._clock.nowMs - wanted.firstAtMs)
      }
    }
  }

  private _answeredShare (kind: CallKind): number {
    return this._firstOf[kind] === 0 ? 1 : this._answeredOf[kind] / this._firstOf[kind]
  }

  private _pickWork (): Work {
    let left = this._random.next()
    const work = this._scenario.work.find(each => (left -= each.share) < 0)
    return work ?? this._scenario.work[0] as Work
  }

  private _exponential (meanMs: number): number {
    return -meanMs * Math.log(1 - this._random.next())
  }

  private _counts (): boolean {
    return this._clock.nowMs >= WARM_UP_MS
  }
}

type Counts = { [K in CallKind]: number }

function countsByKind (): Counts {
  return { lookup: 0, guarded: 0, download: 0 }
}

function sumOf (counts: Counts): number {
  return counts.lookup + counts.guarded + counts.download
}
