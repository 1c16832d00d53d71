import type { InstanceId, Part, Place, Random } from '../Types.js'
import { OutlierDetector, isEjected } from '../detection/OutlierDetector.js'
import type { DetectionAction, DetectionEvent } from '../detection/Types.js'
import { CandidateLoad } from './CandidateLoad.js'
import {
  DEFAULT_INGRESS_NODES, DEFAULT_SERVICE_MS, FAILURE_COST_SERVICE_TIMES, JITTER, MIN_EXPECTED_MS,
  NONE_AVAILABLE_RETRY_MS, OTHER_REGION_RTT_MS, OWN_CALL_COST, PROBE_AFTER_MS, REFUSAL_COST, REFUSAL_QUEUE_PER_SLOT,
  SAME_REGION_RTT_MS, SAME_ZONE_RTT_MS, SERVICE_TIME_WEIGHT, SUBSET_ELSEWHERE_SHARE, SUBSET_SIZE, USUAL_RATIO,
  WEIGHED_PER_CALL
} from './Constants.js'
import { SubsetSelector } from './SubsetSelector.js'
import type { AttemptOutcome, Candidate, ChoiceAction, ChoiceEvent } from './Types.js'

type EventOf<T extends ChoiceEvent['type']> = Extract<ChoiceEvent, { type: T }>
type Handlers = { readonly [T in ChoiceEvent['type']]: (event: EventOf<T>, nowMs: number) => ChoiceAction[] }

const GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2

/** Options of an upstream chooser. Durations in milliseconds. */
export interface ChooserOptions {
  readonly subsetSize: number
  /** Share of the subset kept for other availability zones, 0 to 1. */
  readonly subsetElsewhereShare: number
  /** Nodes that call the service; subsets grow when there are few. */
  readonly ingressNodes: number
  readonly sameZoneRttMs: number
  readonly sameRegionRttMs: number
  readonly otherRegionRttMs: number
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
 * Picks an instance for each call of one service at one ingress node, and always answers `choose` at once. It sends
 * a call where the expected latency is lowest: round trip, service time, wait behind the load that is known of, and
 * what the instance lately took beyond what was expected of it.
 * Memory: one record for each instance of the subset and for each call in flight, and the list of candidates.
 */
export class UpstreamChooser implements Part<ChoiceEvent, ChoiceAction> {
  private readonly detector = new OutlierDetector()
  private readonly options: ChooserOptions
  private readonly selector: SubsetSelector
  private readonly handlers: Handlers = {
    members: event => this.members(event),
    choose: (event, nowMs) => this.choose(event, nowMs),
    answered: (event, nowMs) => this.answered(event, nowMs),
    evidence: (event, nowMs) => this.evidence(event, nowMs),
    linkDown: (event, nowMs) => this.detect(event, nowMs),
    linkUp: (event, nowMs) => this.detect(event, nowMs),
    tick: (_event, nowMs) => this.tick(nowMs)
  }

  private readonly byInstance = new Map<InstanceId, CandidateLoad>()
  private subset: CandidateLoad[] = []
  private serviceMs = DEFAULT_SERVICE_MS
  private serviceTimes = 0
  private callsInFlight = 0
  private othersPerSlotSum = 0

  /**
   * @param place Place of this ingress node.
   * @param random Source of random numbers; also salts the subset.
   * @param options What differs from the defaults.
   */
  public constructor (
    private readonly place: Place,
    private readonly random: Random,
    options: Partial<ChooserOptions> = {}
  ) {
    this.options = { ...DEFAULT_OPTIONS, ...options }
    const salt = Math.floor(random.next() * 0x7fffffff)
    const { subsetSize, subsetElsewhereShare, ingressNodes } = this.options
    const size = { total: subsetSize, elsewhereShare: subsetElsewhereShare, ingressNodes }
    this.selector = new SubsetSelector(place, salt, size)
  }

  /**
   * @param event What happened.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: ChoiceEvent, nowMs: number): ChoiceAction[] {
    const handler = this.handlers[event.type] as (event: ChoiceEvent, nowMs: number) => ChoiceAction[]
    return handler(event, nowMs)
  }

  /** Calls in flight from this node to an instance, for the state dump. */
  public inFlight (instance: InstanceId): number {
    return this.byInstance.get(instance)?.inFlight() ?? 0
  }

  private members (event: EventOf<'members'>): ChoiceAction[] {
    const usable = event.candidates.filter(candidate => candidate.state !== 'starting')
    const chosen = this.selector.select(usable)
    this.detector.step({ type: 'members', instances: chosen.map(candidate => candidate.instance) }, 0)
    const kept = new Set(chosen.map(candidate => candidate.instance))
    for (const [instance, load] of this.byInstance) {
      if (!kept.has(instance)) {
        this.callsInFlight -= load.inFlight()
        this.byInstance.delete(instance)
      }
    }
    this.subset = chosen.map(candidate => this.record(candidate))
    this.othersPerSlotSum = this.subset.reduce((sum, load) => sum + load.othersPerSlot(), 0)
    return []
  }

  private record (candidate: Candidate): CandidateLoad {
    const known = this.byInstance.get(candidate.instance)
    if (known !== undefined) {
      known.update(candidate)
      return known
    }
    const vitals = this.detector.vitals(candidate.instance)
    if (vitals === undefined) {
      throw new Error(`detector does not know ${candidate.instance}`)
    }
    const created = new CandidateLoad(candidate, this.rttMs(candidate.place), vitals)
    created.serviceMs = this.serviceMs
    this.byInstance.set(candidate.instance, created)
    return created
  }

  private rttMs (place: Place): number {
    if (place.region !== this.place.region) {
      return this.options.otherRegionRttMs
    }
    return place.zone === this.place.zone ? this.options.sameZoneRttMs : this.options.sameRegionRttMs
  }

  private choose (event: EventOf<'choose'>, nowMs: number): ChoiceAction[] {
    const target = this.target(event.excluded, nowMs)
    if (target === undefined) {
      return [{
        type: 'noneAvailable',
        call: event.call,
        reason: 'no-upstream',
        retryAfterMs: NONE_AVAILABLE_RETRY_MS
      }]
    }
    const expectedMs = this.expectedMs(target, nowMs)
    this.callsInFlight += 1
    target.sent(event.call, nowMs, expectedMs)
    this.detector.step({ type: 'started', instance: target.instance }, nowMs)
    return [{ type: 'chosen', call: event.call, instance: target.instance }]
  }

  /** The best of a sample; failing that, of the whole subset; failing that, of the ejected and unproven ones too. */
  private target (excluded: readonly InstanceId[], nowMs: number): CandidateLoad | undefined {
    return this.best(excluded, nowMs, WEIGHED_PER_CALL, false) ??
      this.best(excluded, nowMs, this.subset.length, false) ??
      this.best(excluded, nowMs, this.subset.length, true)
  }

  /** The lowest cost among some; nearly equal ones are told apart at random, so that nodes do not act alike. */
  private best (
    excluded: readonly InstanceId[], nowMs: number, sample: number, anyHealth: boolean
  ): CandidateLoad | undefined {
    const count = this.subset.length
    const weighed = Math.min(sample, count)
    let index = weighed < count ? Math.floor(this.random.next() * count) : 0
    // One random number a call; each instance gets its own by steps of the golden ratio.
    let spread = this.random.next()
    let best: CandidateLoad | undefined
    let lowest = Number.POSITIVE_INFINITY
    for (let seen = 0; seen < weighed; seen++) {
      const candidate = this.subset[index] as CandidateLoad
      index = index + 1 === count ? 0 : index + 1
      spread = spread < 1 - GOLDEN_RATIO ? spread + GOLDEN_RATIO : spread + GOLDEN_RATIO - 1
      if (!isReachable(candidate) || excluded.includes(candidate.instance)) {
        continue
      }
      if (!anyHealth && !this.isWelcome(candidate)) {
        continue
      }
      const cost = this.cost(candidate, nowMs) * (1 + JITTER * spread)
      if (cost < lowest) {
        lowest = cost
        best = candidate
      }
    }
    return best
  }

  private isWelcome (candidate: CandidateLoad): boolean {
    if (isEjected(candidate.vitals)) {
      return false
    }
    if (candidate.vitals.health === 'trial' && candidate.inFlight() > 0) {
      return false
    }
    return candidate.withinRamp()
  }

  private cost (candidate: CandidateLoad, nowMs: number): number {
    const expected = this.expectedMs(candidate, nowMs)
    const slow = Math.max(1, candidate.vitals.slowness.ratio(nowMs) - USUAL_RATIO + 1)
    const failing = candidate.vitals.failureShare * FAILURE_COST_SERVICE_TIMES * this.serviceMs
    const own = OWN_CALL_COST * this.serviceMs * candidate.inFlight() / (1 + this.meanInFlight())
    return expected * slow + own + failing
  }

  /** Round trip, wait and service at the load that is known of. */
  private expectedMs (candidate: CandidateLoad, nowMs: number): number {
    const wait = candidate.waitingAhead(this.meanOthersPerSlot(), nowMs) / candidate.slots
    const refusal = REFUSAL_COST * Math.max(0, wait - REFUSAL_QUEUE_PER_SLOT)
    const service = candidate.serviceNow(this.serviceMs, nowMs)
    return Math.max(MIN_EXPECTED_MS, candidate.rttMs + service * (1 + wait + refusal))
  }

  private meanInFlight (): number {
    return this.callsInFlight / Math.max(1, this.subset.length)
  }

  private meanOthersPerSlot (): number {
    return Math.max(0, this.othersPerSlotSum) / Math.max(1, this.subset.length)
  }

  private answered (event: EventOf<'answered'>, nowMs: number): ChoiceAction[] {
    const candidate = this.byInstance.get(event.instance)
    if (candidate === undefined) {
      return []
    }
    const sent = candidate.ended(event.call)
    this.callsInFlight -= sent === undefined ? 0 : 1
    if (event.evidence !== undefined) {
      this.learn(candidate, event.evidence, nowMs)
    } else if (event.outcome === 'refused') {
      this.changeLoad(candidate, () => candidate.refused(nowMs))
    }
    if (event.outcome === 'ok' && sent !== undefined) {
      candidate.goodAnswers += 1
      // What the newest service time explains is not held against the instance twice.
      const expectedMs = Math.max(sent.expectedMs, candidate.rttMs + candidate.serviceMs)
      candidate.vitals.slowness.answered(nowMs, event.latencyMs / expectedMs)
      candidate.vitals.slowness.noteSpeed(nowMs, event.latencyMs, candidate.rttMs + this.serviceMs)
    }
    if (sent === undefined) {
      return []
    }
    return this.report(event.instance, event.outcome, event.latencyMs, nowMs)
  }

  private learn (candidate: CandidateLoad, evidence: EventOf<'evidence'>['evidence'], nowMs: number): void {
    this.changeLoad(candidate, () => candidate.observe(evidence, nowMs))
    this.serviceTimes += 1
    const weight = Math.max(SERVICE_TIME_WEIGHT, 1 / this.serviceTimes)
    this.serviceMs += weight * (candidate.serviceMs - this.serviceMs)
  }

  private changeLoad (candidate: CandidateLoad, change: () => void): void {
    this.othersPerSlotSum -= candidate.othersPerSlot()
    change()
    this.othersPerSlotSum += candidate.othersPerSlot()
  }

  private report (
    instance: InstanceId, outcome: AttemptOutcome, latencyMs: number, nowMs: number
  ): ChoiceAction[] {
    return this.detect({ type: 'outcome', instance, outcome, latencyMs }, nowMs)
  }

  private evidence (event: EventOf<'evidence'>, nowMs: number): ChoiceAction[] {
    const candidate = this.byInstance.get(event.instance)
    if (candidate !== undefined) {
      this.learn(candidate, event.evidence, nowMs)
    }
    return []
  }

  private detect (event: DetectionEvent, nowMs: number): ChoiceAction[] {
    return this.detector.step(event, nowMs).flatMap(action => fromDetection(action))
  }

  private tick (nowMs: number): ChoiceAction[] {
    const actions = this.detect({ type: 'tick' }, nowMs)
    const stale = this.stalest(nowMs)
    if (stale !== undefined) {
      actions.push({ type: 'probe', instance: stale.instance })
    }
    return actions
  }

  /** The reachable instance whose evidence is oldest, if it is old enough for a probe. */
  private stalest (nowMs: number): CandidateLoad | undefined {
    let stalest: CandidateLoad | undefined
    let oldestMs = nowMs - this.options.probeAfterMs
    for (const candidate of this.subset) {
      if (isReachable(candidate) && candidate.evidenceMs < oldestMs) {
        oldestMs = candidate.evidenceMs
        stalest = candidate
      }
    }
    return stalest
  }
}

function isReachable (candidate: CandidateLoad): boolean {
  return candidate.state === 'serving' && candidate.vitals.linkUp
}

function fromDetection (action: DetectionAction): ChoiceAction[] {
  if (action.type === 'trial') {
    return []
  }
  if (action.type === 'restored') {
    return [{ type: 'restored', instance: action.instance }]
  }
  return [{ type: 'ejected', instance: action.instance, untilMs: action.untilMs }]
}
