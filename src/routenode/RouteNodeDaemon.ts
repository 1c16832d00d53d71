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
import { REPUBLISH_INTERVAL_MS, SHUTDOWN_DELAY_MS } from './Constants.js'
import { ControlFeed, type FeedWelcome } from './ControlFeed.js'
import { Gateway } from './Gateway.js'
import { InstanceProxy } from './InstanceProxy.js'
import { Placement } from './Placement.js'
import { type NodeGauges, RouteNodeMetrics } from './RouteNodeMetrics.js'
import { SharedRetryBudgets } from './SharedRetryBudgets.js'
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
  readonly retryLimits: RetryLimits
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
  public readonly metrics = new RouteNodeMetrics(() => this._readGauges())
  private readonly _directory = new NodeDirectory()
  private readonly _instanceProxy: InstanceProxy
  private readonly _placement: Placement
  private readonly _gateway: Gateway
  private readonly _callServer: CallServer
  private readonly _controlFeed: ControlFeed
  private _routeTable: RouteTable | undefined
  private _epoch: number
  private _revision = 0
  private _state: NodeEntry['state'] = 'up'
  private _isConfigured = false
  private _lastCallId = 0
  private _republishTimer: NodeJS.Timeout | undefined

  public constructor (private readonly _options: RouteNodeOptions) {
    const { settings, clock, random, log } = _options
    this._epoch = Math.floor(clock.wallMs())
    this._instanceProxy = new InstanceProxy({
      address: settings.instanceAddress,
      service: settings.service,
      names: settings.names,
      clock,
      log,
      findHealthPath: service => this._routeTable?.findService(service)?.healthPath
    })
    this._placement = new Placement({
      self: settings.nodeAddress,
      zone: settings.zone,
      local: this._instanceProxy,
      directory: this._directory,
      clock,
      random,
      log
    })
    this._gateway = new Gateway({
      names: settings.names,
      clock,
      random,
      log,
      metrics: this.metrics,
      placement: this._placement,
      retryBudgets: new SharedRetryBudgets(settings.retryLimits),
      hedgePolicy: new HedgePolicy(),
      callerService: () => this._instanceProxy.service,
      findRunningAttempt: requestId => this._instanceProxy.findRunningAttempt(requestId),
      nextCallId: () => ++this._lastCallId,
      nodeCount: () => this._directory.size
    })
    this._callServer = new CallServer(this._instanceProxy, clock)
    this._controlFeed = new ControlFeed(settings.seeds, () => this._nextEntry(), clock, random, log)
    this._subscribe()
  }

  /** Opens the listeners and connects to control. */
  public async start (): Promise<void> {
    this._republishTimer = setInterval(() => this._publish(), REPUBLISH_INTERVAL_MS)
    const { settings } = this._options
    await this._callServer.listen(settings.nodeAddress)
    await this._gateway.listen(settings.callerAddress)
    this._controlFeed.start()
  }

  /** True while this node can take new callers. */
  public get isReady (): boolean {
    return this._isConfigured && this._state === 'up'
  }

  /** Takes a report of the instance on this VM; once this returns, a leaving instance gets nothing new. */
  public report (report: InstanceReport): ReportOutcome {
    return this._instanceProxy.report(report)
  }

  /** Takes the notice that the instance on this VM leaves; once this returns, it gets nothing new. */
  public deregister (id: string, bornMs: number | undefined): ReportOutcome {
    return this._instanceProxy.deregister(id, bornMs)
  }

  /** Takes the seeds that the settings name by now. */
  public setSeeds (seeds: readonly string[]): void {
    this._controlFeed.setSeeds(seeds)
  }

  /** A bounded dump of the state. */
  public state (): object {
    return {
      node: this._options.settings.nodeAddress,
      ready: this.isReady,
      version: this._controlFeed.routing?.version ?? 0,
      home: this._controlFeed.replicaAddress ?? null,
      instance: this._instanceProxy.published ?? null,
      load: this._instanceProxy.load(),
      held: this._instanceProxy.pendingCallCount,
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
    log.info({ inFlight: this._gateway.inFlight, held: this._instanceProxy.pendingCallCount }, 'stopping')
    this._state = 'stopping'
    this._publish()
    this._callServer.announceStop()
    this._gateway.announceClose()
    await delay(SHUTDOWN_DELAY_MS)
    this._gateway.close()
    while (
      this._gateway.inFlight + this._instanceProxy.pendingCallCount > 0 && clock.nowMs() < untilMs
    ) await delay(STOP_POLL_INTERVAL_MS)
    log.info({ inFlight: this._gateway.inFlight, held: this._instanceProxy.pendingCallCount }, 'stopped')
    this.dispose()
  }

  /** Ends everything at once. */
  public dispose (): void {
    clearInterval(this._republishTimer)
    this._controlFeed.dispose()
    this._gateway.dispose()
    this._callServer.dispose()
    this._placement.dispose()
    this._instanceProxy.dispose()
  }

  private _readGauges (): NodeGauges {
    return {
      ready: this.isReady,
      version: this._controlFeed.routing?.version ?? 0,
      nodes: this._directory.size,
      inFlight: this._gateway.inFlight,
      load: this._instanceProxy.load()
    }
  }

  private _subscribe (): void {
    this._instanceProxy.onChange(() => this._publish())
    this._controlFeed.onWelcome(welcome => this._onWelcome(welcome))
    this._controlFeed.onEntries(entries => this._onEntries(entries))
    this._controlFeed.onRouting(routing => this._apply(routing))
  }

  private _apply (routing: VersionedRouting): void {
    this._routeTable = new RouteTable(routing, this._options.random, this._routeTable)
    this._gateway.apply(this._routeTable, routing.configuration.limits)
    this._placement.setServices(this._routeTable.services)
    this._instanceProxy.discover()
    this._isConfigured = true
  }

  private _onWelcome ({ own }: FeedWelcome): void {
    if (own?.instance !== undefined) this._instanceProxy.restore(own.instance)
    // The time of day may have gone back since an earlier run: this one must still count as later.
    if (own !== undefined && own.epoch > this._epoch) this._epoch = own.epoch + 1
    // What has changed since the hello was not told to anyone.
    this._publish()
  }

  private _onEntries (entries: readonly NodeEntry[]): void {
    const others = entries.filter(entry => entry.node !== this._options.settings.nodeAddress)
    this._directory.merge(others, this._options.clock.nowMs())
    this._placement.refresh()
  }

  private _publish (): void {
    this._directory.merge([this._nextEntry()], this._options.clock.nowMs())
    this._placement.refresh()
    this._controlFeed.publish()
  }

  /** Each publication is newer than all before, so that it outlives a notice that this node was lost. */
  private _nextEntry (): NodeEntry {
    const { nodeAddress, zone } = this._options.settings
    const revision = ++this._revision
    const base = { node: nodeAddress, zone, epoch: this._epoch, revision, state: this._state }
    const instance = this._instanceProxy.published
    return instance === undefined ? base : { ...base, instance }
  }
}

/** Interval at which a stop looks whether all is done, in milliseconds. */
const STOP_POLL_INTERVAL_MS = 20

async function delay (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
