import { MeasuringBudget } from '../../src/parts/budget/MeasuringBudget.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import type { ProcessLocation } from '../../src/parts/Types.js'
import { MEAN_WORK_MS } from './FakeUpstream.js'
import { HostNode } from './HostNode.js'
import { IngressNode } from './IngressNode.js'
import { Stats } from './Stats.js'
import { POLL_INTERVAL_MS, createStrategy, asProjectStrategy } from './Strategies.js'
import type { StrategyName } from './Strategies.js'
import { VirtualClock } from './VirtualClock.js'

/** Size of a simulated mesh: instances of the service, slots of each, and ingress nodes. */
export interface MeshSize {
  readonly name: string
  readonly instances: number
  readonly slots: number
  readonly ingresses: number
}

/** Parameters of one simulation run. */
export interface RunPlan {
  readonly size: MeshSize
  readonly strategy: StrategyName
  readonly seed: number
  /** Offered load as a fraction of the nominal capacity of the service. */
  readonly load: number
  /** How many times a caller retries a call that the mesh gave up on. */
  readonly callerRetries: number
  /** Slots that instance 0 announces, as a multiple of those that it has. */
  readonly announcedFactor: number
  /** Whether the polled load reports of instance 0 always say that it is idle. */
  readonly reportsNoLoad: boolean
  /** Probe messages that the measuring budget allows per call. */
  readonly messagesPerCall: number
  readonly measureFromMs: number
  readonly measureToMs: number
}

const ZONES = 3
const SAME_ZONE_DELAY_MS = 0.1
const OTHER_ZONE_DELAY_MS = 1
const TICK_MS = 25
const LINK_TIMEOUT_MS = 300
const PROBE_MESSAGE_BYTES = 64
const POLL_MESSAGE_BYTES = 200
const BYTES_PER_SECOND = 12_000

/** A simulated mesh: hosts, ingress nodes and callers on one virtual clock, with constant network delays. */
export class Mesh {
  public readonly clock = new VirtualClock()
  public readonly hosts: HostNode[]
  public readonly ingresses: IngressNode[]
  public readonly stats = new Stats()
  public readonly deadlineMs = 1000
  private readonly _random: SeededRandom
  private readonly _linkUp: boolean[]
  private readonly _budgets: MeasuringBudget[]
  private readonly _reports: number[]
  private _lastId = 0

  public constructor (public readonly plan: RunPlan) {
    const { size, seed } = plan
    this._random = new SeededRandom(seed * 7919 + 1)
    this.hosts = Array.from({ length: size.instances }, (_none, index) => {
      const announced = index === 0 ? size.slots * plan.announcedFactor : size.slots
      const work = new SeededRandom(seed * 104_729 + index)
      return new HostNode(this.clock, work, index, placeForIndex(index), size.slots, announced)
    })
    this._linkUp = this.hosts.map(() => true)
    this._reports = this.hosts.map(() => 0)
    this.ingresses = Array.from({ length: size.ingresses }, (_none, index) => {
      return new IngressNode(this, index, placeForIndex(index))
    })
    this._budgets = this.ingresses.map(() => {
      return new MeasuringBudget({ bytesPerSecond: BYTES_PER_SECOND, messagesPerCall: plan.messagesPerCall })
    })
    for (const ingress of this.ingresses) {
      this._addStrategy(ingress)
    }
    this._startPolls()
    this._startTicks()
    this._startArrivals()
  }

  /** Nominal capacity: calls per second that the service completes at normal speed. */
  public get capacityPerSecond (): number {
    const { instances, slots } = this.plan.size
    return instances * slots * 1000 / MEAN_WORK_MS
  }

  /** Returns a new id, unique among calls, attempts and probes. */
  public nextId (): number {
    this._lastId += 1
    return this._lastId
  }

  /** One-way network delay between two places. */
  public delayMs (from: ProcessLocation, to: ProcessLocation): number {
    return from.zone === to.zone ? SAME_ZONE_DELAY_MS : OTHER_ZONE_DELAY_MS
  }

  /** @param count Updates the statistics; called only while the current time is in the measured period. */
  public countIfMeasured (count: (stats: Stats) => void): void {
    const { measureFromMs, measureToMs } = this.plan
    if (this.clock.nowMs >= measureFromMs && this.clock.nowMs < measureToMs) {
      count(this.stats)
    }
  }

  /** Updates all ingress nodes after a propagation delay, with the members and links as they are at that time. */
  public propagateMembership (afterMs: number): void {
    this.clock.after(afterMs, () => {
      for (const ingress of this.ingresses) {
        ingress.updateLinks(this._linkUp)
      }
    })
  }

  /** Stops an instance and its node without notice; ingress nodes detect it when the links' heartbeats time out. */
  public crashHost (index: number): void {
    const host = this.hosts[index]
    if (host === undefined) {
      return
    }
    host.upstream.behaviour = 'lost'
    this.clock.after(LINK_TIMEOUT_MS, () => {
      this._linkUp[index] = false
      this.propagateMembership(0)
      for (const ingress of this.ingresses) {
        ingress.linkDown(host)
      }
    })
  }

  /** Starts the retry of a caller, at another ingress node if the given one is no longer alive. */
  public arriveAtLiveIngress (ingress: IngressNode, callerRetriesLeft: number): void {
    const target = ingress.alive ? ingress : this._randomLiveIngress()
    target.arrive(callerRetriesLeft)
  }

  private _addStrategy (ingress: IngressNode): void {
    ingress.strategy = createStrategy(this.plan.strategy, {
      place: ingress.place,
      random: new SeededRandom(this.plan.seed * 15_485_863 + ingress.index * 101 + 7),
      hosts: this.hosts,
      ingressNodes: this.ingresses.length,
      rttMs: host => 2 * this.delayMs(ingress.place, host.place),
      report: host => this._reports[host.index] ?? 0,
      probe: host => this._probe(ingress, host)
    })
    ingress.updateLinks(this._linkUp)
  }

  private _startArrivals (): void {
    const perMs = this.capacityPerSecond * this.plan.load / 1000
    const next = (): void => {
      this.clock.after(-Math.log(1 - this._random.next()) / perMs, () => {
        if (this.clock.nowMs >= this.plan.measureToMs) {
          return
        }
        const ingress = this._randomLiveIngress()
        this.countIfMeasured(stats => { stats.calls += 1 })
        this._budgets[ingress.index]?.step({ type: 'served', calls: 1 }, this.clock.nowMs)
        ingress.arrive(this.plan.callerRetries)
        next()
      })
    }
    next()
  }

  private _randomLiveIngress (): IngressNode {
    const alive = this.ingresses.filter(ingress => ingress.alive)
    return alive[Math.floor(this._random.next() * alive.length)] as IngressNode
  }

  private _startTicks (): void {
    this.clock.after(TICK_MS, () => {
      for (const ingress of this.ingresses) {
        ingress.strategy?.tick(this.clock.nowMs)
      }
      this._startTicks()
    })
  }

  /**
   * Polls the load endpoint of every host. One poll simulates those of all ingress nodes, since all would see the same
   * lag; the messages are counted for each node.
   */
  private _startPolls (): void {
    if (this.plan.strategy !== 'twoReport') {
      return
    }
    this.hosts.forEach((host, index) => {
      const reportsNoLoad = this.plan.reportsNoLoad && index === 0
      this._reports[index] = reportsNoLoad ? 0 : host.evidence().inFlight + host.evidence().queued
      this._countMeasurement(2 * this.ingresses.length, POLL_MESSAGE_BYTES)
    })
    this.clock.after(POLL_INTERVAL_MS, () => this._startPolls())
  }

  private _countMeasurement (messages: number, bytesEach: number): void {
    this.countIfMeasured(stats => {
      stats.measuringMessages += messages
      stats.measuringBytes += messages * bytesEach
    })
  }

  /** Requests load evidence from a host's node if the measuring budget of the ingress node grants it. */
  private _probe (ingress: IngressNode, host: HostNode): void {
    const request = { type: 'request', id: this.nextId(), kind: 'probe', bytes: 2 * PROBE_MESSAGE_BYTES, messages: 2 } as const
    const granted = this._budgets[ingress.index]?.step(request, this.clock.nowMs)[0]?.type === 'granted'
    if (!granted) {
      return
    }
    this._countMeasurement(2, PROBE_MESSAGE_BYTES)
    const delayMs = this.delayMs(ingress.place, host.place)
    this.clock.after(2 * delayMs, () => {
      if (host.upstream.behaviour !== 'lost' && ingress.strategy !== undefined) {
        asProjectStrategy(ingress.strategy)?.recordEvidence(host.index, host.evidence(), this.clock.nowMs)
      }
    })
  }
}

function placeForIndex (index: number): ProcessLocation {
  return { region: 'region', zone: `zone-${index % ZONES}` }
}
