import type { CallId, InstanceId, LoadEvidence } from '../Types.js'
import type { HealthRecord } from '../detection/OutlierDetector.js'
import {
  COLD_LATENCY_RATIO, DEFAULT_SERVICE_MS, EVIDENCE_DECAY_SERVICE_TIMES, IN_TRANSIT_VARIANCE, REFUSAL_HOLD_MS,
  SLOW_START_ANSWERS, SLOW_START_IN_FLIGHT
} from './Constants.js'
import type { Candidate, CandidateState } from './Types.js'

/** Evidence that is older than this many time constants has no weight. */
const NEGLIGIBLE_TIME_CONSTANTS = 10

const SQRT_TWO_PI = Math.sqrt(2 * Math.PI)

/** Call that this ingress node has sent and that has not ended. */
interface OutstandingCall {
  readonly startMs: number
  readonly expectedMs: number
  /** Whether its latency is a sample of the instance's slowness. */
  readonly measuresSlowness: boolean
}

/**
 * Load of one instance as known to one ingress node: its own calls in flight there, and the calls of other nodes
 * according to load evidence, which the instance's node sends. Memory: one record for each call in flight.
 */
export class CandidateLoad {
  public readonly instance: InstanceId
  public readonly rttMs: number
  public readonly vitals: HealthRecord
  public state: CandidateState
  /** Calls that run at once there: the limit in the newest evidence, or else the announced slots. */
  public slots: number
  /** Service time in the newest evidence, in milliseconds. */
  public serviceMs = DEFAULT_SERVICE_MS
  /** Time of the newest evidence; in the future after a refusal without evidence. */
  public evidenceAtMs = Number.NEGATIVE_INFINITY
  public successfulAnswers = 0
  private readonly _outstandingCalls = new Map<CallId, OutstandingCall>()
  /** Calls of other nodes that run or are queued there. */
  private _othersLoad = 0

  /**
   * @param candidate Instance that the record describes.
   * @param rttMs Round trip to its node in milliseconds.
   * @param vitals Its record in the outlier detector.
   */
  public constructor (candidate: Candidate, rttMs: number, vitals: HealthRecord) {
    this.instance = candidate.instance
    this.rttMs = rttMs
    this.vitals = vitals
    this.state = candidate.state
    this.slots = Math.max(1, candidate.slots)
  }

  /** Returns the number of calls that this ingress node has in flight there. */
  public inFlight (): number {
    return this._outstandingCalls.size
  }

  /**
   * Applies a newer announcement of the same instance.
   * @param candidate The announcement.
   */
  public update (candidate: Candidate): void {
    if (candidate.state === 'starting' && this.state !== 'starting') {
      this.reset()
    }
    this.state = candidate.state
    this.slots = Math.max(1, candidate.slots)
  }

  /**
   * Records a call that is sent to the instance.
   * @param call The call.
   * @param nowMs Monotonic time in milliseconds.
   * @param expectedMs Latency expected for it in milliseconds.
   * @param measuresSlowness Whether its latency is a sample of the instance's slowness.
   */
  public recordSent (call: CallId, nowMs: number, expectedMs: number, measuresSlowness: boolean): void {
    this._outstandingCalls.set(call, { startMs: nowMs, expectedMs, measuresSlowness })
    if (measuresSlowness) {
      this.vitals.slowness.recordStart(nowMs, expectedMs)
    }
  }

  /**
   * Records the end of a call.
   * @param call The call.
   * @returns Its record, or undefined when it was not in flight here.
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
   * Records load evidence.
   * @param evidence Load evidence from the instance's node.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordEvidence (evidence: LoadEvidence, nowMs: number): void {
    if (evidence.limit <= 0) {
      // The node drains or has no upstream; the change of its member entry follows.
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

  /** Returns how many own calls the instance's node had counted when it sent the evidence that arrives now. */
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

  /**
   * Records a refusal that carried no load evidence: the instance counts as full for a while.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordRefusal (nowMs: number): void {
    this._othersLoad = Math.max(this._othersLoad, this.slots * 2)
    this.evidenceAtMs = nowMs + REFUSAL_HOLD_MS
  }

  /**
   * Returns the weight of the newest load evidence, 0 to 1, which decays with its age.
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
   * Returns the expected number of calls queued before a call sent now. Old evidence is uncertain, which raises it.
   * @param meanOthersLoadPerSlot Mean calls of other nodes per slot over the service.
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
   * Returns the expected service time in milliseconds. As the evidence ages, it tends to the mean of the service.
   * @param meanMs Mean service time over the service in milliseconds.
   * @param nowMs Monotonic time in milliseconds.
   */
  public expectedServiceMs (meanMs: number, nowMs: number): number {
    const excess = this.serviceMs - meanMs
    const weight = this.vitals.slowness.weightAtAge(nowMs - this.evidenceAtMs)
    return (meanMs + excess * weight) * this.coldLatencyRatio()
  }

  /** Returns the calls of other nodes per slot, according to the newest evidence. */
  public othersLoadPerSlot (): number {
    return this._othersLoad / this.slots
  }

  /** Returns the expected latency relative to that after the slow start, 1 or more. */
  public coldLatencyRatio (): number {
    if (this.successfulAnswers >= SLOW_START_ANSWERS) {
      return 1
    }
    return 1 + (COLD_LATENCY_RATIO - 1) * (1 - this.successfulAnswers / SLOW_START_ANSWERS)
  }

  /** Returns whether the slow start allows one more call: each successful answer allows one more in flight. */
  public slowStartAllowsCall (): boolean {
    return this.successfulAnswers >= SLOW_START_ANSWERS ||
      this.inFlight() < SLOW_START_IN_FLIGHT + this.successfulAnswers
  }

  /** Discards the record of an instance that starts again; `UpstreamChooser` itself drops such instances. */
  public reset (): void {
    this.successfulAnswers = 0
    this._othersLoad = 0
    this.evidenceAtMs = Number.NEGATIVE_INFINITY
    this.vitals.slowness.reset()
  }
}

/** Returns the mean of the positive part of a normally distributed number. */
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
