import { INITIAL_WORK_MS, KNEE_SHARE } from '../gate/Constants.js'
import { hashText } from '../TextHash.js'
import type { NodeId, Random } from '../Types.js'
import {
  BYTES_PER_KB, CROSS_ZONE_COST_MS_PER_KB, DEFAULT_SLOWNESS, EJECTION_FAILURE_SHARE, FAILING_HALF_LIFE_MS,
  FAILURE_COST_RUNS, FAILURE_EWMA_WEIGHT, FAR_SUBSET_SIZE, LOAD_HALF_LIFE_MS, MAX_CONTENTION, MAX_EJECTED_SHARE,
  SLOWNESS_HALF_LIFE_MS, SUBSET_SIZE, TRIAL_INTERVAL_MS, UNREACHABLE_COOLDOWN_MS
} from './Constants.js'
import type { GateLoad, PlacementCandidate, PlacementOutcome, PlacementQuery } from './Types.js'

/** What this node knows of a candidate. */
interface CandidateRecord {
  candidate: PlacementCandidate
  /** Hash of this node and the candidate. */
  readonly rendezvousHash: number
  /** Calls from this node that are not answered yet. */
  outstanding: number
  load: GateLoad | undefined
  reportedAtMs: number
  /** Value of `outstanding` when the load was reported. */
  outstandingAtReport: number
  failureShare: number
  nextTrialAtMs: number
  unreachableUntilMs: number
  /** Until when the request limit of the instance allows no further call. */
  closedUntilMs: number
}

/**
 * Chooses an instance of one service for each call: the one with the lowest expected finish time. Load evidence is
 * weighted by its age, calls that this node has sent since the report are added, and reported slowness counts for as
 * long as it usually lasts. Because load shifts faster than it is reported, the gate at the chosen instance's node may
 * still decline the call. The nodes in `src/routenode` use it; those in `src/node` use `UpstreamChooser`.
 *
 * Instances that fail too often are ejected and get only occasional trial calls.
 *
 * Of a large service, a node uses a subset of the instances, most of them in its own availability zone: with all of
 * them it would meet each one so rarely that it knew nothing of its load, and would hold a connection to every node.
 * The subsets of the nodes are drawn by rendezvous hashing, so each instance is in about as many of them.
 *
 * Memory: one entry for each instance.
 */
export class InstanceChooser {
  private readonly _records = new Map<NodeId, CandidateRecord>()
  /** Instances that this node sends its calls to; undefined when the candidates have changed. */
  private _subset: readonly CandidateRecord[] | undefined

  /**
   * @param _self Name of this node; it determines the subset.
   * @param _random Source of jitter, so that nodes with the same load evidence do not all choose the same instance.
   */
  public constructor (private readonly _self: NodeId, private readonly _random: Random) {}

  /** Number of candidates. */
  public get size (): number {
    return this._records.size
  }

  /**
   * Adds a candidate or replaces its description; its record is kept while it is the same incarnation.
   * @param candidate An instance that takes new calls.
   */
  public setCandidate (candidate: PlacementCandidate): void {
    const known = this._records.get(candidate.node)
    if (known?.candidate.incarnation === candidate.incarnation) known.candidate = candidate
    else {
      const outstanding = known?.outstanding ?? 0
      this._records.set(candidate.node, { ...makeCandidateRecord(candidate, this._self), outstanding })
    }
    this._subset = undefined
  }

  /** Removes a candidate, if it is one. */
  public removeCandidate (node: NodeId): void {
    if (this._records.delete(node)) this._subset = undefined
  }

  /**
   * Returns the node of the instance to send a call to, or undefined when all are excluded, unreachable or too slow.
   * @param query Requirements of the call.
   * @param nowMs Monotonic time in milliseconds.
   */
  public choose (query: PlacementQuery, nowMs: number): NodeId | undefined {
    const eligible = this._eligible(query, nowMs)
    const trial = query.allowsTrial
      ? eligible.find(record => this._isEjected(record) && record.nextTrialAtMs <= nowMs)
      : undefined
    if (trial !== undefined) {
      trial.nextTrialAtMs = nowMs + TRIAL_INTERVAL_MS
      return trial.candidate.node
    }
    return this._cheapest(this._withoutEjected(eligible), query, nowMs)?.candidate.node
  }

  /**
   * Returns the additional network cost of another instance over the chosen one, as a delay in milliseconds that
   * includes the price of traffic between availability zones. Undefined when there is no other instance.
   * @param chosen Node of the chosen instance.
   * @param query Requirements of the call.
   */
  public moveCostMs (chosen: NodeId, query: PlacementQuery, nowMs: number): number | undefined {
    const record = this._records.get(chosen)
    const others = this._withoutEjected(this._eligible(query, nowMs)).filter(other => other !== record)
    if (record === undefined || others.length === 0) return undefined
    const cheapestMs = others.reduce((least, other) => Math.min(least, this._networkCostMs(other, query)), Infinity)
    return Math.max(0, Math.round(cheapestMs - this._networkCostMs(record, query)))
  }

  /** Returns whether there are instances, all of them in zones that take no calls. */
  public isClosed ({ exclusion }: PlacementQuery): boolean {
    if (exclusion === undefined || this._records.size === 0) return false
    return [...this._records.values()].every(({ candidate }) => isInZones(exclusion.closedZones, candidate))
  }

  /**
   * Returns the time in milliseconds until the first instance whose request limit allows no further call allows one;
   * undefined when there is no such instance.
   */
  public untilOpenMs (nowMs: number): number | undefined {
    const closedUntilMs = [...this._records.values()].map(record => record.closedUntilMs).filter(ms => ms > nowMs)
    return closedUntilMs.length === 0 ? undefined : Math.min(...closedUntilMs) - nowMs
  }

  /** Records that a call was sent to a node. */
  public recordSent (node: NodeId): void {
    const record = this._records.get(node)
    if (record !== undefined) record.outstanding++
  }

  /**
   * Records the outcome of a call that was sent to a node.
   * @param load Load report that came with the answer.
   */
  public recordEnd (node: NodeId, outcome: PlacementOutcome, load: GateLoad | undefined, nowMs: number): void {
    const record = this._records.get(node)
    if (record === undefined) return
    record.outstanding = Math.max(0, record.outstanding - 1)
    if (outcome === 'unreachable') this.markUnreachable(node, nowMs)
    if (outcome === 'answered' || outcome === 'failed') this._recordOutcome(record, outcome === 'failed')
    if (load !== undefined) this.recordLoad(node, load, nowMs)
  }

  /** Records a load report. */
  public recordLoad (node: NodeId, load: GateLoad, nowMs: number): void {
    const record = this._records.get(node)
    if (record === undefined) return
    record.load = load
    record.reportedAtMs = nowMs
    record.outstandingAtReport = record.outstanding
    record.closedUntilMs = load.closedForMs === undefined ? 0 : nowMs + load.closedForMs
  }

  /** Records that a node is unreachable or unresponsive; its instance is not chosen for a while. */
  public markUnreachable (node: NodeId, nowMs: number): void {
    const record = this._records.get(node)
    if (record !== undefined) record.unreachableUntilMs = nowMs + UNREACHABLE_COOLDOWN_MS
  }

  /** Records that a node is reachable again. */
  public markReachable (node: NodeId): void {
    const record = this._records.get(node)
    if (record !== undefined) record.unreachableUntilMs = 0
  }

  /** Describes up to 50 candidates for the state dump. */
  public describe (): object {
    return [...this._records.values()].slice(0, 50).map(({ candidate, outstanding, failureShare, load }) => {
      return { node: candidate.node, outstanding, failureShare, load: load ?? null }
    })
  }

  /**
   * Returns eligible instances of the subset, or of all candidates when the subset has none; those in avoided zones
   * only when there are no others.
   */
  private _eligible (query: PlacementQuery, nowMs: number): CandidateRecord[] {
    this._subset ??= chooseSubset([...this._records.values()])
    const { excluded, exclusion } = query
    const isEligible = ({ candidate, unreachableUntilMs, closedUntilMs }: CandidateRecord): boolean => {
      const isClosed = unreachableUntilMs > nowMs || closedUntilMs > nowMs
      return !isClosed && !excluded.includes(candidate.node) && !isInZones(exclusion?.closedZones, candidate)
    }
    const eligible = this._subset.filter(isEligible)
    const preferred = withoutZones(eligible, exclusion?.avoidedZones)
    if (preferred.length > 0) return preferred
    if (this._subset.length === this._records.size) return eligible
    const allEligible = [...this._records.values()].filter(isEligible)
    const allPreferred = withoutZones(allEligible, exclusion?.avoidedZones)
    if (allPreferred.length > 0) return allPreferred
    return eligible.length > 0 ? eligible : allEligible
  }

  private _recordOutcome (record: CandidateRecord, failed: boolean): void {
    const wasEjected = this._isEjected(record)
    // An ejected instance recovers twice as fast as it was ejected.
    const weight = wasEjected && !failed ? 2 * FAILURE_EWMA_WEIGHT : FAILURE_EWMA_WEIGHT
    record.failureShare += weight * (Number(failed) - record.failureShare)
  }

  private _isEjected (record: CandidateRecord): boolean {
    return record.failureShare > EJECTION_FAILURE_SHARE
  }

  private _withoutEjected (eligible: readonly CandidateRecord[]): readonly CandidateRecord[] {
    const kept = eligible.filter(record => !this._isEjected(record))
    const exceedsEjectionLimit = eligible.length - kept.length > (this._subset?.length ?? 0) * MAX_EJECTED_SHARE
    return kept.length === 0 || exceedsEjectionLimit ? eligible : kept
  }

  private _cheapest (
    records: readonly CandidateRecord[], query: PlacementQuery, nowMs: number
  ): CandidateRecord | undefined {
    let best: CandidateRecord | undefined
    let bestCostMs = query.maxCostMs ?? Infinity
    for (const record of records) {
      const costMs = this._costMs(record, nowMs) * (1 + TIE_JITTER * this._random.next()) +
        this._networkCostMs(record, query)
      if (costMs >= bestCostMs) continue
      best = record
      bestCostMs = costMs
    }
    return best
  }

  /** Time on the network, plus the price of traffic between availability zones as a delay, in milliseconds. */
  private _networkCostMs ({ candidate }: CandidateRecord, { bytes, transferMs = 0 }: PlacementQuery): number {
    const moveMs = candidate.node === this._self ? 0 : transferMs
    const priceMs = candidate.crossesZones ? CROSS_ZONE_COST_MS_PER_KB * bytes / BYTES_PER_KB : 0
    return candidate.roundTripMs + moveMs + priceMs
  }

  /** Expected time at the instance in milliseconds, plus the cost of the failures to expect. */
  private _costMs (record: CandidateRecord, nowMs: number): number {
    const { candidate, load } = record
    // Without a report, the initial work time and the knee of the gate are assumed.
    const workMs = load?.workMs ?? INITIAL_WORK_MS
    const limit = load === undefined || load.limit === 0 ? Math.max(1, candidate.slots * KNEE_SHARE) : load.limit
    const concurrency = this._estimateConcurrency(record, nowMs)
    const waitRuns = Math.max(0, concurrency + 1 - limit) / limit
    const contention = MAX_CONTENTION * Math.min(1, concurrency / limit)
    const runs = this._slowness(record, nowMs) * (1 + waitRuns + contention)
    return workMs * (runs + FAILURE_COST_RUNS * this._failureShare(record, nowMs))
  }

  /**
   * Share of calls that fail: of this node's own, or of all calls as the instance's node reports it. In a large mesh, a
   * node has few calls of its own to each instance.
   */
  private _failureShare ({ load, reportedAtMs, failureShare }: CandidateRecord, nowMs: number): number {
    if (load === undefined) return failureShare
    return Math.max(failureShare, load.failing * 0.5 ** ((nowMs - reportedAtMs) / FAILING_HALF_LIFE_MS))
  }

  /** Estimated calls at the instance; as a report ages, calls of other nodes count as at most half the limit. */
  private _estimateConcurrency (
    { load, reportedAtMs, outstanding, outstandingAtReport }: CandidateRecord, nowMs: number
  ): number {
    if (load === undefined) return outstanding
    const weight = 0.5 ** ((nowMs - reportedAtMs) / LOAD_HALF_LIFE_MS)
    const reported = load.running + load.queued
    const otherCalls = Math.max(0, reported - outstandingAtReport)
    return outstanding + weight * otherCalls + (1 - weight) * Math.min(otherCalls, load.limit / 2)
  }

  private _slowness ({ load, reportedAtMs }: CandidateRecord, nowMs: number): number {
    if (load === undefined) return DEFAULT_SLOWNESS
    const weight = 0.5 ** ((nowMs - reportedAtMs) / SLOWNESS_HALF_LIFE_MS)
    return weight * load.slowness + (1 - weight) * DEFAULT_SLOWNESS
  }
}

/** Largest random increase of a cost, as a share of it, so that nearly equal instances get about as many calls. */
const TIE_JITTER = 0.05

function isInZones (zones: ReadonlySet<string> | undefined, { zone }: PlacementCandidate): boolean {
  return zones !== undefined && zone !== undefined && zones.has(zone)
}

function withoutZones (records: CandidateRecord[], zones: ReadonlySet<string> | undefined): CandidateRecord[] {
  if (zones === undefined || zones.size === 0) return records
  return records.filter(({ candidate }) => !isInZones(zones, candidate))
}

/** Returns the candidates with the lowest hashes, at most so many in this availability zone and in all others. */
function chooseSubset (records: readonly CandidateRecord[]): CandidateRecord[] {
  const takeLowest = (crossesZones: boolean, count: number): CandidateRecord[] => records
    .filter(record => record.candidate.crossesZones === crossesZones)
    .sort((a, b) => a.rendezvousHash - b.rendezvousHash)
    .slice(0, count)
  const near = takeLowest(false, SUBSET_SIZE - FAR_SUBSET_SIZE)
  return [...near, ...takeLowest(true, SUBSET_SIZE - near.length)]
}

function makeCandidateRecord (candidate: PlacementCandidate, self: NodeId): CandidateRecord {
  return {
    candidate,
    rendezvousHash: hashText(0, `${self} ${candidate.node}`),
    outstanding: 0,
    load: undefined,
    reportedAtMs: 0,
    outstandingAtReport: 0,
    failureShare: 0,
    nextTrialAtMs: 0,
    unreachableUntilMs: 0,
    closedUntilMs: 0
  }
}
