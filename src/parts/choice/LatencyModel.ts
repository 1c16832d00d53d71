import type { LoadEvidence } from '../Types.js'
import type { CandidateLoad } from './CandidateLoad.js'
import {
  DEFAULT_SERVICE_MS, FAILURE_COST_SERVICE_TIMES, MIN_EXPECTED_MS, OWN_CALL_COST_SERVICE_TIMES,
  REFUSAL_COST_SERVICE_TIMES, REFUSAL_QUEUE_PER_SLOT, SERVICE_TIME_MIN_EWMA_WEIGHT, TOLERATED_SLOWNESS
} from './Constants.js'

/**
 * Estimates the latency of a call at an instance, and the cost of sending it there, from the load of the instance and
 * of the service as a whole. Memory is constant.
 */
export class LatencyModel {
  /** Mean service time over the service in milliseconds. */
  public serviceMs = DEFAULT_SERVICE_MS
  private _serviceTimeSamples = 0
  private _callsInFlight = 0
  private _othersLoadPerSlotSum = 0
  private _subsetSize = 1

  /**
   * Sets the instances over which means are computed.
   * @param subset All instances that may be chosen from now on.
   */
  public setSubset (subset: readonly CandidateLoad[]): void {
    this._subsetSize = Math.max(1, subset.length)
    this._callsInFlight = subset.reduce((sum, load) => sum + load.inFlight(), 0)
    this._othersLoadPerSlotSum = subset.reduce((sum, load) => sum + load.othersLoadPerSlot(), 0)
  }

  /** Records that a call was sent. */
  public recordSent (): void {
    this._callsInFlight += 1
  }

  /** Records that a call that was sent has ended. */
  public recordEnd (): void {
    this._callsInFlight -= 1
  }

  /**
   * Records load evidence of an instance.
   * @param candidate Instance that the evidence describes.
   * @param evidence Load evidence from its node.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordEvidence (candidate: CandidateLoad, evidence: LoadEvidence, nowMs: number): void {
    const previousLoad = candidate.othersLoadPerSlot()
    candidate.recordEvidence(evidence, nowMs)
    this._othersLoadPerSlotSum += candidate.othersLoadPerSlot() - previousLoad
    this._serviceTimeSamples += 1
    const weight = Math.max(SERVICE_TIME_MIN_EWMA_WEIGHT, 1 / this._serviceTimeSamples)
    this.serviceMs += weight * (candidate.serviceMs - this.serviceMs)
  }

  /**
   * Records a refusal that carried no load evidence.
   * @param candidate Instance that refused the call.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordRefusal (candidate: CandidateLoad, nowMs: number): void {
    const previousLoad = candidate.othersLoadPerSlot()
    candidate.recordRefusal(nowMs)
    this._othersLoadPerSlotSum += candidate.othersLoadPerSlot() - previousLoad
  }

  /**
   * Returns the cost of sending a call to an instance now, in milliseconds: its expected latency, raised for slowness,
   * plus costs for this node's own calls in flight there and for recent failures.
   * @param candidate The instance.
   * @param nowMs Monotonic time in milliseconds.
   */
  public cost (candidate: CandidateLoad, nowMs: number): number {
    const slownessFactor = Math.max(1, candidate.vitals.slowness.ratio(nowMs) - TOLERATED_SLOWNESS + 1)
    const failureCost = candidate.vitals.failureShare * FAILURE_COST_SERVICE_TIMES * this.serviceMs
    const meanInFlight = this._callsInFlight / this._subsetSize
    const ownCallCost = OWN_CALL_COST_SERVICE_TIMES * this.serviceMs * candidate.inFlight() / (1 + meanInFlight)
    return this.expectedMs(candidate, nowMs) * slownessFactor + ownCallCost + failureCost
  }

  /**
   * Returns the expected latency at the known load in milliseconds: round trip, queueing and service time, raised where
   * the queue makes a refusal likely.
   * @param candidate The instance.
   * @param nowMs Monotonic time in milliseconds.
   */
  public expectedMs (candidate: CandidateLoad, nowMs: number): number {
    const meanOthersLoadPerSlot = Math.max(0, this._othersLoadPerSlotSum) / this._subsetSize
    const queuePerSlot = candidate.expectedQueueLength(meanOthersLoadPerSlot, nowMs) / candidate.slots
    const refusalCost = REFUSAL_COST_SERVICE_TIMES * Math.max(0, queuePerSlot - REFUSAL_QUEUE_PER_SLOT)
    const serviceMs = candidate.expectedServiceMs(this.serviceMs, nowMs)
    return Math.max(MIN_EXPECTED_MS, candidate.rttMs + serviceMs * (1 + queuePerSlot + refusalCost))
  }
}
