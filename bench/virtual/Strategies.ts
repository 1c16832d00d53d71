import { UpstreamChooser } from '../../src/parts/choice/UpstreamChooser.js'
import type { AttemptOutcome, ChoiceAction } from '../../src/parts/choice/Types.js'
import type { CallId, LoadEvidence, Place, Random } from '../../src/parts/Types.js'
import type { HostNode } from './HostNode.js'
import { MEAN_WORK_MS } from './FakeUpstream.js'

/** How an attempt ended, as an ingress node sees it. */
export interface AttemptEnd {
  readonly call: CallId
  readonly host: number
  readonly outcome: AttemptOutcome
  readonly latencyMs: number
  readonly evidence: LoadEvidence | undefined
}

/** A way of choosing, one for each ingress node. */
export interface Strategy {
  /** Host for an attempt, or -1 when there is none. `usable` holds those that serve and whose link is up. */
  choose (call: CallId, usable: readonly HostNode[], excluded: readonly number[], nowMs: number): number
  ended (end: AttemptEnd, nowMs: number): void
  /** The members or the links changed. */
  changed (hosts: readonly HostNode[], linkUp: readonly boolean[], nowMs: number): void
  tick (nowMs: number): void
}

/** Names of the ways that are compared. */
export type StrategyName = 'random' | 'roundRobin' | 'leastInFlight' | 'twoOwn' | 'twoReport' | 'oracle' | 'sassafraslead'

/** What a strategy is given by the bench. */
export interface StrategyHost {
  readonly place: Place
  readonly random: Random
  readonly hosts: readonly HostNode[]
  /** Nodes that call the service. */
  readonly ingressNodes: number
  rttMs (host: HostNode): number
  /** Lagging report of a host: its load when last polled, or what it lies. */
  report (host: HostNode): number
  probe (host: HostNode): void
}

/** Time between polls of the load endpoint, for the baseline that uses them. */
export const POLL_MS = 100

abstract class Baseline implements Strategy {
  protected readonly inFlight: number[]

  public constructor (protected readonly host: StrategyHost) {
    this.inFlight = host.hosts.map(() => 0)
  }

  public choose (_call: CallId, usable: readonly HostNode[], excluded: readonly number[]): number {
    const open = excluded.length === 0 ? usable : usable.filter(host => !excluded.includes(host.index))
    const picked = open.length === 0 ? -1 : this.pick(open).index
    if (picked >= 0) {
      this.inFlight[picked] = this.own(picked) + 1
    }
    return picked
  }

  public ended (end: AttemptEnd): void {
    this.inFlight[end.host] = this.own(end.host) - 1
  }

  public changed (): void {}

  public tick (): void {}

  protected abstract pick (open: readonly HostNode[]): HostNode

  protected own (index: number): number {
    return this.inFlight[index] ?? 0
  }

  protected any (open: readonly HostNode[]): HostNode {
    return open[Math.floor(this.host.random.next() * open.length)] as HostNode
  }

  /** The one with the lowest cost; ties at random. */
  protected lowest (open: readonly HostNode[], cost: (host: HostNode) => number): HostNode {
    let best = open[0] as HostNode
    let lowest = Infinity
    let ties = 0
    for (const candidate of open) {
      const value = cost(candidate)
      ties = value < lowest ? 1 : ties + (value === lowest ? 1 : 0)
      if (value < lowest || (value === lowest && this.host.random.next() * ties < 1)) {
        best = candidate
        lowest = value
      }
    }
    return best
  }

  protected two (open: readonly HostNode[]): HostNode[] {
    return [this.any(open), this.any(open)]
  }
}

class RandomChoice extends Baseline {
  protected pick (open: readonly HostNode[]): HostNode {
    return this.any(open)
  }
}

class RoundRobin extends Baseline {
  private _turn = Math.floor(this.host.random.next() * 1000)

  protected pick (open: readonly HostNode[]): HostNode {
    this._turn += 1
    return open[this._turn % open.length] as HostNode
  }
}

class LeastInFlight extends Baseline {
  protected pick (open: readonly HostNode[]): HostNode {
    return this.lowest(open, host => this.own(host.index))
  }
}

class TwoOwn extends Baseline {
  protected pick (open: readonly HostNode[]): HostNode {
    return this.lowest(this.two(open), host => this.own(host.index))
  }
}

class TwoReport extends Baseline {
  protected pick (open: readonly HostNode[]): HostNode {
    return this.lowest(this.two(open), host => this.host.report(host))
  }
}

/** Knows the true load, speed, health and what is on its way, at the moment of choice. */
class Oracle extends Baseline {
  protected pick (open: readonly HostNode[]): HostNode {
    return this.lowest(open, host => this._latency(host))
  }

  private _latency (host: HostNode): number {
    const upstream = host.upstream
    if (upstream.behaviour !== 'up') {
      return Number.MAX_VALUE
    }
    const evidence = host.evidence()
    const load = Math.max(upstream.load, evidence.inFlight) + evidence.queued + host.inTransit
    const wait = Math.max(0, load + 1 - upstream.slots) / upstream.slots
    return this.host.rttMs(host) + MEAN_WORK_MS * upstream.workFactor * (1 + wait) + load / upstream.slots / 1000
  }
}

/** The parts of this project. */
class Ours implements Strategy {
  private readonly _chooser: UpstreamChooser
  private _linkUp: readonly boolean[] = []

  public constructor (private readonly _host: StrategyHost) {
    this._chooser = new UpstreamChooser(_host.place, _host.random, { ingressNodes: _host.ingressNodes })
  }

  public choose (call: CallId, _usable: readonly HostNode[], excluded: readonly number[], nowMs: number): number {
    const actions = this._chooser.step({ type: 'choose', call, excluded: excluded.map(String) }, nowMs)
    const chosen = actions.find(action => action.type === 'chosen')
    return chosen === undefined ? -1 : Number(chosen.instance)
  }

  public ended (end: AttemptEnd, nowMs: number): void {
    const { call, outcome, latencyMs, evidence } = end
    const event = { type: 'answered', call, instance: String(end.host), outcome, latencyMs } as const
    this._apply(this._chooser.step(evidence === undefined ? event : { ...event, evidence }, nowMs))
  }

  public changed (hosts: readonly HostNode[], linkUp: readonly boolean[], nowMs: number): void {
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

  /** Evidence that came by itself or was probed for. */
  public learn (host: number, evidence: LoadEvidence, nowMs: number): void {
    this._apply(this._chooser.step({ type: 'evidence', instance: String(host), evidence }, nowMs))
  }

  private _apply (actions: readonly ChoiceAction[]): void {
    for (const action of actions) {
      const host = action.type === 'probe' ? this._host.hosts[Number(action.instance)] : undefined
      if (host !== undefined) {
        this._host.probe(host)
      }
    }
  }
}

const STRATEGIES: { readonly [N in StrategyName]: (host: StrategyHost) => Strategy } = {
  random: host => new RandomChoice(host),
  roundRobin: host => new RoundRobin(host),
  leastInFlight: host => new LeastInFlight(host),
  twoOwn: host => new TwoOwn(host),
  twoReport: host => new TwoReport(host),
  oracle: host => new Oracle(host),
  sassafraslead: host => new Ours(host)
}

/** All names, the baselines first. */
export const STRATEGY_NAMES = Object.keys(STRATEGIES) as StrategyName[]

/**
 * @param name Way of choosing.
 * @param host What it is given.
 */
export function createStrategy (name: StrategyName, host: StrategyHost): Strategy {
  return STRATEGIES[name](host)
}

/** @param strategy Strategy of an ingress node; only ours takes evidence that comes by itself. */
export function learner (strategy: Strategy): Ours | undefined {
  return strategy instanceof Ours ? strategy : undefined
}
