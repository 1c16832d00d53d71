import type { CallKind, InstanceId, Part, ProcessLocation, Random } from '../Types.js'
import { OutlierDetector, isEjected } from '../detection/OutlierDetector.js'
import type { DetectionAction, DetectionEvent } from '../detection/Types.js'
import { CandidateLoad } from './CandidateLoad.js'
import {
  CHOICE_SAMPLE_SIZE, COST_JITTER, DEFAULT_INGRESS_NODES, NONE_AVAILABLE_RETRY_MS, OTHER_REGION_RTT_MS, PROBE_AFTER_MS,
  SAME_REGION_RTT_MS, SAME_ZONE_RTT_MS, SUBSET_ELSEWHERE_SHARE, SUBSET_SIZE
} from './Constants.js'
import { LatencyModel } from './LatencyModel.js'
import { SubsetSelector } from './SubsetSelector.js'
import type { Candidate, ChoiceAction, ChoiceEvent } from './Types.js'

type EventOf<T extends ChoiceEvent['type']> = Extract<ChoiceEvent, { type: T }>
type Handlers = { readonly [T in ChoiceEvent['type']]: (event: EventOf<T>, nowMs: number) => ChoiceAction[] }

/** Time within which an answer is expected, by kind of call; the answer to a download comes when it ends. */
const EXPECTED_ANSWER_MS: Readonly<Record<CallKind, (lookupMs: number) => number>> = {
  lookup: lookupMs => lookupMs,
  guarded: lookupMs => lookupMs,
  download: () => Number.POSITIVE_INFINITY
}

const GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2

/** Options of an upstream chooser. Durations in milliseconds. */
export interface ChooserOptions {
  /** Smallest number of instances in the subset, if the service has as many. */
  readonly subsetSize: number
  /** Share of the subset reserved for other availability zones, 0 to 1. */
  readonly subsetElsewhereShare: number
  /** Number of ingress nodes that call the service; subsets are larger when there are few. */
  readonly ingressNodes: number
  readonly sameZoneRttMs: number
  readonly sameRegionRttMs: number
  readonly otherRegionRttMs: number
  /** Age of the newest load evidence above which a probe is requested. */
  readonly probeAfterMs: number
}

const DEFAULT_OPTIONS: ChooserOptions = {
  subsetSize: SUBSET_SIZE,
  subsetElsewhereShare: SUBSET_ELSEWHERE_SHARE,
  ingressNodes: DEFAULT_INGRESS_NODES,
  sameZoneRttMs: SAME_ZONE_RTT_MS,
  sameRegionRttMs: SAME_REGION_RTT_MS,
  otherRegionRttMs: OTHER_REGION_RTT_MS,
  probeAfterMs: PROBE_AFTER_MS
}

/**
 * Chooses an instance for each call of one service at one ingress node, and always answers `choose` at once. It chooses
 * the instance with the lowest cost: expected latency from round trip, service time and queueing at the known load,
 * raised for recent slowness, own calls in flight and failures. The nodes in `src/node` use it; those in
 * `src/routenode` use `InstanceChooser`.
 * Memory: one record for each instance of the subset and for each call in flight, and the list of candidates.
 */
export class UpstreamChooser implements Part<ChoiceEvent, ChoiceAction> {
  private readonly _detector = new OutlierDetector()
  private readonly _options: ChooserOptions
  private readonly _selector: SubsetSelector
  private readonly _handlers: Handlers = {
    members: event => this._onMembers(event),
    choose: (event, nowMs) => this._onChoose(event, nowMs),
    answered: (event, nowMs) => this._onAnswered(event, nowMs),
    evidence: (event, nowMs) => this._onEvidence(event, nowMs),
    linkDown: (event, nowMs) => this._stepDetector(event, nowMs),
    linkUp: (event, nowMs) => this._stepDetector(event, nowMs),
    tick: (_event, nowMs) => this._onTick(nowMs)
  }

  private readonly _byInstance = new Map<InstanceId, CandidateLoad>()
  private _subset: CandidateLoad[] = []
  private readonly _latencyModel = new LatencyModel()

  /**
   * @param _place Region and availability zone of this ingress node.
   * @param _random Source of random numbers; also salts the subset.
   * @param options Options that differ from the defaults.
   */
  public constructor (
    private readonly _place: ProcessLocation,
    private readonly _random: Random,
    options: Partial<ChooserOptions> = {}
  ) {
    this._options = { ...DEFAULT_OPTIONS, ...options }
    const salt = Math.floor(_random.next() * 0x7fffffff)
    const { subsetSize, subsetElsewhereShare, ingressNodes } = this._options
    const size = { minSize: subsetSize, elsewhereShare: subsetElsewhereShare, ingressNodes }
    this._selector = new SubsetSelector(_place, salt, size)
  }

  /**
   * Handles one event. `choose` gives exactly one action, `chosen` or `noneAvailable`.
   * @param event What happened.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: ChoiceEvent, nowMs: number): ChoiceAction[] {
    const handler = this._handlers[event.type] as (event: ChoiceEvent, nowMs: number) => ChoiceAction[]
    return handler(event, nowMs)
  }

  /** Returns the number of calls in flight from this node to an instance, for the state dump. */
  public inFlight (instance: InstanceId): number {
    return this._byInstance.get(instance)?.inFlight() ?? 0
  }

  private _onMembers (event: EventOf<'members'>): ChoiceAction[] {
    const usable = event.candidates.filter(candidate => candidate.state !== 'starting')
    const subset = this._selector.select(usable)
    this._detector.step({ type: 'members', instances: subset.map(candidate => candidate.instance) }, 0)
    const subsetInstances = new Set(subset.map(candidate => candidate.instance))
    for (const instance of this._byInstance.keys()) {
      if (!subsetInstances.has(instance)) {
        this._byInstance.delete(instance)
      }
    }
    this._subset = subset.map(candidate => this._getOrCreateLoad(candidate))
    this._latencyModel.setSubset(this._subset)
    return []
  }

  private _getOrCreateLoad (candidate: Candidate): CandidateLoad {
    const known = this._byInstance.get(candidate.instance)
    if (known !== undefined) {
      known.update(candidate)
      return known
    }
    const vitals = this._detector.vitals(candidate.instance)
    if (vitals === undefined) {
      throw new Error(`no record in the outlier detector for instance ${candidate.instance}`)
    }
    const created = new CandidateLoad(candidate, this._rttMs(candidate.place), vitals)
    created.serviceMs = this._latencyModel.serviceMs
    this._byInstance.set(candidate.instance, created)
    return created
  }

  private _rttMs (place: ProcessLocation): number {
    if (place.region !== this._place.region) {
      return this._options.otherRegionRttMs
    }
    return place.zone === this._place.zone ? this._options.sameZoneRttMs : this._options.sameRegionRttMs
  }

  private _onChoose (event: EventOf<'choose'>, nowMs: number): ChoiceAction[] {
    const target = this._selectTarget(event.excluded, nowMs)
    if (target === undefined) {
      return [{
        type: 'noneAvailable',
        call: event.call,
        reason: 'no-upstream',
        retryAfterMs: NONE_AVAILABLE_RETRY_MS
      }]
    }
    const expectedMs = this._latencyModel.expectedMs(target, nowMs)
    this._latencyModel.recordSent()
    const kind = event.kind ?? 'lookup'
    target.recordSent(event.call, nowMs, expectedMs, kind === 'lookup')
    this._detector.step({ type: 'started', instance: target.instance, expectedMs: EXPECTED_ANSWER_MS[kind](expectedMs) }, nowMs)
    return [{ type: 'chosen', call: event.call, instance: target.instance }]
  }

  /**
   * Returns the cheapest eligible instance of a sample, or else of the whole subset, or else the cheapest reachable
   * instance, also an ejected one or one in slow start.
   */
  private _selectTarget (excluded: readonly InstanceId[], nowMs: number): CandidateLoad | undefined {
    return this._findCheapest(excluded, nowMs, CHOICE_SAMPLE_SIZE, false) ??
      this._findCheapest(excluded, nowMs, this._subset.length, false) ??
      this._findCheapest(excluded, nowMs, this._subset.length, true)
  }

  /**
   * Returns the instance with the lowest cost among `sampleSize` instances. Jitter decides between nearly equal costs,
   * so that nodes do not all choose the same instance.
   */
  private _findCheapest (
    excluded: readonly InstanceId[], nowMs: number, sampleSize: number, includeIneligible: boolean
  ): CandidateLoad | undefined {
    const count = this._subset.length
    const scoredCount = Math.min(sampleSize, count)
    let index = scoredCount < count ? Math.floor(this._random.next() * count) : 0
    // One random number for each call; steps of the golden ratio give each instance its own jitter.
    let jitter = this._random.next()
    let cheapest: CandidateLoad | undefined
    let lowestCost = Number.POSITIVE_INFINITY
    for (let scored = 0; scored < scoredCount; scored++) {
      const candidate = this._subset[index] as CandidateLoad
      index = index + 1 === count ? 0 : index + 1
      jitter = jitter < 1 - GOLDEN_RATIO ? jitter + GOLDEN_RATIO : jitter + GOLDEN_RATIO - 1
      if (!isReachable(candidate) || excluded.includes(candidate.instance)) {
        continue
      }
      if (!includeIneligible && !this._isEligible(candidate)) {
        continue
      }
      const cost = this._latencyModel.cost(candidate, nowMs) * (1 + COST_JITTER * jitter)
      if (cost < lowestCost) {
        lowestCost = cost
        cheapest = candidate
      }
    }
    return cheapest
  }

  /** Returns whether the instance may receive a call: not ejected, and within the limits of a trial or slow start. */
  private _isEligible (candidate: CandidateLoad): boolean {
    if (isEjected(candidate.vitals)) {
      return false
    }
    if (candidate.vitals.health === 'trial' && candidate.inFlight() > 0) {
      return false
    }
    return candidate.slowStartAllowsCall()
  }

  private _onAnswered (event: EventOf<'answered'>, nowMs: number): ChoiceAction[] {
    const candidate = this._byInstance.get(event.instance)
    if (candidate === undefined) {
      return []
    }
    const sent = candidate.recordEnd(event.call)
    if (sent !== undefined) {
      this._latencyModel.recordEnd()
    }
    if (event.evidence !== undefined) {
      this._latencyModel.recordEvidence(candidate, event.evidence, nowMs)
    } else if (event.outcome === 'refused') {
      this._latencyModel.recordRefusal(candidate, nowMs)
    }
    if (event.outcome === 'ok' && sent !== undefined) {
      candidate.successfulAnswers += 1
    }
    if (event.outcome === 'ok' && sent?.measuresSlowness === true) {
      // Latency that the newest service time explains already raises the cost: it must not count as slowness too.
      const expectedMs = Math.max(sent.expectedMs, candidate.rttMs + candidate.serviceMs)
      candidate.vitals.slowness.recordAnswer(nowMs, event.latencyMs / expectedMs)
      candidate.vitals.slowness.recordLatency(nowMs, event.latencyMs, candidate.rttMs + this._latencyModel.serviceMs)
    }
    if (sent === undefined) {
      return []
    }
    const { instance, outcome, latencyMs } = event
    return this._stepDetector({ type: 'outcome', instance, outcome, latencyMs }, nowMs)
  }

  private _onEvidence (event: EventOf<'evidence'>, nowMs: number): ChoiceAction[] {
    const candidate = this._byInstance.get(event.instance)
    if (candidate !== undefined) {
      this._latencyModel.recordEvidence(candidate, event.evidence, nowMs)
    }
    return []
  }

  private _stepDetector (event: DetectionEvent, nowMs: number): ChoiceAction[] {
    const actions = this._detector.step(event, nowMs)
    return actions.length === 0 ? [] : actions.flatMap(action => toChoiceActions(action))
  }

  private _onTick (nowMs: number): ChoiceAction[] {
    const actions = this._stepDetector({ type: 'tick' }, nowMs)
    const stale = this._findProbeTarget(nowMs)
    if (stale !== undefined) {
      actions.push({ type: 'probe', instance: stale.instance })
    }
    return actions
  }

  /** Returns the reachable instance with the oldest load evidence, if that is old enough for a probe. */
  private _findProbeTarget (nowMs: number): CandidateLoad | undefined {
    let stalest: CandidateLoad | undefined
    let oldestMs = nowMs - this._options.probeAfterMs
    for (const candidate of this._subset) {
      if (isReachable(candidate) && candidate.evidenceAtMs < oldestMs) {
        oldestMs = candidate.evidenceAtMs
        stalest = candidate
      }
    }
    return stalest
  }
}

function isReachable (candidate: CandidateLoad): boolean {
  return candidate.state === 'serving' && candidate.vitals.linkUp
}

function toChoiceActions (action: DetectionAction): ChoiceAction[] {
  if (action.type === 'trial') {
    return []
  }
  if (action.type === 'restored') {
    return [{ type: 'restored', instance: action.instance }]
  }
  return [{ type: 'ejected', instance: action.instance, untilMs: action.untilMs }]
}
