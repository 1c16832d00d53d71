import type { CallId, InstanceId, LoadEvidence } from '../Types.js'
import type { Vitals } from '../detection/OutlierDetector.js'
import {
  ARRIVING_VARIANCE, COLD_RATIO, DEFAULT_SERVICE_MS, EVIDENCE_MEMORY_SERVICE_TIMES, REFUSED_MEMORY_MS,
  UNPROVEN_IN_FLIGHT, WARM_ANSWERS
} from './Constants.js'
import type { Candidate, CandidateState } from './Types.js'

/** Evidence that is this many memories old weighs nothing. */
const NEGLIGIBLE_AGE = 10

const SQRT_TWO_PI = Math.sqrt(2 * Math.PI)

/** A call that this ingress node has sent and that has not ended. */
interface Outstanding {
  readonly startMs: number
  readonly expectedMs: number
  /** Whether its latency tells of the instance's speed. */
  readonly timed: boolean
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
  public evidenceMs = Number.NEGATIVE_INFINITY
  public goodAnswers = 0
  private readonly _outstanding = new Map<CallId, Outstanding>()
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
    return this._outstanding.size
  }

  /** @param candidate Newer announcement of the same instance. */
  public update (candidate: Candidate): void {
    if (candidate.state === 'starting' && this.state !== 'starting') {
      this.restarted()
    }
    this.state = candidate.state
    this.slots = Math.max(1, candidate.slots)
  }

  /**
   * @param call Call that is sent.
   * @param nowMs Monotonic time in milliseconds.
   * @param expectedMs Latency expected for it.
   * @param timed Whether its latency tells of the instance's speed.
   */
  public sent (call: CallId, nowMs: number, expectedMs: number, timed: boolean): void {
    this._outstanding.set(call, { startMs: nowMs, expectedMs, timed })
    if (timed) {
      this.vitals.slowness.started(nowMs, expectedMs)
    }
  }

  /**
   * @param call Call that ended.
   * @returns What was expected of it, or undefined when it was not in flight here.
   */
  public ended (call: CallId): Outstanding | undefined {
    const record = this._outstanding.get(call)
    if (record !== undefined) {
      this._outstanding.delete(call)
    }
    if (record?.timed === true) {
      this.vitals.slowness.ended(record.startMs, record.expectedMs)
    }
    return record
  }

  /**
   * @param evidence What the instance's node said.
   * @param nowMs Monotonic time in milliseconds.
   */
  public observe (evidence: LoadEvidence, nowMs: number): void {
    if (evidence.limit <= 0) {
      // It drains or has no upstream; its members entry follows.
      this.refused(nowMs)
      return
    }
    this._othersLoad = Math.max(0, evidence.inFlight + evidence.queued - this._arrived(nowMs))
    this.slots = evidence.limit
    if (evidence.serviceMs > 0) {
      this.serviceMs = evidence.serviceMs
    }
    this.evidenceMs = nowMs
  }

  /** Own calls in flight that the instance's node had counted when it sent what arrives now. */
  private _arrived (nowMs: number): number {
    let count = 0
    for (const record of this._outstanding.values()) {
      if (record.startMs > nowMs - this.rttMs) {
        break
      }
      count += 1
    }
    return count
  }

  /** @param nowMs Time of a refusal that carried no evidence. */
  public refused (nowMs: number): void {
    this._othersLoad = Math.max(this._othersLoad, this.slots * 2)
    this.evidenceMs = nowMs + REFUSED_MEMORY_MS
  }

  /**
   * Weight of the newest evidence, 0 to 1.
   * @param nowMs Monotonic time in milliseconds.
   */
  public freshness (nowMs: number): number {
    const ageMs = nowMs - this.evidenceMs
    if (ageMs <= 0) {
      return 1
    }
    const memoryMs = EVIDENCE_MEMORY_SERVICE_TIMES * this.serviceMs
    return ageMs > NEGLIGIBLE_AGE * memoryMs ? 0 : Math.exp(-ageMs / memoryMs)
  }

  /**
   * Expected number of calls that wait before a call sent now, with the uncertainty of old evidence in it.
   * @param meanOthersPerSlot Load that other nodes put on the service's slots.
   * @param nowMs Monotonic time in milliseconds.
   */
  public waitingAhead (meanOthersPerSlot: number, nowMs: number): number {
    const usual = meanOthersPerSlot * this.slots
    const fresh = this.freshness(nowMs)
    const others = usual + (this._othersLoad - usual) * fresh
    const over = this.inFlight() + others + 1 - this.slots
    const deviation = Math.sqrt(ARRIVING_VARIANCE + others * (1 - fresh * fresh))
    return expectedExcess(over, deviation)
  }

  /**
   * Service time expected now; evidence of a slow-down fades towards the mean of the service.
   * @param meanMs Mean service time over the service.
   * @param nowMs Monotonic time in milliseconds.
   */
  public serviceNow (meanMs: number, nowMs: number): number {
    const excess = this.serviceMs - meanMs
    const weight = this.vitals.slowness.weightAt(nowMs - this.evidenceMs)
    return (meanMs + excess * weight) * this.coldRatio()
  }

  /** Load of other nodes on each slot, as last told. */
  public othersPerSlot (): number {
    return this._othersLoad / this.slots
  }

  /** Expected latency of a cold instance over that of a warm one. */
  public coldRatio (): number {
    if (this.goodAnswers >= WARM_ANSWERS) {
      return 1
    }
    return 1 + (COLD_RATIO - 1) * (1 - this.goodAnswers / WARM_ANSWERS)
  }

  /** Whether the ramp lets one more call go there. */
  public withinRamp (): boolean {
    return this.goodAnswers >= WARM_ANSWERS || this.inFlight() < UNPROVEN_IN_FLIGHT + this.goodAnswers
  }

  /** Forgets what was learnt of an earlier run. */
  public restarted (): void {
    this.goodAnswers = 0
    this._othersLoad = 0
    this.evidenceMs = Number.NEGATIVE_INFINITY
    this.vitals.slowness.reset()
  }
}

/** Mean of the positive part of a normally distributed number. */
function expectedExcess (mean: number, deviation: number): number {
  const unit = mean / deviation
  if (unit > 4) {
    return mean
  }
  if (unit < -4) {
    return 0
  }
  const density = Math.exp(-unit * unit / 2) / SQRT_TWO_PI
  // Logistic approximation of the normal distribution function.
  const below = 1 / (1 + Math.exp(-1.702 * unit))
  return Math.max(0, mean * below + deviation * density)
}
