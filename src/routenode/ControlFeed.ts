import type { Socket } from 'node:net'
import type { EvacuationState } from '../parts/evacuation/Types.js'
import type { Departure, NodeEntry } from '../parts/instances/Types.js'
import type { CrashReport } from '../parts/quarantine/Types.js'
import type { QuotaAnswer, QuotaMessage } from '../parts/quota/Types.js'
import type { RoutingDelta, VersionedRouting } from '../parts/routing/Types.js'
import { applyPatch } from '../parts/routing/RoutingDelta.js'
import { computeTransferMs } from '../parts/transfer/TransferTime.js'
import type { Random } from '../parts/Types.js'
import { decodeAddresses, decodeDepartureList, decodeEntries } from '../routecontrol/EntryDecoder.js'
import type { FeedToNode, NodeToFeed } from '../routecontrol/Types.js'
import { connectTo } from '../runtime/Address.js'
import { CONNECT_TIMEOUT_MAX_MS, CONNECT_TIMEOUT_MIN_MS } from '../runtime/Constants.js'
import { Emitter } from '../runtime/Emitter.js'
import { FrameChannel } from '../runtime/FrameChannel.js'
import { decodeCompressed } from '../runtime/FrameCompression.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import {
  FEED_CHECK_INTERVAL_MS, FEED_MIN_LINK_MBPS, FEED_PING_INTERVAL_MS, FEED_RECONNECT_DELAY_MS, FEED_TIMEOUT_MS,
  FEED_WELCOME_TIMEOUT_MIN_MS, FEED_WELCOME_TIMEOUT_MS
} from './Constants.js'
import { ReplicaChoice } from './ReplicaChoice.js'

/** Frame by which a control replica accepts this node. */
export type FeedWelcome = Extract<FeedToNode, { type: 'welcome' }>

/** What a node tells each control replica that it connects to. */
export interface FeedSource {
  /** True when the link of this VM is so slow that large frames should be compressed; absent means false. */
  readonly hasSlowLink?: boolean
  /** Returns the entry of this node to publish. */
  nextEntry (): NodeEntry
  /** Returns the reports of requests that may have crashed instances. */
  crashReports (): readonly CrashReport[]
}

/** Evacuated zones as a control replica has sent them. */
export interface EvacuationUpdate {
  readonly evacuation: EvacuationState
  /** How long they have been in force; infinite for a node that has just started or when the replica does not know. */
  readonly ageMs: number
}

type Channel = FrameChannel<FeedToNode, NodeToFeed>

type Handlers = {
  readonly [Type in FeedToNode['type']]: (frame: Extract<FeedToNode, { type: Type }>) => void
}

/**
 * Subscription to the routing configuration, the evacuated zones and the entries of the other nodes. The node is
 * connected to one control replica at a time, and connects to another one when that replica times out or cannot serve
 * it. The configuration and the evacuated zones that were applied stay in force meanwhile; the version of the one and
 * the revision of the others never decrease.
 */
export class ControlFeed implements Disposable {
  private readonly _welcomeEmitter = new Emitter<FeedWelcome>()
  private readonly _entriesEmitter = new Emitter<readonly NodeEntry[]>()
  private readonly _crashReportsEmitter = new Emitter<readonly CrashReport[]>()
  private readonly _departuresEmitter = new Emitter<readonly Departure[]>()
  private readonly _quotaAnswerEmitter = new Emitter<QuotaAnswer>()
  private readonly _routingEmitter = new Emitter<VersionedRouting>()
  private readonly _evacuationEmitter = new Emitter<EvacuationUpdate>()
  private _replicaAddresses: string[]
  /** Addresses that control named or that replicas announced, without those that only the settings name. */
  private _memberAddresses: readonly string[] = []
  private _channel: Channel | undefined
  private _socket: Socket | undefined
  private _pingTimer: NodeJS.Timeout | undefined
  private _welcomeTimer: NodeJS.Timeout | undefined
  private _reconnectTimer: NodeJS.Timeout | undefined
  private _routing: VersionedRouting | undefined
  /** Revision of the evacuated zones that this node knows; undefined before the first welcome. */
  private _evacuationRevision: number | undefined
  private readonly _choice: ReplicaChoice
  private _connectTimeoutMs = CONNECT_TIMEOUT_MIN_MS
  /** A node that has never been connected waits for the first leader of a group that starts. */
  private _welcomeTimeoutMs = FEED_WELCOME_TIMEOUT_MS
  private _lastCheckMs = 0
  private _lastPingMs = 0
  private _isDisposed = false
  private _isWelcomed = false

  private readonly _handlers: Handlers = {
    compressed: frame => this._handle(decodeCompressed(frame) as FeedToNode),
    welcome: frame => this._onWelcome(frame),
    routing: ({ routing }) => this._apply(routing),
    routingDifferences: ({ differences }) => this._applyDeltas(differences),
    entries: ({ entries }) => this._entriesEmitter.fire(decodeEntries(entries, this._home, this._log)),
    crashReports: ({ reports }) => this._crashReportsEmitter.fire(reports),
    evacuation: ({ evacuation }) => this._applyEvacuation(evacuation, 0),
    departuresStored: ({ departures }) => {
      this._departuresEmitter.fire(decodeDepartureList(departures, this._home, this._log))
    },
    quotaAnswer: ({ answer }) => this._quotaAnswerEmitter.fire(answer),
    // A replica that turns this node away may itself have an old list, so its list adds to what is known.
    controls: frame => {
      const controls = decodeAddresses(frame.controls, this._home, this._log)
      if (this._isWelcomed) this._setMembers(controls)
      else this._addMembers(controls)
    },
    feedPong: ({ fit }) => {
      if (!fit) this._channel?.destroy('control replica has no leader, is no member, or could not confirm that it is up to date')
    }
  }

  /**
   * @param _seeds Addresses of the replicas to connect to first, `host:port`.
   * @param _source Called at each connect.
   */
  public constructor (
    private _seeds: readonly string[],
    private readonly _source: FeedSource,
    private readonly _clock: Clock,
    random: Random,
    private readonly _log: Log
  ) {
    this._replicaAddresses = [..._seeds]
    this._choice = new ReplicaChoice(random)
  }

  /** Fires when a replica has accepted this node. */
  public readonly onWelcome = this._welcomeEmitter.event

  /** Fires with entries of nodes that were added or changed. */
  public readonly onEntries = this._entriesEmitter.event

  /** Fires with reports of requests that may have crashed instances. */
  public readonly onCrashReports = this._crashReportsEmitter.event

  /** Fires with all departures that the control group has stored for this node. */
  public readonly onDeparturesStored = this._departuresEmitter.event

  /** Fires with the answers of the leader about quotas. */
  public readonly onQuotaAnswer = this._quotaAnswerEmitter.event

  /** Fires with each newer version of the routing configuration. */
  public readonly onRouting = this._routingEmitter.event

  /** Fires with the evacuated zones that a replica has sent, unless their revision is older than one before. */
  public readonly onEvacuation = this._evacuationEmitter.event

  /** Routing configuration in force at this node; undefined before the first one. */
  public get routing (): VersionedRouting | undefined {
    return this._routing
  }

  /** Address of the replica that this node is connected to, `host:port`. */
  public get replicaAddress (): string | undefined {
    return this._isWelcomed ? this._channel?.remoteAddress : undefined
  }

  /** Time since the last frame of that replica, in milliseconds; infinite without a connection. */
  public get silentMs (): number {
    if (!this._isWelcomed || this._channel === undefined) return Infinity
    return this._clock.nowMs() - this._channel.lastReceivedMs
  }

  /** Addresses of all replicas that this node knows, `host:port`; the one that it is connected to goes first. */
  public get replicaAddresses (): string[] {
    const home = this.replicaAddress
    return home === undefined ? [...this._replicaAddresses] : [...new Set([home, ...this._replicaAddresses])]
  }

  /** Addresses of the replicas that control named or that announced themselves, `host:port`. */
  public get knownReplicas (): readonly string[] {
    return this._memberAddresses
  }

  /** Takes over the address of a replica that has announced itself; the list of a connected replica goes before it. */
  public addReplica (address: string): void {
    if (this._isWelcomed || this._memberAddresses.includes(address)) return
    this._addMembers(decodeAddresses([address], 'replica', this._log))
  }

  /** Starts to connect. */
  public start (): void {
    this._pingTimer = setInterval(() => this._checkLiveness(), FEED_CHECK_INTERVAL_MS)
    this._connect()
  }

  /** Replaces the seeds after a change of the settings. */
  public setSeeds (seeds: readonly string[]): void {
    this._seeds = seeds
    this._setReplicaAddresses(this._replicaAddresses)
  }

  /**
   * Publishes an entry of this node.
   * @returns False without a connection; each new one begins with the entry.
   */
  public publish (entry: NodeEntry): boolean {
    if (!this._isWelcomed || this._channel === undefined) return false
    this._channel.send({ type: 'publish', entry })
    return true
  }

  /** Sends new crash reports of this node, unless there is no connection: each new one begins with all reports. */
  public publishCrashReports (reports: readonly CrashReport[]): void {
    this._channel?.send({ type: 'crashReports', reports })
  }

  /** Sends departures of instances on this VM to be stored, unless there is no connection. */
  public sendDepartures (departures: readonly Departure[]): void {
    if (this._isWelcomed) this._channel?.send({ type: 'departures', departures })
  }

  /** Sends a message about quotas, unless there is no connection. */
  public sendQuotaMessage (message: QuotaMessage): void {
    if (this._isWelcomed) this._channel?.send({ type: 'quotaAsk', message })
  }

  /** Closes the connection. */
  public dispose (): void {
    this._isDisposed = true
    clearInterval(this._pingTimer)
    clearTimeout(this._welcomeTimer)
    clearTimeout(this._reconnectTimer)
    this._socket?.destroy()
  }

  private _connect (): void {
    if (this._isDisposed || this._replicaAddresses.length === 0) return
    const address = this._choice.next(this._replicaAddresses, this._memberAddresses)
    const socket = connectTo(address)
    this._socket = socket
    this._welcomeTimer = setTimeout(() => {
      this._connectTimeoutMs = Math.min(2 * this._connectTimeoutMs, CONNECT_TIMEOUT_MAX_MS)
      socket.destroy(new Error('connect to the control replica timed out'))
    }, this._connectTimeoutMs)
    socket.on('error', error => this._log.debug({ address, error: error.message }, 'control connection failed'))
    socket.once('close', () => { if (this._channel === undefined) this._onClose(address, 'not connected') })
    socket.once('connect', () => this._sendHello(socket, address))
  }

  private _sendHello (socket: Socket, address: string): void {
    clearTimeout(this._welcomeTimer)
    this._connectTimeoutMs = CONNECT_TIMEOUT_MIN_MS
    const channel = new FrameChannel<FeedToNode, NodeToFeed>(socket, this._clock)
    this._channel = channel
    const helloAtMs = this._clock.nowMs()
    this._welcomeTimer = setTimeout(() => this._checkWelcome(channel, helloAtMs), this._welcomeTimeoutMs)
    channel.onMessage(frame => this._handle(frame))
    channel.onClose(reason => this._onClose(address, reason))
    const version = this._routing?.version ?? 0
    const hello = { type: 'feedHello', entry: this._source.nextEntry(), version, confirms: true } as const
    const reports = this._source.crashReports()
    const compress = this._source.hasSlowLink ? { compress: true as const } : {}
    channel.send({ ...hello, ...compress, ...(reports.length === 0 ? {} : { reports }) })
  }

  /** After a pause of this process, timers run before the welcome that has arrived meanwhile is read. */
  private _checkWelcome (channel: Channel, helloAtMs: number): void {
    setImmediate(() => setImmediate(() => {
      if (this._channel === channel && !this._isWelcomed) this._awaitOrLeave(channel, helloAtMs)
    }))
  }

  /** A welcome with many nodes takes longer than the timeout on a slow link: while it is arriving, it is awaited. */
  private _awaitOrLeave (channel: Channel, helloAtMs: number): void {
    const nowMs = this._clock.nowMs()
    const boundAtMs = helloAtMs + this._welcomeTimeoutMs + computeTransferMs(channel.arrivingBytes, FEED_MIN_LINK_MBPS)
    const leftMs = Math.min(channel.lastReceivedMs + this._welcomeTimeoutMs, boundAtMs) - nowMs
    if (channel.missingBytes > 0 && leftMs > 0) {
      this._welcomeTimer = setTimeout(() => this._checkWelcome(channel, helloAtMs), leftMs)
      return
    }
    this._welcomeTimeoutMs = Math.min(2 * this._welcomeTimeoutMs, FEED_WELCOME_TIMEOUT_MS)
    this._socket?.destroy(new Error('no welcome from the control replica in time'))
  }

  private _handle (frame: FeedToNode): void {
    const handler = this._handlers[frame.type] as ((frame: FeedToNode) => void) | undefined
    handler?.(frame)
  }

  private _onClose (address: string, reason: string): void {
    clearTimeout(this._welcomeTimer)
    if (this._isWelcomed) this._log.warn({ address, version: this._routing?.version, reason }, 'control connection lost')
    this._isWelcomed = false
    this._channel = undefined
    if (!this._isDisposed) this._reconnectTimer = setTimeout(() => this._connect(), FEED_RECONNECT_DELAY_MS)
  }

  private get _home (): string {
    return this._channel?.remoteAddress ?? ''
  }

  private _onWelcome (received: FeedWelcome): void {
    const { own: receivedOwn, departures: receivedDepartures, ...fields } = received
    const entries = decodeEntries(received.entries, this._home, this._log)
    const [own] = receivedOwn === undefined ? [] : decodeEntries([receivedOwn], this._home, this._log)
    const departures = receivedDepartures === undefined
      ? undefined
      : decodeDepartureList(receivedDepartures, this._home, this._log)
    const frame: FeedWelcome = {
      ...fields, entries, ...(own === undefined ? {} : { own }), ...(departures === undefined ? {} : { departures })
    }
    clearTimeout(this._welcomeTimer)
    this._welcomeTimeoutMs = FEED_WELCOME_TIMEOUT_MIN_MS
    this._isWelcomed = true
    this._setMembers(decodeAddresses(frame.controls, this._home, this._log))
    this._log.info({ home: this._home, nodes: entries.length }, 'control connection open')
    this._applyWelcomedEvacuation(frame)
    this._welcomeEmitter.fire(frame)
    if (frame.reports !== undefined) this._crashReportsEmitter.fire(frame.reports)
    this._entriesEmitter.fire(entries)
  }

  /** A node that has just started must not send a share of its requests to zones that were evacuated before. */
  private _applyWelcomedEvacuation ({ evacuation, evacuationAgeMs = Infinity }: FeedWelcome): void {
    const ageMs = this._evacuationRevision === undefined ? Infinity : evacuationAgeMs
    this._evacuationRevision ??= 0
    if (evacuation !== undefined) this._applyEvacuation(evacuation, ageMs)
  }

  private _applyEvacuation (evacuation: EvacuationState, ageMs: number): void {
    if (evacuation.revision < (this._evacuationRevision ?? 0)) return
    this._evacuationRevision = evacuation.revision
    this._evacuationEmitter.fire({ evacuation, ageMs })
  }

  private _setMembers (addresses: readonly string[]): void {
    this._memberAddresses = addresses
    this._setReplicaAddresses(addresses)
  }

  /** Adds replicas while none has accepted this node; those that were not known are connected to next. */
  private _addMembers (addresses: readonly string[]): void {
    const added = addresses.filter(address => !this._memberAddresses.includes(address))
    if (added.length === 0) return
    this._memberAddresses = [...added, ...this._memberAddresses]
    this._setReplicaAddresses([...this._memberAddresses, ...this._replicaAddresses])
  }

  private _setReplicaAddresses (addresses: readonly string[]): void {
    this._replicaAddresses = [...new Set([...addresses, ...this._seeds])]
  }

  private _checkLiveness (): void {
    const channel = this._channel
    const nowMs = this._clock.nowMs()
    const sinceCheckMs = nowMs - this._lastCheckMs
    this._lastCheckMs = nowMs
    if (channel === undefined || !this._isWelcomed) return
    // After a pause of this process, timers run before the frames that have arrived meanwhile are read.
    const wasPaused = sinceCheckMs > FEED_TIMEOUT_MS / 2
    const silentMs = nowMs - channel.lastReceivedMs
    if (silentMs > FEED_TIMEOUT_MS && !wasPaused) return channel.destroy('control replica timed out')
    if (nowMs - this._lastPingMs < FEED_PING_INTERVAL_MS) return
    this._lastPingMs = nowMs
    channel.send({ type: 'feedPing' })
  }

  private _applyDeltas (deltas: readonly RoutingDelta[]): void {
    let routing = this._routing
    for (const delta of deltas) {
      if (routing === undefined || routing.version !== delta.from) continue
      routing = { version: delta.version, configuration: applyPatch(routing.configuration, delta) }
    }
    const targetVersion = deltas.at(-1)?.version ?? 0
    if (routing === undefined || routing.version < targetVersion) this._channel?.send({ type: 'askRouting' })
    else this._apply(routing)
  }

  private _apply (routing: VersionedRouting): void {
    const version = this._routing?.version ?? 0
    if (routing.version > version) {
      // A listener that fails leaves the earlier version in force, so that this one is sent again.
      this._routingEmitter.fire(routing)
      this._routing = routing
      this._log.info({ version: routing.version, routes: routing.configuration.routes.length }, 'configuration in force')
    }
    this._channel?.send({ type: 'routingInForce', version: Math.max(version, routing.version) })
  }
}
