import { UpstreamChooser } from '../../src/parts/choice/UpstreamChooser.js'
import type { AttemptOutcome, ChoiceAction } from '../../src/parts/choice/Types.js'
import type { CallId, LoadEvidence, ProcessLocation, Random } from '../../src/parts/Types.js'
import type { HostNode } from './HostNode.js'
import { MEAN_WORK_MS } from './FakeUpstream.js'

/** Result of an attempt as its ingress node sees it. */
export interface AttemptResult {
  readonly call: CallId
  readonly host: number
  readonly outcome: AttemptOutcome
  readonly latencyMs: number
  readonly evidence: LoadEvidence | undefined
}

/** A strategy for choosing the host of an attempt. Each ingress node has its own. */
export interface Strategy {
  /**
   * Returns the index of the host for an attempt, or -1 when there is none.
   * @param usable Hosts that are serving and whose link is up.
   * @param excluded Indexes of hosts that earlier attempts of the call were sent to.
   */
  choose (call: CallId, usable: readonly HostNode[], excluded: readonly number[], nowMs: number): number
  recordResult (result: AttemptResult, nowMs: number): void
  /** Called when members or links have changed. */
  updateMembership (hosts: readonly HostNode[], linkUp: readonly boolean[], nowMs: number): void
  tick (nowMs: number): void
}

/** Names of the compared strategies, as written in reports. */
export type StrategyName = 'random' | 'roundRobin' | 'leastInFlight' | 'twoOwn' | 'twoReport' | 'oracle' | 'sassafraslead'

/** What the simulation provides to a strategy. */
export interface StrategyContext {
  readonly place: ProcessLocation
  readonly random: Random
  readonly hosts: readonly HostNode[]
  /** Number of ingress nodes that call the service. */
  readonly ingressNodes: number
  rttMs (host: HostNode): number
  /** Load of a host as of the last poll; in some scenarios a host reports a wrong value. */
  report (host: HostNode): number
  /** Requests load evidence from a host, within the measuring budget. */
  probe (host: HostNode): void
}

/** Interval at which load endpoints are polled for the strategy `twoReport`. */
export const POLL_INTERVAL_MS = 100

/** Base of the baselines: counts the calls in flight from this ingress node to each host. */
abstract class Baseline implements Strategy {
  protected readonly inFlight: number[]

  public constructor (protected readonly context: StrategyContext) {
    this.inFlight = context.hosts.map(() => 0)
  }

  public choose (_call: CallId, usable: readonly HostNode[], excluded: readonly number[]): number {
    const eligible = excluded.length === 0 ? usable : usable.filter(host => !excluded.includes(host.index))
    const picked = eligible.length === 0 ? -1 : this.pick(eligible).index
    if (picked >= 0) {
      this.inFlight[picked] = this.inFlightAt(picked) + 1
    }
    return picked
  }

  public recordResult (result: AttemptResult): void {
    this.inFlight[result.host] = this.inFlightAt(result.host) - 1
  }

  public updateMembership (): void {}

  public tick (): void {}

  protected abstract pick (eligible: readonly HostNode[]): HostNode

  protected inFlightAt (index: number): number {
    return this.inFlight[index] ?? 0
  }

  protected pickRandom (eligible: readonly HostNode[]): HostNode {
    return eligible[Math.floor(this.context.random.next() * eligible.length)] as HostNode
  }

  /** Returns the host with the lowest cost; ties are broken at random. */
  protected pickLowestCost (eligible: readonly HostNode[], cost: (host: HostNode) => number): HostNode {
    let best = eligible[0] as HostNode
    let lowest = Infinity
    let ties = 0
    for (const candidate of eligible) {
      const value = cost(candidate)
      ties = value < lowest ? 1 : ties + (value === lowest ? 1 : 0)
      if (value < lowest || (value === lowest && this.context.random.next() * ties < 1)) {
        best = candidate
        lowest = value
      }
    }
    return best
  }

  protected sampleTwo (eligible: readonly HostNode[]): HostNode[] {
    return [this.pickRandom(eligible), this.pickRandom(eligible)]
  }
}

class RandomChoice extends Baseline {
  protected pick (eligible: readonly HostNode[]): HostNode {
    return this.pickRandom(eligible)
  }
}

class RoundRobin extends Baseline {
  private _position = Math.floor(this.context.random.next() * 1000)

  protected pick (eligible: readonly HostNode[]): HostNode {
    this._position += 1
    return eligible[this._position % eligible.length] as HostNode
  }
}

/** Fewest calls in flight from this ingress node. */
class LeastInFlight extends Baseline {
  protected pick (eligible: readonly HostNode[]): HostNode {
    return this.pickLowestCost(eligible, host => this.inFlightAt(host.index))
  }
}

/** Power of two choices by the calls in flight from this ingress node. */
class TwoChoicesByInFlight extends Baseline {
  protected pick (eligible: readonly HostNode[]): HostNode {
    return this.pickLowestCost(this.sampleTwo(eligible), host => this.inFlightAt(host.index))
  }
}

/** Power of two choices by the polled load reports. */
class TwoChoicesByReport extends Baseline {
  protected pick (eligible: readonly HostNode[]): HostNode {
    return this.pickLowestCost(this.sampleTwo(eligible), host => this.context.report(host))
  }
}

/** Ideal strategy that knows the current load, slowness and health of each host and the attempts in transit to it. */
class Oracle extends Baseline {
  protected pick (eligible: readonly HostNode[]): HostNode {
    return this.pickLowestCost(eligible, host => this._latency(host))
  }

  private _latency (host: HostNode): number {
    const upstream = host.upstream
    if (upstream.behaviour !== 'up') {
      return Number.MAX_VALUE
    }
    const evidence = host.evidence()
    const load = Math.max(upstream.load, evidence.inFlight) + evidence.queued + host.inTransit
    const wait = Math.max(0, load + 1 - upstream.slots) / upstream.slots
    return this.context.rttMs(host) + MEAN_WORK_MS * upstream.slownessFactor * (1 + wait) + load / upstream.slots / 1000
  }
}

/** The strategy of this project, built on its `UpstreamChooser`. */
class ProjectStrategy implements Strategy {
  private readonly _chooser: UpstreamChooser
  private _linkUp: readonly boolean[] = []

  public constructor (private readonly _context: StrategyContext) {
    this._chooser = new UpstreamChooser(_context.place, _context.random, { ingressNodes: _context.ingressNodes })
  }

  public choose (call: CallId, _usable: readonly HostNode[], excluded: readonly number[], nowMs: number): number {
    const actions = this._chooser.step({ type: 'choose', call, excluded: excluded.map(String) }, nowMs)
    const chosen = actions.find(action => action.type === 'chosen')
    return chosen === undefined ? -1 : Number(chosen.instance)
  }

  public recordResult (result: AttemptResult, nowMs: number): void {
    const { call, outcome, latencyMs, evidence } = result
    const event = { type: 'answered', call, instance: String(result.host), outcome, latencyMs } as const
    this._apply(this._chooser.step(evidence === undefined ? event : { ...event, evidence }, nowMs))
  }

  public updateMembership (hosts: readonly HostNode[], linkUp: readonly boolean[], nowMs: number): void {
    this._chooser.step({ type: 'members', candidates: hosts.map(host => host.candidate()) }, nowMs)
    linkUp.forEach((up, index) => {
      if (up !== (this._linkUp[index] ?? true)) {
        this._chooser.step({ type: up ? 'linkUp' : 'linkDown', instance: String(index) }, nowMs)
      }
    })
    this._linkUp = [...linkUp]
  }

  public tick (nowMs: number): void {
    this._apply(this._chooser.step({ type: 'tick' }, nowMs))
  }

  /** Records load evidence that came without an answer, such as that of a probe. */
  public recordEvidence (host: number, evidence: LoadEvidence, nowMs: number): void {
    this._apply(this._chooser.step({ type: 'evidence', instance: String(host), evidence }, nowMs))
  }

  private _apply (actions: readonly ChoiceAction[]): void {
    for (const action of actions) {
      const host = action.type === 'probe' ? this._context.hosts[Number(action.instance)] : undefined
      if (host !== undefined) {
        this._context.probe(host)
      }
    }
  }
}

const STRATEGIES: { readonly [N in StrategyName]: (context: StrategyContext) => Strategy } = {
  random: context => new RandomChoice(context),
  roundRobin: context => new RoundRobin(context),
  leastInFlight: context => new LeastInFlight(context),
  twoOwn: context => new TwoChoicesByInFlight(context),
  twoReport: context => new TwoChoicesByReport(context),
  oracle: context => new Oracle(context),
  sassafraslead: context => new ProjectStrategy(context)
}

/** All strategy names, the baselines first. */
export const STRATEGY_NAMES = Object.keys(STRATEGIES) as StrategyName[]

/**
 * Creates a strategy for one ingress node.
 * @param name Strategy to create.
 * @param context What the simulation provides.
 */
export function createStrategy (name: StrategyName, context: StrategyContext): Strategy {
  return STRATEGIES[name](context)
}

/**
 * Returns the strategy if it is the one of this project, the only one that uses load evidence without an answer.
 * @param strategy Strategy of an ingress node.
 */
export function asProjectStrategy (strategy: Strategy): ProjectStrategy | undefined {
  return strategy instanceof ProjectStrategy ? strategy : undefined
}
