import type { CallId, InstanceId, LoadEvidence } from '../Types.js'
import type { Vitals } from '../detection/OutlierDetector.js'
import {
  COLD_LATENCY_RATIO, DEFAULT_SERVICE_MS, EVIDENCE_DECAY_SERVICE_TIMES, IN_TRANSIT_VARIANCE, REFUSAL_HOLD_MS,
  SLOW_START_ANSWERS, SLOW_START_IN_FLIGHT
} from './Constants.js'
import type { Candidate, CandidateState } from './Types.js'

/** Evidence that is this many memories old weighs nothing. */
const NEGLIGIBLE_TIME_CONSTANTS = 10

const SQRT_TWO_PI = Math.sqrt(2 * Math.PI)

/** A call that this ingress node has sent and that has not ended. */
interface OutstandingCall {
  readonly startMs: number
  readonly expectedMs: number
  /** Whether its latency tells of the instance's speed. */
  readonly measuresSlowness: boolean
}

/**
 * What one ingress node knows of the load of one instance: its own calls in flight, and what the instance's node
 * said of the others'. Memory: one record for each call in flight.
 */
export class CandidateLoad {
  public readonly instance: InstanceId
  public readonly rttMs: number
  public readonly vitals: Vitals
  public state: CandidateState
  public slots: number
  public serviceMs = DEFAULT_SERVICE_MS
  public evidenceAtMs = Number.NEGATIVE_INFINITY
  public successfulAnswers = 0
  private readonly _outstandingCalls = new Map<CallId, OutstandingCall>()
  private _othersLoad = 0

  /**
   * @param candidate Member that the record stands for.
   * @param rttMs Round trip to its node in milliseconds.
   * @param vitals Its record in the detector.
   */
  public constructor (candidate: Candidate, rttMs: number, vitals: Vitals) {
    this.instance = candidate.instance
    this.rttMs = rttMs
    this.vitals = vitals
    this.state = candidate.state
    this.slots = Math.max(1, candidate.slots)
  }

  /** Calls that this node has in flight there. */
  public inFlight (): number {
    return this._outstandingCalls.size
  }

  /** @param candidate Newer announcement of the same instance. */
  public update (candidate: Candidate): void {
    if (candidate.state === 'starting' && this.state !== 'starting') {
      this.reset()
    }
    this.state = candidate.state
    this.slots = Math.max(1, candidate.slots)
  }

  /**
   * @param call Call that is sent.
   * @param nowMs Monotonic time in milliseconds.
   * @param expectedMs Latency expected for it.
   * @param measuresSlowness Whether its latency tells of the instance's speed.
   */
  public recordSent (call: CallId, nowMs: number, expectedMs: number, measuresSlowness: boolean): void {
    this._outstandingCalls.set(call, { startMs: nowMs, expectedMs, measuresSlowness })
    if (measuresSlowness) {
      this.vitals.slowness.recordStart(nowMs, expectedMs)
    }
  }

  /**
   * @param call Call that ended.
   * @returns What was expected of it, or undefined when it was not in flight here.
   */
  public recordEnd (call: CallId): OutstandingCall | undefined {
    const record = this._outstandingCalls.get(call)
    if (record !== undefined) {
      this._outstandingCalls.delete(call)
    }
    if (record?.measuresSlowness === true) {
      this.vitals.slowness.recordEnd(record.startMs, record.expectedMs)
    }
    return record
  }

  /**
   * @param evidence What the instance's node said.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordEvidence (evidence: LoadEvidence, nowMs: number): void {
    if (evidence.limit <= 0) {
      // It drains or has no upstream; its members entry follows.
      this.recordRefusal(nowMs)
      return
    }
    this._othersLoad = Math.max(0, evidence.inFlight + evidence.queued - this._countArrivedCalls(nowMs))
    this.slots = evidence.limit
    if (evidence.serviceMs > 0) {
      this.serviceMs = evidence.serviceMs
    }
    this.evidenceAtMs = nowMs
  }

  /** Own calls in flight that the instance's node had counted when it sent what arrives now. */
  private _countArrivedCalls (nowMs: number): number {
    let count = 0
    for (const record of this._outstandingCalls.values()) {
      if (record.startMs > nowMs - this.rttMs) {
        break
      }
      count += 1
    }
    return count
  }

  /** @param nowMs Time of a refusal that carried no evidence. */
  public recordRefusal (nowMs: number): void {
    this._othersLoad = Math.max(this._othersLoad, this.slots * 2)
    this.evidenceAtMs = nowMs + REFUSAL_HOLD_MS
  }

  /**
   * Weight of the newest evidence, 0 to 1.
   * @param nowMs Monotonic time in milliseconds.
   */
  public freshness (nowMs: number): number {
    const ageMs = nowMs - this.evidenceAtMs
    if (ageMs <= 0) {
      return 1
    }
    const timeConstantMs = EVIDENCE_DECAY_SERVICE_TIMES * this.serviceMs
    return ageMs > NEGLIGIBLE_TIME_CONSTANTS * timeConstantMs ? 0 : Math.exp(-ageMs / timeConstantMs)
  }

  /**
   * Expected number of calls that wait before a call sent now, with the uncertainty of old evidence in it.
   * @param meanOthersLoadPerSlot Load that other nodes put on the service's slots.
   * @param nowMs Monotonic time in milliseconds.
   */
  public expectedQueueLength (meanOthersLoadPerSlot: number, nowMs: number): number {
    const meanLoad = meanOthersLoadPerSlot * this.slots
    const weight = this.freshness(nowMs)
    const othersLoad = meanLoad + (this._othersLoad - meanLoad) * weight
    const excess = this.inFlight() + othersLoad + 1 - this.slots
    const deviation = Math.sqrt(IN_TRANSIT_VARIANCE + othersLoad * (1 - weight * weight))
    return expectedPositivePart(excess, deviation)
  }

  /**
   * Service time expected now; evidence of a slow-down fades towards the mean of the service.
   * @param meanMs Mean service time over the service.
   * @param nowMs Monotonic time in milliseconds.
   */
  public expectedServiceMs (meanMs: number, nowMs: number): number {
    const excess = this.serviceMs - meanMs
    const weight = this.vitals.slowness.weightAtAge(nowMs - this.evidenceAtMs)
    return (meanMs + excess * weight) * this.coldLatencyRatio()
  }

  /** Load of other nodes on each slot, as last told. */
  public othersLoadPerSlot (): number {
    return this._othersLoad / this.slots
  }

  /** Expected latency of a cold instance over that of a warm one. */
  public coldLatencyRatio (): number {
    if (this.successfulAnswers >= SLOW_START_ANSWERS) {
      return 1
    }
    return 1 + (COLD_LATENCY_RATIO - 1) * (1 - this.successfulAnswers / SLOW_START_ANSWERS)
  }

  /** Whether the ramp lets one more call go there. */
  public slowStartAllowsCall (): boolean {
    return this.successfulAnswers >= SLOW_START_ANSWERS ||
      this.inFlight() < SLOW_START_IN_FLIGHT + this.successfulAnswers
  }

  /** Forgets what was learnt of an earlier run. */
  public reset (): void {
    this.successfulAnswers = 0
    this._othersLoad = 0
    this.evidenceAtMs = Number.NEGATIVE_INFINITY
    this.vitals.slowness.reset()
  }
}

/** Mean of the positive part of a normally distributed number. */
function expectedPositivePart (mean: number, deviation: number): number {
  const standardized = mean / deviation
  if (standardized > 4) {
    return mean
  }
  if (standardized < -4) {
    return 0
  }
  const density = Math.exp(-standardized * standardized / 2) / SQRT_TWO_PI
  // Logistic approximation of the normal distribution function.
  const cumulative = 1 / (1 + Math.exp(-1.702 * standardized))
  return Math.max(0, mean * cumulative + deviation * density)
}
