import type { RetryLimits } from '../parts/budget/SharedRetryBudget.js'
import type { ReportOutcome } from '../parts/instances/InstanceRegistry.js'
import { NodeDirectory } from '../parts/instances/NodeDirectory.js'
import type { InstanceReport, NodeEntry } from '../parts/instances/Types.js'
import { HedgePolicy } from '../parts/retry/HedgePolicy.js'
import { RouteTable } from '../parts/routing/RouteTable.js'
import type { VersionedRouting } from '../parts/routing/Types.js'
import type { Random, ServiceName } from '../parts/Types.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { CallServer } from './CallServer.js'
import { REPUBLISH_MS, STOP_LINGER_MS } from './Constants.js'
import { ControlFeed, type FeedWelcome } from './ControlFeed.js'
import { Gateway } from './Gateway.js'
import { InstancePort } from './InstancePort.js'
import { Placement } from './Placement.js'
import { type NodeLevels, RouteNodeMetrics } from './RouteNodeMetrics.js'
import { RepeatBudgets } from './RepeatBudgets.js'
import type { HeaderNames } from './Types.js'

/** Settings of a node that serves routes. */
export interface RouteNodeSettings {
  /** Where callers on this VM connect, `host:port`. */
  readonly callerAddress: string
  /** Where other nodes connect, `host:port`; also the node's name. */
  readonly nodeAddress: string
  /** Where the instance on this VM listens, `host:port`. */
  readonly instanceAddress: string
  /** Service of that instance, until it reports one itself. */
  readonly service: ServiceName
  readonly zone: string
  /** Control replicas to ask first, `host:port`. */
  readonly seeds: readonly string[]
  readonly repeats: RetryLimits
  readonly names: HeaderNames
  /** Longest time that a planned stop may take, in milliseconds. */
  readonly stopLimitMs: number
}

/** What the daemon is built with. */
export interface RouteNodeOptions {
  readonly settings: RouteNodeSettings
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
}

/** Part of the stop limit that is left for the process to end. */
const STOP_RESERVE_MS = 500

/** The node of a VM as a process: gateway for callers, the way in to the instance, links to nodes and control. */
export class RouteNodeDaemon implements Disposable {
  /** Counters, levels and latencies. */
  public readonly metrics = new RouteNodeMetrics(() => this._levels())
  private readonly _directory = new NodeDirectory()
  private readonly _port: InstancePort
  private readonly _placement: Placement
  private readonly _gateway: Gateway
  private readonly _server: CallServer
  private readonly _feed: ControlFeed
  private _table: RouteTable | undefined
  private _epoch: number
  private _revision = 0
  private _state: NodeEntry['state'] = 'up'
  private _ready = false
  private _lastCall = 0
  private _republishTimer: NodeJS.Timeout | undefined

  public constructor (private readonly _options: RouteNodeOptions) {
    const { settings, clock, random, log } = _options
    this._epoch = Math.floor(clock.wallMs())
    this._port = new InstancePort({
      address: settings.instanceAddress,
      service: settings.service,
      names: settings.names,
      clock,
      log,
      healthPathOf: service => this._table?.findService(service)?.healthPath
    })
    this._placement = new Placement({
      self: settings.nodeAddress, zone: settings.zone, local: this._port, directory: this._directory, clock, random, log
    })
    this._gateway = new Gateway({
      names: settings.names,
      clock,
      random,
      log,
      metrics: this.metrics,
      placement: this._placement,
      budgets: new RepeatBudgets(settings.repeats),
      hedges: new HedgePolicy(),
      callerService: () => this._port.service,
      attemptOf: requestId => this._port.attemptOf(requestId),
      nextCall: () => ++this._lastCall,
      nodes: () => this._directory.size
    })
    this._server = new CallServer(this._port, clock)
    this._feed = new ControlFeed(settings.seeds, () => this._nextEntry(), clock, random, log)
    this._connectParts()
  }

  /** Opens the listeners and connects to control. */
  public async start (): Promise<void> {
    this._republishTimer = setInterval(() => this._publish(), REPUBLISH_MS)
    const { settings } = this._options
    await this._server.listen(settings.nodeAddress)
    await this._gateway.listen(settings.callerAddress)
    this._feed.start()
  }

  /** True while this node can take new callers. */
  public get isReady (): boolean {
    return this._ready && this._state === 'up'
  }

  /** Takes a report of the instance on this VM; once this returns, a leaving instance gets nothing new. */
  public report (report: InstanceReport): ReportOutcome {
    return this._port.report(report)
  }

  /** Takes the notice that the instance on this VM leaves; once this returns, it gets nothing new. */
  public leave (id: string, bornMs: number | undefined): ReportOutcome {
    return this._port.leave(id, bornMs)
  }

  /** Takes the seeds that the settings name by now. */
  public setSeeds (seeds: readonly string[]): void {
    this._feed.setSeeds(seeds)
  }

  /** A bounded dump of the state. */
  public state (): object {
    return {
      node: this._options.settings.nodeAddress,
      ready: this.isReady,
      version: this._feed.routing?.version ?? 0,
      home: this._feed.home ?? null,
      instance: this._port.published ?? null,
      load: this._port.load(),
      held: this._port.heldCalls,
      inFlight: this._gateway.inFlight,
      placement: this._placement.describe()
    }
  }

  /**
   * Stops in order: callers are told to leave and other nodes to choose others, requests that come meanwhile are
   * served, then the listener closes and what is open ends.
   */
  public async stop (): Promise<void> {
    const { settings, clock, log } = this._options
    const untilMs = clock.nowMs() + settings.stopLimitMs - STOP_RESERVE_MS
    log.info({ inFlight: this._gateway.inFlight, held: this._port.heldCalls }, 'stopping')
    this._state = 'stopping'
    this._publish()
    this._server.announceStop()
    this._gateway.announceClose()
    await delay(STOP_LINGER_MS)
    this._gateway.close()
    while (this._gateway.inFlight + this._port.heldCalls > 0 && clock.nowMs() < untilMs) await delay(STOP_POLL_MS)
    log.info({ inFlight: this._gateway.inFlight, held: this._port.heldCalls }, 'stopped')
    this.dispose()
  }

  /** Ends everything at once. */
  public dispose (): void {
    clearInterval(this._republishTimer)
    this._feed.dispose()
    this._gateway.dispose()
    this._server.dispose()
    this._placement.dispose()
    this._port.dispose()
  }

  private _levels (): NodeLevels {
    return {
      ready: this.isReady,
      version: this._feed.routing?.version ?? 0,
      nodes: this._directory.size,
      inFlight: this._gateway.inFlight,
      load: this._port.load()
    }
  }

  private _connectParts (): void {
    this._port.onChange(() => this._publish())
    this._feed.onWelcome(welcome => this._handleWelcome(welcome))
    this._feed.onEntries(entries => this._handleEntries(entries))
    this._feed.onRouting(routing => this._apply(routing))
  }

  private _apply (routing: VersionedRouting): void {
    this._table = new RouteTable(routing, this._options.random, this._table)
    this._gateway.apply(this._table, routing.configuration.limits)
    this._placement.setServices(this._table.services)
    this._port.discover()
    this._ready = true
  }

  private _handleWelcome ({ own }: FeedWelcome): void {
    if (own?.instance !== undefined) this._port.restore(own.instance)
    // The time of day may have gone back since an earlier run: this one must still count as later.
    if (own !== undefined && own.epoch > this._epoch) this._epoch = own.epoch + 1
    // What has changed since the hello was not told to anyone.
    this._publish()
  }

  private _handleEntries (entries: readonly NodeEntry[]): void {
    const others = entries.filter(entry => entry.node !== this._options.settings.nodeAddress)
    this._directory.merge(others, this._options.clock.nowMs())
    this._placement.refresh()
  }

  private _publish (): void {
    this._directory.merge([this._nextEntry()], this._options.clock.nowMs())
    this._placement.refresh()
    this._feed.publish()
  }

  /** Each publication is newer than all before, so that it outlives a notice that this node was lost. */
  private _nextEntry (): NodeEntry {
    const { nodeAddress, zone } = this._options.settings
    const revision = ++this._revision
    const base = { node: nodeAddress, zone, epoch: this._epoch, revision, state: this._state }
    const instance = this._port.published
    return instance === undefined ? base : { ...base, instance }
  }
}

/** Interval at which a stop looks whether all is done, in milliseconds. */
const STOP_POLL_MS = 20

async function delay (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
