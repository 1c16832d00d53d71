import type { LoadEvidence } from '../Types.js'
import type { CandidateLoad } from './CandidateLoad.js'
import {
  DEFAULT_SERVICE_MS, FAILURE_COST_SERVICE_TIMES, MIN_EXPECTED_MS, OWN_CALL_COST_SERVICE_TIMES,
  REFUSAL_COST_SERVICE_TIMES, REFUSAL_QUEUE_PER_SLOT, SERVICE_TIME_MIN_EWMA_WEIGHT, TOLERATED_SLOWNESS
} from './Constants.js'

/**
 * Latency that a call is expected to take at an instance, and the cost of sending it there, from what is known of the
 * instance and of the service as a whole. Memory is constant.
 */
export class LatencyModel {
  /** Mean service time over the service in milliseconds. */
  public serviceMs = DEFAULT_SERVICE_MS
  private _serviceTimeSamples = 0
  private _callsInFlight = 0
  private _othersLoadPerSlotSum = 0
  private _subsetSize = 1

  /** @param subset All instances that are weighed from now on. */
  public setSubset (subset: readonly CandidateLoad[]): void {
    this._subsetSize = Math.max(1, subset.length)
    this._callsInFlight = subset.reduce((sum, load) => sum + load.inFlight(), 0)
    this._othersLoadPerSlotSum = subset.reduce((sum, load) => sum + load.othersLoadPerSlot(), 0)
  }

  /** A call was sent. */
  public recordSent (): void {
    this._callsInFlight += 1
  }

  /** A call that was sent has ended. */
  public recordEnd (): void {
    this._callsInFlight -= 1
  }

  /**
   * @param candidate Instance that the evidence is of.
   * @param evidence What its node said.
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
   * @param candidate Instance that refused a call without evidence.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordRefusal (candidate: CandidateLoad, nowMs: number): void {
    const previousLoad = candidate.othersLoadPerSlot()
    candidate.recordRefusal(nowMs)
    this._othersLoadPerSlotSum += candidate.othersLoadPerSlot() - previousLoad
  }

  /**
   * Cost of sending a call there now, in milliseconds.
   * @param candidate Instance to weigh.
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
   * Round trip, wait and service at the load that is known of, in milliseconds.
   * @param candidate Instance to weigh.
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
