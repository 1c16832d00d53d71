import type { CallId, InstanceId, LoadEvidence } from '../Types.js'
import type { Vitals } from '../detection/OutlierDetector.js'
import {
  COLD_RATIO, DEFAULT_SERVICE_MS, EVIDENCE_MEMORY_SERVICE_TIMES, REFUSED_MEMORY_MS, UNPROVEN_IN_FLIGHT, WARM_ANSWERS
} from './Constants.js'
import type { Candidate, CandidateState } from './Types.js'

/** A call that this ingress node has sent and that has not ended. */
interface Outstanding {
  readonly startMs: number
  readonly expectedMs: number
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
  private readonly outstanding = new Map<CallId, Outstanding>()
  private othersLoad = 0

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
    return this.outstanding.size
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
   */
  public sent (call: CallId, nowMs: number, expectedMs: number): void {
    this.outstanding.set(call, { startMs: nowMs, expectedMs })
    this.vitals.slowness.started(nowMs, expectedMs)
  }

  /**
   * @param call Call that ended.
   * @returns What was expected of it, or undefined when it was not in flight here.
   */
  public ended (call: CallId): Outstanding | undefined {
    const record = this.outstanding.get(call)
    if (record !== undefined) {
      this.outstanding.delete(call)
      this.vitals.slowness.ended(record.startMs, record.expectedMs)
    }
    return record
  }

  /**
   * @param evidence What the instance's node said.
   * @param nowMs Monotonic time in milliseconds.
   */
  public observe (evidence: LoadEvidence, nowMs: number): void {
    this.othersLoad = Math.max(0, evidence.inFlight + evidence.queued - this.inFlight())
    this.slots = Math.max(1, evidence.limit)
    if (evidence.serviceMs > 0) {
      this.serviceMs = evidence.serviceMs
    }
    this.evidenceMs = nowMs
  }

  /** @param nowMs Time of a refusal that carried no evidence. */
  public refused (nowMs: number): void {
    this.othersLoad = Math.max(this.othersLoad, this.slots * 2)
    this.evidenceMs = nowMs + REFUSED_MEMORY_MS
  }

  /**
   * Calls that are probably running or waiting there.
   * @param meanOthersPerSlot Load that other nodes put on the service's slots, which old evidence fades to.
   * @param nowMs Monotonic time in milliseconds.
   */
  public load (meanOthersPerSlot: number, nowMs: number): number {
    const usual = meanOthersPerSlot * this.slots
    return this.inFlight() + usual + (this.othersLoad - usual) * this.freshness(nowMs)
  }

  /**
   * Weight of the newest evidence, 0 to 1.
   * @param nowMs Monotonic time in milliseconds.
   */
  public freshness (nowMs: number): number {
    const ageMs = nowMs - this.evidenceMs
    return ageMs <= 0 ? 1 : Math.exp(-ageMs / (EVIDENCE_MEMORY_SERVICE_TIMES * this.serviceMs))
  }

  /** Load of other nodes on each slot, as last told. */
  public othersPerSlot (): number {
    return this.othersLoad / this.slots
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
    this.othersLoad = 0
    this.evidenceMs = Number.NEGATIVE_INFINITY
    this.vitals.slowness.reset()
  }
}
