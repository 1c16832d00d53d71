import { AdmissionController } from '../../src/parts/admission/AdmissionController.js'
import type { AdmissionAction, AdmissionEvent } from '../../src/parts/admission/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import type { CallId, CallKind, Part, Random } from '../../src/parts/Types.js'
import { quantile } from '../BenchReport.js'
import { EventQueue } from './EventQueue.js'
import { Instance } from './Instance.js'
import { UnboundedQueue } from './UnboundedQueue.js'

/** A class of calls: its share of the arrivals, mean service time and timeout. */
interface WorkClass {
  readonly kind: CallKind
  readonly share: number
  readonly meanMs: number
  readonly deadlineMs: number
}

/** One request of a caller, over all its attempts. */
interface CallerRequest {
  readonly work: WorkClass
  readonly firstArrivalMs: number
  readonly deadlineAtMs: number
  attempts: number
  answered: boolean
}

/** One overload scenario. */
export interface OverloadScenario {
  readonly name: string
  readonly slots: number
  /** Offered load without retries, as a fraction of capacity. */
  readonly load: number
  readonly work: readonly WorkClass[]
}

/** Figures of one run. */
export interface OverloadResult {
  /** Work completed within its callers' deadlines, as a fraction of capacity. */
  readonly goodput: number
  /** Fraction of requests answered before their deadline. */
  readonly answered: number
  /** Latency of admitted lookup attempts, from arrival to completion. */
  readonly admittedP50Ms: number
  readonly admittedP99Ms: number
  /** 99th percentile of the time from a lookup's first attempt to its answer. */
  readonly callerP99Ms: number
  /** Fraction of at-most-once requests answered before their deadline; 1 when there are none. */
  readonly guardedAnswered: number
  /** The same for downloads. */
  readonly downloadsAnswered: number
  readonly attemptsPerCall: number
  /** Longest time from the arrival of an attempt to its refusal. */
  readonly slowestRefusalMs: number
}

/** Admission policies to compare. */
export const ADMISSIONS = ['controller', 'unboundedQueue'] as const

const WARM_UP_MS = 2000

const END_MS = 22_000

const MAX_ATTEMPTS = 4

/**
 * Time that a caller waits for an attempt to start before it retries, as a fraction of its timeout. The unbounded queue
 * never refuses, so its callers retry only for this reason.
 */
const CALLER_TIMEOUT_SHARE = 0.5

type AdmissionFactory = (slots: number, random: Random) => Part<AdmissionEvent, AdmissionAction>

const ADMISSION_FACTORIES: { readonly [A in typeof ADMISSIONS[number]]: AdmissionFactory } = {
  controller: (slots, random) => new AdmissionController(random, { slots }),
  unboundedQueue: slots => new UnboundedQueue(slots)
}

/** Simulates one upstream under overload, with callers that retry refused attempts and those that wait too long. */
export class Overload {
  private readonly _scenario: OverloadScenario
  private readonly _random: Random
  private readonly _clock = new EventQueue()
  private readonly _instance: Instance
  private readonly _admittedLatenciesMs: number[] = []
  private readonly _callerLatenciesMs: number[] = []
  private readonly _offeredByKind = countsByKind()
  private readonly _answeredByKind = countsByKind()
  private _usefulMs = 0
  private _attempts = 0
  private _slowestRefusalMs = 0

  /**
   * @param scenario Offered load.
   * @param admission Admission policy in front of the slots.
   * @param seed Seed of arrivals and service times, and of the admission policy.
   */
  public constructor (scenario: OverloadScenario, admission: typeof ADMISSIONS[number], seed: number) {
    this._scenario = scenario
    this._random = new SeededRandom(seed)
    this._instance = new Instance(
      this._clock, ADMISSION_FACTORIES[admission](scenario.slots, new SeededRandom(seed + 1000))
    )
  }

  /** Runs the simulation and returns its figures, without those of the warm-up. */
  public run (): OverloadResult {
    const meanMs = this._scenario.work.reduce((sum, work) => sum + work.share * work.meanMs, 0)
    this._scheduleArrival(meanMs / (this._scenario.slots * this._scenario.load))
    this._clock.runUntil(END_MS)
    const admitted = this._admittedLatenciesMs.sort((a, b) => a - b)
    const caller = this._callerLatenciesMs.sort((a, b) => a - b)
    const first = sumCounts(this._offeredByKind)
    return {
      goodput: this._usefulMs / ((END_MS - WARM_UP_MS) * this._scenario.slots),
      answered: sumCounts(this._answeredByKind) / first,
      admittedP50Ms: quantile(admitted, 0.5),
      admittedP99Ms: quantile(admitted, 0.99),
      callerP99Ms: quantile(caller, 0.99),
      guardedAnswered: this._answeredShare('guarded'),
      downloadsAnswered: this._answeredShare('download'),
      attemptsPerCall: this._attempts / first,
      slowestRefusalMs: this._slowestRefusalMs
    }
  }

  private _scheduleArrival (gapMs: number): void {
    this._clock.at(this._clock.nowMs + this._sampleExponential(gapMs), () => {
      const firstArrivalMs = this._clock.nowMs
      const work = this._pickWork()
      this._offeredByKind[work.kind] += this._isMeasuring() ? 1 : 0
      this._sendAttempt({
        work, firstArrivalMs, deadlineAtMs: firstArrivalMs + work.deadlineMs, attempts: 0, answered: false
      })
      this._scheduleArrival(gapMs)
    })
  }

  private _sendAttempt (request: CallerRequest): void {
    const arrivedAtMs = this._clock.nowMs
    request.attempts++
    this._attempts += this._isMeasuring() ? 1 : 0
    let settled = false
    const call = this._instance.arrive(request.work.kind, request.deadlineAtMs, {
      started: call => {
        settled = true
        this._serve(call, request, arrivedAtMs)
      },
      refused: (_reason, retryAfterMs) => {
        settled = true
        this._slowestRefusalMs = Math.max(this._slowestRefusalMs, this._clock.nowMs - arrivedAtMs)
        this._retryAfter(request, retryAfterMs)
      }
    })
    this._clock.at(arrivedAtMs + request.work.deadlineMs * CALLER_TIMEOUT_SHARE, () => {
      if (!settled) {
        this._instance.cancel(call)
        this._retryAfter(request, 0)
      }
    })
  }

  private _retryAfter (request: CallerRequest, afterMs: number): void {
    const atMs = this._clock.nowMs + afterMs
    if (atMs < request.deadlineAtMs && request.attempts < MAX_ATTEMPTS) {
      this._clock.at(atMs, () => this._sendAttempt(request))
    }
  }

  private _serve (call: CallId, request: CallerRequest, arrivedAtMs: number): void {
    const serviceMs = this._sampleExponential(request.work.meanMs)
    this._clock.at(this._clock.nowMs + serviceMs, () => {
      this._instance.finish(call, 'ok')
      if (this._isMeasuring()) {
        if (request.work.kind === 'lookup') {
          this._admittedLatenciesMs.push(this._clock.nowMs - arrivedAtMs)
        }
        this._recordAnswer(request, serviceMs)
      }
    })
  }

  private _recordAnswer (request: CallerRequest, serviceMs: number): void {
    if (!request.answered && this._clock.nowMs <= request.deadlineAtMs) {
      request.answered = true
      this._usefulMs += serviceMs
      this._answeredByKind[request.work.kind]++
      if (request.work.kind === 'lookup') {
        this._callerLatenciesMs.push(this._clock.nowMs - request.firstArrivalMs)
      }
    }
  }

  private _answeredShare (kind: CallKind): number {
    return this._offeredByKind[kind] === 0 ? 1 : this._answeredByKind[kind] / this._offeredByKind[kind]
  }

  private _pickWork (): WorkClass {
    let left = this._random.next()
    const work = this._scenario.work.find(each => (left -= each.share) < 0)
    return work ?? this._scenario.work[0] as WorkClass
  }

  private _sampleExponential (meanMs: number): number {
    return -meanMs * Math.log(1 - this._random.next())
  }

  private _isMeasuring (): boolean {
    return this._clock.nowMs >= WARM_UP_MS
  }
}

type CountsByKind = { [K in CallKind]: number }

function countsByKind (): CountsByKind {
  return { lookup: 0, guarded: 0, download: 0 }
}

function sumCounts (counts: CountsByKind): number {
  return counts.lookup + counts.guarded + counts.download
}
