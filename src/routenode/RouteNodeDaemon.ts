import type { RetryLimits } from '../parts/budget/SharedRetryBudget.js'
import type { ReportOutcome } from '../parts/instances/InstanceRegistry.js'
import { NodeDirectory } from '../parts/instances/NodeDirectory.js'
import type { InstanceIncarnation, InstanceReport, NodeEntry } from '../parts/instances/Types.js'
import type { RequestFingerprint } from '../parts/quarantine/RequestFingerprint.js'
import { HedgePolicy } from '../parts/retry/HedgePolicy.js'
import { RouteTable } from '../parts/routing/RouteTable.js'
import type { VersionedRouting, Workspace } from '../parts/routing/Types.js'
import { AnswerMemory } from '../parts/transfer/AnswerMemory.js'
import { BodyMemory } from '../parts/transfer/BodyMemory.js'
import type { Random, ServiceName } from '../parts/Types.js'
import { KeyTable } from '../parts/workspaces/KeyTable.js'
import { OperatorRelay } from '../routecontrol/OperatorRelay.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import type { BodyResources } from './BodyTransfer.js'
import { CallServer } from './CallServer.js'
import {
  ANSWER_CHECK_INTERVAL_MS, DEPARTURE_CONFIRM_TIMEOUT_MS, SHUTDOWN_DELAY_MS, SLOW_LINK_MBPS, STOP_NOTICE_MS
} from './Constants.js'
import { ControlFeed, type FeedWelcome } from './ControlFeed.js'
import { DepartureOutbox } from './DepartureOutbox.js'
import { Gateway } from './Gateway.js'
import { GroupDirectory } from './GroupDirectory.js'
import { InstanceProxy } from './InstanceProxy.js'
import { Placement } from './Placement.js'
import { Quarantine } from './Quarantine.js'
import { QuotaHost } from './QuotaHost.js'
import { type NodeGauges, RouteNodeMetrics } from './RouteNodeMetrics.js'
import { SharedRetryBudgets } from './SharedRetryBudgets.js'
import type { HeaderNames } from './Types.js'
import { ZoneEvacuation } from './ZoneEvacuation.js'

/** Settings of the node of a VM. */
export interface RouteNodeSettings {
  /** Address at which callers on this VM connect, `host:port`. */
  readonly callerAddress: string
  /** Address at which other nodes connect, `host:port`; also the name of the node. */
  readonly nodeAddress: string
  /** Address at which the instance on this VM listens, `host:port`. */
  readonly instanceAddress: string
  /** Service of that instance. */
  readonly service: ServiceName
  /** Availability zone of the VM. */
  readonly zone: string
  /** Whether the loss of a whole availability zone has to be borne. */
  readonly toleratesZoneLoss: boolean
  /** Addresses of the control replicas to connect to first, `host:port`. */
  readonly seeds: readonly string[]
  /** Address at which a control replica would listen on this VM; when absent, this node can't be named as a seed. */
  readonly directoryAddress?: string | undefined
  /** Limits on the retries and hedges to each service, for all nodes together. */
  readonly retryLimits: RetryLimits
  readonly names: HeaderNames
  /** Longest duration of a graceful shutdown, in milliseconds. */
  readonly stopLimitMs: number
  /** Memory of the node in megabytes, a quarter of which bodies may take; a default when absent. */
  readonly memoryMb?: number | undefined
  /** Descriptors that the node may open, half of which connections of callers may take; a default when absent. */
  readonly maxDescriptors?: number | undefined
  /** Rate of the VM's link in Mbit/s; when absent, the time to move bodies is not counted. */
  readonly linkMbps?: number | undefined
}

/** Settings and system services of a node. */
export interface RouteNodeOptions {
  readonly settings: RouteNodeSettings
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly fingerprint: RequestFingerprint
}

/** Longest time by which an instance may have started in the future, since the wall clock was set back meanwhile. */
const MAX_BORN_AHEAD_MS = 24 * 3_600_000

/** Part of `stopLimitMs` that is reserved for the exit of the process, in milliseconds. */
const STOP_RESERVE_MS = 500

/** Time for the answers to requests that are still open at the end of a shutdown to be sent, in milliseconds. */
const STOP_ANSWER_MS = 100

/**
 * The node of a VM, a process beside the instance. It combines the gateway for callers on the VM, the proxy in front of
 * the instance, the links to other nodes and the connection to a control replica.
 */
export class RouteNodeDaemon implements Disposable {
  /** Metrics of this node. */
  public readonly metrics = new RouteNodeMetrics(() => this._readGauges())
  private readonly _bodies: BodyResources
  private _answerTimer: NodeJS.Timeout | undefined
  private readonly _directory = new NodeDirectory()
  private readonly _quarantine: Quarantine
  private readonly _evacuation: ZoneEvacuation
  private readonly _instanceProxy: InstanceProxy
  private readonly _departures: DepartureOutbox
  private _areDeparturesKnown = false
  private readonly _placement: Placement
  private readonly _quotas: QuotaHost
  private readonly _gateway: Gateway
  private readonly _callServer: CallServer
  private readonly _controlFeed: ControlFeed
  private readonly _groupDirectory: GroupDirectory
  private _routeTable: RouteTable | undefined
  private _workspaces: readonly Workspace[] | undefined
  private _keys: KeyTable | undefined
  private _epoch: number
  private _revision = 0
  private _state: NodeEntry['state'] = 'up'
  private _isConfigured = false
  private _isStopping = false
  private _lastCallId = 0
  /** Entry that was sent to a control replica last, in a hello frame or on its own. */
  private _sentEntry: NodeEntry | undefined

  /** Passes calls of operators on to the control replicas. */
  public readonly operators: OperatorRelay

  public constructor (private readonly _options: RouteNodeOptions) {
    const { settings, clock, random, log, fingerprint } = _options
    this._epoch = Math.floor(clock.wallMs())
    const { memoryMb, linkMbps } = settings
    const memories = { memory: new BodyMemory(memoryMb), answers: new AnswerMemory(memoryMb) }
    this._bodies = { ...memories, linkMbps, metrics: this.metrics }
    this._quarantine = new Quarantine({ node: settings.nodeAddress, incarnation: this._epoch, fingerprint, clock, log })
    this._evacuation = new ZoneEvacuation({ zone: settings.zone, clock, random, log })
    const retryBudgets = new SharedRetryBudgets(settings.retryLimits)
    this._instanceProxy = new InstanceProxy({
      address: settings.instanceAddress,
      service: settings.service,
      names: settings.names,
      clock,
      log,
      quarantine: this._quarantine,
      findHealthPath: service => this._routeTable?.findService(service)?.healthPath,
      bodies: this._bodies,
      isZoneClosed: () => this._evacuation.isGateClosed,
      areDeparturesKnown: () => this._areDeparturesKnown,
      withdrawRepeat: name => retryBudgets.budgetFor(name).tryWithdraw(this._directory.size, clock.nowMs()),
      findColdSetting: name => {
        const service = this._routeTable?.findService(name)
        return service === undefined ? undefined : { perS: service.coldPerS, startMs: service.coldStartMs }
      }
    })
    this._departures = new DepartureOutbox({
      clock, log, send: departures => this._controlFeed.sendDepartures(departures)
    })
    this._placement = new Placement({
      self: settings.nodeAddress,
      zone: settings.zone,
      toleratesZoneLoss: settings.toleratesZoneLoss,
      local: this._instanceProxy,
      directory: this._directory,
      clock,
      random,
      log,
      bodies: this._bodies,
      drawExclusion: () => this._evacuation.drawExclusion()
    })
    this._quotas = new QuotaHost({
      self: settings.nodeAddress,
      incarnation: () => this._epoch,
      directory: this._directory,
      clock,
      random,
      metrics: this.metrics,
      send: message => this._controlFeed.sendQuotaMessage(message)
    })
    this._gateway = new Gateway({
      names: settings.names,
      clock,
      random,
      log,
      metrics: this.metrics,
      placement: this._placement,
      retryBudgets,
      hedgePolicy: new HedgePolicy(),
      quarantine: this._quarantine,
      quotas: this._quotas,
      shareUsed: workspace => this._quotas.shareUsed(workspace),
      callerService: () => this._instanceProxy.service,
      findRunning: requestId => this._instanceProxy.findRunning(requestId),
      isInTouch: () => this._controlFeed.replicaAddress !== undefined,
      nextCallId: () => ++this._lastCallId,
      nodeCount: () => this._directory.size,
      bodies: this._bodies,
      maxDescriptors: settings.maxDescriptors
    })
    this._callServer = new CallServer(this._instanceProxy, clock, this._bodies, log, settings)
    const hasSlowLink = (linkMbps ?? Infinity) < SLOW_LINK_MBPS
    this._controlFeed = new ControlFeed(settings.seeds, {
      hasSlowLink,
      nextEntry: () => this._makeHelloEntry(),
      crashReports: () => this._quarantine.reports()
    }, clock, random, log)
    this._groupDirectory = new GroupDirectory(this._controlFeed, clock, settings)
    const listReplicas = (): string[] => this._controlFeed.replicaAddresses
    this.operators = new OperatorRelay({ listReplicas, hasSlowLink, linkMbps, clock, log })
    this._subscribe()
  }

  /** Opens the listeners and starts to connect to a control replica. */
  public async start (): Promise<void> {
    const { answers } = this._bodies
    this._answerTimer = setInterval(() => answers.relieve(this._options.clock.nowMs()), ANSWER_CHECK_INTERVAL_MS)
    const { settings } = this._options
    await this._callServer.listen(settings.nodeAddress)
    await this._gateway.listen(settings.callerAddress)
    if (settings.directoryAddress !== undefined) await this._groupDirectory.listen(settings.directoryAddress)
    this._controlFeed.start()
  }

  /** True while this node accepts new callers: it has a configuration and is not shutting down. */
  public get isReady (): boolean {
    return this._isConfigured && !this._isStopping
  }

  /** Handles a report of the instance on this VM; once this returns, a draining instance gets no new calls. */
  public report (report: InstanceReport): ReportOutcome {
    // The start of another writer's instance must not rule out those to come.
    if (report.bornMs > this._options.clock.wallMs() + MAX_BORN_AHEAD_MS) return 'foreign'
    return this._instanceProxy.report(report)
  }

  /** Handles the deregistration of the instance on this VM, which stops for good; it gets no new calls after this. */
  public deregister (id: string, bornMs: number | undefined): ReportOutcome {
    return this._instanceProxy.deregister(id, bornMs)
  }

  /**
   * Waits until a departure that the instance has reported may be acknowledged: it must outlive this process, also when
   * all others end with it. The instance gets no new calls meanwhile.
   * @param instance The incarnation that leaves; any start of its id fits when its start is assumed.
   * @returns False when no such departure is in force, or when it could not be stored in time.
   */
  public async confirmDeparture (instance: InstanceIncarnation): Promise<boolean> {
    const { departures } = this._instanceProxy
    if (!await departures.hasLeft(instance)) return false
    this._departures.update(departures.all)
    return await this._departures.whenStored(instance, DEPARTURE_CONFIRM_TIMEOUT_MS)
  }

  /** Takes over the seeds and the service of the instance after a change of the settings. */
  public reload ({ seeds, service }: Pick<RouteNodeSettings, 'seeds' | 'service'>): void {
    this._controlFeed.setSeeds(seeds)
    this._instanceProxy.setService(service)
  }

  /** Returns a dump of the state, of bounded size. */
  public state (): object {
    return {
      node: this._options.settings.nodeAddress,
      ready: this.isReady,
      version: this._controlFeed.routing?.version ?? 0,
      evacuation: this._evacuation.state,
      home: this._controlFeed.replicaAddress ?? null,
      instance: this._instanceProxy.published ?? null,
      load: this._instanceProxy.load(),
      held: this._instanceProxy.pendingCallCount,
      inFlight: this._gateway.inFlight,
      bodies: { heldBytes: this._bodies.memory.heldBytes, openTransfers: this.metrics.openTransfers },
      placement: this._placement.describe()
    }
  }

  /**
   * Shuts down gracefully: callers are notified, so that they use other nodes, and requests that arrive meanwhile are
   * served. The instance keeps working for other nodes, which are notified last. Then the listener closes, and open
   * requests and calls finish, up to `stopLimitMs`; one has finished when the receiver of its answer has all of it.
   */
  public async stop (): Promise<void> {
    const { settings, clock, log } = this._options
    const startedAtMs = clock.nowMs()
    const untilMs = startedAtMs + settings.stopLimitMs - STOP_RESERVE_MS
    log.info({ inFlight: this._gateway.inFlight, held: this._instanceProxy.pendingCallCount }, 'stopping')
    this._isStopping = true
    this._gateway.announceClose(startedAtMs + SHUTDOWN_DELAY_MS, untilMs)
    await delay(SHUTDOWN_DELAY_MS - STOP_NOTICE_MS)
    this._state = 'stopping'
    this._publish()
    this._callServer.announceStop()
    await delay(STOP_NOTICE_MS)
    await Promise.race([this._finishOpenWork(), delay(untilMs - clock.nowMs())])
    await this._answerOpenRequests()
    const tookMs = Math.round(clock.nowMs() - startedAtMs)
    log.info({ inFlight: this._gateway.inFlight, held: this._instanceProxy.pendingCallCount, tookMs }, 'stopped')
    this.dispose()
  }

  /** Closes all listeners and connections at once. */
  public dispose (): void {
    clearInterval(this._answerTimer)
    this._controlFeed.dispose()
    this._departures.dispose()
    this._groupDirectory.dispose()
    this._quotas.dispose()
    this._gateway.dispose()
    this._callServer.dispose()
    this._placement.dispose()
    this._evacuation.dispose()
    this._instanceProxy.dispose()
  }

  /** Answers what is still open, and lets the answers leave before the connections are closed. */
  private async _answerOpenRequests (): Promise<void> {
    const { inFlight } = this._gateway
    this._gateway.endRequests()
    if (inFlight > 0) await delay(STOP_ANSWER_MS)
  }

  private async _finishOpenWork (): Promise<void> {
    await this._gateway.close()
    const countOpen = (): number => this._instanceProxy.pendingCallCount + this._callServer.outgoingAnswerCount
    while (countOpen() > 0) await delay(STOP_POLL_INTERVAL_MS)
    await this._callServer.finish()
  }

  private _readGauges (): NodeGauges {
    return {
      ready: this.isReady,
      version: this._controlFeed.routing?.version ?? 0,
      controlSilentMs: this._controlFeed.silentMs,
      nodes: this._directory.size,
      inFlight: this._gateway.inFlight,
      suspects: this._quarantine.size,
      pendingDepartures: this._departures.pendingCount,
      bodyBytes: this._bodies.memory.heldBytes,
      load: this._instanceProxy.load(),
      evacuation: this._evacuation.state,
      isZoneClosed: this._evacuation.isGateClosed,
      cold: this._instanceProxy.coldFigures
    }
  }

  private _subscribe (): void {
    this._instanceProxy.onChange(() => this._publish())
    this._controlFeed.onWelcome(welcome => this._onWelcome(welcome))
    this._controlFeed.onEntries(entries => this._onEntries(entries))
    this._controlFeed.onCrashReports(reports => this._quarantine.receive(reports))
    this._quarantine.onReports(reports => this._controlFeed.publishCrashReports(reports))
    this._controlFeed.onEvacuation(update => this._evacuation.apply(update))
    this._evacuation.onGateChange(() => this._instanceProxy.applyZoneClosure())
    this._evacuation.onEnd(() => this._instanceProxy.assumeCold())
    this._controlFeed.onDeparturesStored(departures => this._departures.receiveStored(departures))
    this._controlFeed.onQuotaAnswer(answer => this._quotas.receive(answer))
    this._controlFeed.onRouting(routing => this._apply(routing))
  }

  private _apply (routing: VersionedRouting): void {
    this._routeTable = new RouteTable(routing, this._options.random, this._routeTable)
    const { limits, workspaces } = routing.configuration
    this._gateway.apply(this._routeTable, limits, this._updateKeys(workspaces))
    const table = this._routeTable
    this._placement.setServices(table.services, service => table.findService(service)?.coldPerS)
    this._instanceProxy.applyColdSetting()
    this._instanceProxy.startRecovery()
    this._isConfigured = true
  }

  /** Most versions change no workspace. */
  private _updateKeys (workspaces: readonly Workspace[] | undefined): KeyTable | undefined {
    if (workspaces !== this._workspaces) {
      this._workspaces = workspaces
      this._keys = workspaces === undefined ? undefined : new KeyTable(workspaces)
    }
    return this._keys
  }

  private _onWelcome ({ own, departures }: FeedWelcome): void {
    this._restoreDepartures(departures)
    if (own?.instance !== undefined) this._instanceProxy.restore(own.instance)
    // The wall clock may have been set back since an earlier run, but this run must have the later epoch.
    if (own !== undefined && own.epoch > this._epoch) this._epoch = own.epoch + 1
    // The instance may have reported after the hello frame was sent; such a report has not been published yet.
    if (!isSamePublication(this._sentEntry, this._makeEntry())) this._publish()
    this._quotas.notifyConnected()
  }

  /** The instance gets calls only after this: an earlier run of this process may have acknowledged that it leaves. */
  private _restoreDepartures (departures: FeedWelcome['departures']): void {
    this._areDeparturesKnown = true
    this._departures.receiveStored(departures ?? [])
    this._departures.handleConnected(departures !== undefined)
    this._instanceProxy.departures.restore(departures ?? [])
    const fields = { known: departures?.map(({ id }) => id), pending: this._departures.pendingCount }
    this._options.log.info(fields, 'departures known')
  }

  private _onEntries (entries: readonly NodeEntry[]): void {
    const others = entries.filter(entry => entry.node !== this._options.settings.nodeAddress)
    this._placement.update(this._directory.merge(others, this._options.clock.nowMs()))
  }

  private _publish (): void {
    const entry = this._nextEntry()
    this._placement.update(this._directory.merge([entry], this._options.clock.nowMs()))
    if (this._controlFeed.publish(entry)) this._sentEntry = entry
  }

  /** Each entry has a higher revision than all before, so that it also replaces an entry that marks this node gone. */
  private _nextEntry (): NodeEntry {
    this._revision++
    return this._makeEntry()
  }

  private _makeHelloEntry (): NodeEntry {
    this._sentEntry = this._nextEntry()
    return this._sentEntry
  }

  private _makeEntry (): NodeEntry {
    const { nodeAddress, zone } = this._options.settings
    const base = { node: nodeAddress, zone, epoch: this._epoch, revision: this._revision, state: this._state }
    const instance = this._instanceProxy.published
    return instance === undefined ? base : { ...base, instance }
  }
}

/** Returns whether two entries of one node differ at most in their revision. */
function isSamePublication (a: NodeEntry | undefined, b: NodeEntry): boolean {
  return JSON.stringify({ ...a, revision: 0 }) === JSON.stringify({ ...b, revision: 0 })
}

/** Interval at which a shutdown checks whether all calls have ended, in milliseconds. */
const STOP_POLL_INTERVAL_MS = 20

async function delay (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
