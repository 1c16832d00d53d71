import type { LoadEvidence } from '../Types.js'
import type { CandidateLoad } from './CandidateLoad.js'
import {
  DEFAULT_SERVICE_MS, FAILURE_COST_SERVICE_TIMES, MIN_EXPECTED_MS, OWN_CALL_COST, REFUSAL_COST,
  REFUSAL_QUEUE_PER_SLOT, SERVICE_TIME_WEIGHT, USUAL_RATIO
} from './Constants.js'

/**
 * Latency that a call is expected to take at an instance, and the cost of sending it there, from what is known of the
 * instance and of the service as a whole. Memory is constant.
 */
export class LatencyModel {
  /** Mean service time over the service in milliseconds. */
  public serviceMs = DEFAULT_SERVICE_MS
  private _serviceTimes = 0
  private _callsInFlight = 0
  private _othersPerSlotSum = 0
  private _instances = 1

  /** @param subset All instances that are weighed from now on. */
  public setSubset (subset: readonly CandidateLoad[]): void {
    this._instances = Math.max(1, subset.length)
    this._callsInFlight = subset.reduce((sum, load) => sum + load.inFlight(), 0)
    this._othersPerSlotSum = subset.reduce((sum, load) => sum + load.othersPerSlot(), 0)
  }

  /** A call was sent. */
  public sent (): void {
    this._callsInFlight += 1
  }

  /** A call that was sent has ended. */
  public ended (): void {
    this._callsInFlight -= 1
  }

  /**
   * @param candidate Instance that the evidence is of.
   * @param evidence What its node said.
   * @param nowMs Monotonic time in milliseconds.
   */
  public learn (candidate: CandidateLoad, evidence: LoadEvidence, nowMs: number): void {
    const before = candidate.othersPerSlot()
    candidate.observe(evidence, nowMs)
    this._othersPerSlotSum += candidate.othersPerSlot() - before
    this._serviceTimes += 1
    const weight = Math.max(SERVICE_TIME_WEIGHT, 1 / this._serviceTimes)
    this.serviceMs += weight * (candidate.serviceMs - this.serviceMs)
  }

  /**
   * @param candidate Instance that refused a call without evidence.
   * @param nowMs Monotonic time in milliseconds.
   */
  public refused (candidate: CandidateLoad, nowMs: number): void {
    const before = candidate.othersPerSlot()
    candidate.refused(nowMs)
    this._othersPerSlotSum += candidate.othersPerSlot() - before
  }

  /**
   * Cost of sending a call there now, in milliseconds.
   * @param candidate Instance to weigh.
   * @param nowMs Monotonic time in milliseconds.
   */
  public cost (candidate: CandidateLoad, nowMs: number): number {
    const slow = Math.max(1, candidate.vitals.slowness.ratio(nowMs) - USUAL_RATIO + 1)
    const failing = candidate.vitals.failureShare * FAILURE_COST_SERVICE_TIMES * this.serviceMs
    const meanInFlight = this._callsInFlight / this._instances
    const own = OWN_CALL_COST * this.serviceMs * candidate.inFlight() / (1 + meanInFlight)
    return this.expectedMs(candidate, nowMs) * slow + own + failing
  }

  /**
   * Round trip, wait and service at the load that is known of, in milliseconds.
   * @param candidate Instance to weigh.
   * @param nowMs Monotonic time in milliseconds.
   */
  public expectedMs (candidate: CandidateLoad, nowMs: number): number {
    const meanOthersPerSlot = Math.max(0, this._othersPerSlotSum) / this._instances
    const wait = candidate.waitingAhead(meanOthersPerSlot, nowMs) / candidate.slots
    const refusal = REFUSAL_COST * Math.max(0, wait - REFUSAL_QUEUE_PER_SLOT)
    const service = candidate.serviceNow(this.serviceMs, nowMs)
    return Math.max(MIN_EXPECTED_MS, candidate.rttMs + service * (1 + wait + refusal))
  }
}
