import type { AcceptedChannel } from '../control/ReplicaLinks.js'
import type { EvacuationState } from '../parts/evacuation/Types.js'
import { NodeDirectory } from '../parts/instances/NodeDirectory.js'
import type { NodeDepartures, NodeEntry } from '../parts/instances/Types.js'
import type { CrashReport } from '../parts/quarantine/Types.js'
import type { NodeId } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import { encodeMessage } from '../runtime/FrameChannel.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import {
  ENTRY_BATCH_MS, ENTRY_RESEND_INTERVAL_MS, NODE_CHECK_INTERVAL_MS, NODE_GONE_MS, NODE_TIMEOUT_MS
} from './Constants.js'
import { CrashReportStore } from './CrashReportStore.js'
import { decodeDepartureList, decodeEntries } from './EntryDecoder.js'
import { RoutingDelivery, type RoutingReceiver } from './RoutingDelivery.js'
import type { RoutingReplica } from './RoutingReplica.js'
import type { FeedToNode, ForwardedQuotaMessage, NodeToFeed } from './Types.js'

/** First frame that a node sends on a connection. */
export type FeedHello = Extract<NodeToFeed, { type: 'feedHello' }>

/** Frame by which a node is accepted. */
type FeedWelcome = Extract<FeedToNode, { type: 'welcome' }>

/** A connected node. */
interface NodeSession extends RoutingReceiver {
  /** False until a quorum has confirmed that this replica is up to date and the welcome frame is sent. */
  isWelcomed: boolean
  /** Entry that the node published last on this connection. */
  lastPublished: NodeEntry
}

/** A node that lost its connection, with the entry that it had published last. */
interface DisconnectedNode {
  readonly entry: NodeEntry
  /** When the connection closed, in milliseconds of the monotonic clock. */
  readonly atMs: number
}

type Handlers = {
  readonly [Type in NodeToFeed['type']]?: (session: NodeSession, frame: Extract<NodeToFeed, { type: Type }>) => void
}

/**
 * Sends the routing configuration, the evacuated zones and the entries of other nodes to the connected nodes. Each node
 * is connected to one control replica, and replicas forward to each other what nodes publish. Published entries don't
 * go through consensus: they are merged by epoch and revision, and a node publishes its entry again at each replica
 * that it connects to.
 *
 * Memory: the directory, the crash reports, one session for each connected node, one entry for each node that
 * disconnected within `NODE_GONE_MS`, the changed entries of `ENTRY_BATCH_MS`, and what `RoutingDelivery` keeps.
 */
export class NodeFeed implements Disposable {
  private readonly _directory = new NodeDirectory()
  private readonly _sessions = new Map<NodeId, NodeSession>()
  private readonly _disconnected = new Map<NodeId, DisconnectedNode>()
  private readonly _timer: NodeJS.Timeout
  /** Changed entries that nodes have not been sent yet. */
  private readonly _unsentEntries = new Map<NodeId, NodeEntry>()
  /** Those of them that other replicas have not been sent yet either. */
  private readonly _unforwardedEntries = new Map<NodeId, NodeEntry>()
  private readonly _crashReports: CrashReportStore
  /** Crash reports that nodes have not been sent yet. */
  private _unsentReports: CrashReport[] = []
  /** Those of them that other replicas have not been sent yet either. */
  private _unforwardedReports: CrashReport[] = []
  private _batchTimer: NodeJS.Timeout | undefined
  private readonly _resendTimer: NodeJS.Timeout
  /** Addresses of the control replicas that were sent to nodes last, joined by commas. */
  private _sentControls = ''
  private readonly _delivery: RoutingDelivery
  /** When this replica applied the last change of the evacuated zones, in monotonic milliseconds. */
  private _evacuationAtMs: number | undefined
  private readonly _departuresEmitter = new Emitter<NodeDepartures>()
  private readonly _quotaMessageEmitter = new Emitter<ForwardedQuotaMessage>()

  private readonly _handlers: Handlers = {
    publish: (session, frame) => {
      const [entry] = decodeEntries([frame.entry], session.node, this._log)
      // A node publishes only itself.
      if (entry?.node !== session.node) return
      session.lastPublished = entry
      this._mergePublished([entry])
    },
    departures: ({ node }, frame) => {
      const departures = decodeDepartureList(frame.departures, node, this._log)
      if (departures.length > 0) this._departuresEmitter.fire({ node, departures })
    },
    crashReports: (_session, { reports }) => this._addReports(reports, true),
    quotaAsk: ({ node }, { message }) => this._quotaMessageEmitter.fire({ node, message }),
    feedPing: session => this._send(session, { type: 'feedPong', fit: this._replica.canServeNodes }),
    askRouting: session => this._delivery.sendFullCopy(session),
    routingInForce: (session, { version }) => this._delivery.confirm(session, version)
  }

  /**
   * @param _replica Replica of this process.
   * @param _log Log of the entries that nodes publish.
   */
  public constructor (
    private readonly _replica: RoutingReplica,
    private readonly _clock: Clock,
    private readonly _log: Log
  ) {
    this._crashReports = new CrashReportStore(_replica.id, _clock)
    this._delivery = new RoutingDelivery(_replica.machine.store, _clock, _log)
    this.onConfirmation = this._delivery.onConfirmation
    _replica.onCrashReports(reports => this._addReports(reports, false))
    _replica.onNodeEntries(({ from, entries, whole }) => {
      this._mergeFromReplica(decodeEntries(entries, from, _log), whole)
    })
    _replica.onLinkOpen(() => this._sendAllToReplicas())
    _replica.machine.onChange(() => this._sendRoutingToAll())
    _replica.machine.onEvacuation(evacuation => this._sendEvacuation(evacuation))
    this._timer = setInterval(() => this._checkNodes(), NODE_CHECK_INTERVAL_MS)
    this._resendTimer = setInterval(() => this._resendEntries(), ENTRY_RESEND_INTERVAL_MS)
  }

  /** Fires with the departures that connected nodes send to be stored. */
  public readonly onDepartures = this._departuresEmitter.event

  /** Fires with the messages of connected nodes about quotas. */
  public readonly onQuotaMessage = this._quotaMessageEmitter.event

  /** Fires when a node has confirmed that a version of the routing configuration is in force there. */
  public readonly onConfirmation: RoutingDelivery['onConfirmation']

  /** Longest time for which a connected node has lacked a version that this replica has, in milliseconds. */
  public get longestDeliveryMs (): number {
    return this._delivery.longestWaitMs(this._sessions.values())
  }

  /** Number of connected nodes. */
  public get size (): number {
    return this._sessions.size
  }

  /** All nodes with their instances, as known to this replica. */
  public get directory (): NodeDirectory {
    return this._directory
  }

  /**
   * Starts a session on a connection on which a node has sent its hello frame.
   * @param channel The connection.
   * @param hello The node's first frame.
   */
  public accept (channel: AcceptedChannel, hello: FeedHello): void {
    const { version, reports, compress, confirms } = hello
    const [entry] = decodeEntries([hello.entry], channel.remoteAddress, this._log)
    if (entry === undefined) return channel.destroy('the entry of the node is invalid')
    const session: NodeSession = {
      node: entry.node,
      channel,
      isWelcomed: false,
      compresses: compress === true,
      confirms: confirms === true,
      version,
      unconfirmed: undefined,
      unconfirmedSinceMs: 0,
      dueSinceMs: undefined,
      lastPublished: entry
    }
    this._sessions.get(entry.node)?.channel.destroy('replaced by a newer connection of the node')
    this._sessions.set(entry.node, session)
    channel.onMessage(frame => {
      const handler = this._handlers[frame.type as NodeToFeed['type']] as ((session: NodeSession, frame: object) => void) | undefined
      handler?.(session, frame)
    })
    channel.onClose(() => this._handleClose(session))
    if (reports !== undefined) this._addReports(reports, true)
    this._sendWelcome(session, entry).catch((error: Error) => channel.destroy(`welcome failed: ${error.message}`))
  }

  /** Sends a frame to a node, if it is connected to this replica. */
  public sendToNode (node: NodeId, frame: FeedToNode): void {
    const session = this._sessions.get(node)
    if (session?.isWelcomed === true) this._send(session, frame)
  }

  /** Sends a frame to all nodes that are connected to this replica. */
  public sendToNodes (frame: FeedToNode): void {
    if (this._sessions.size > 0) this._sendToAll(frame)
  }

  /** Closes all connections. */
  public dispose (): void {
    clearInterval(this._timer)
    clearInterval(this._resendTimer)
    clearTimeout(this._batchTimer)
    for (const { channel } of this._sessions.values()) channel.dispose()
  }

  private async _sendWelcome (session: NodeSession, entry: NodeEntry): Promise<void> {
    const confirmed = await this._replica.firstReadBarrier()
    if (!confirmed) return this._turnAway(session)
    const known = this._directory.find(entry.node)
    const entries = this._directory.entries.filter(other => other.state !== 'gone')
    const { reports } = this._crashReports
    this._send(session, {
      type: 'welcome',
      entries,
      controls: this._replica.memberAddresses,
      departures: this._replica.machine.departures.find(entry.node),
      ...(known === undefined ? {} : { own: known }),
      ...(reports.length === 0 ? {} : { reports }),
      ...this._describeEvacuation()
    })
    session.isWelcomed = true
    this._delivery.send(session)
    this._mergePublished([entry])
  }

  /** The node may know no member of the group, so it is told where they are. */
  private _turnAway (session: NodeSession): void {
    const controls = this._replica.memberAddresses
    if (controls.length > 0) this._send(session, { type: 'controls', controls })
    this._send(session, { type: 'feedPong', fit: false })
  }

  private _handleClose (session: NodeSession): void {
    if (this._sessions.get(session.node) !== session) return
    this._sessions.delete(session.node)
    this._disconnected.set(session.node, { entry: session.lastPublished, atMs: this._clock.nowMs() })
  }

  /** Merges the entry of a connected node and forwards it to other replicas and nodes. */
  private _mergePublished (entries: readonly NodeEntry[]): void {
    for (const entry of this._directory.merge(entries, this._clock.nowMs())) {
      this._unforwardedEntries.set(entry.node, entry)
      this._queueForNodes(entry)
      const { node, epoch, revision, state, instance } = entry
      this._log.info({ node, epoch, revision, state, instance: instance?.id, instanceState: instance?.state }, 'node published')
    }
  }

  /** Merges entries from another replica. That replica sends them to all replicas, so only nodes receive them here. */
  private _mergeFromReplica (entries: readonly NodeEntry[], whole: boolean): void {
    const updates = this._directory.merge(entries, this._clock.nowMs())
    if (updates.length === 0) return
    this._log.debug({ count: updates.length, whole }, 'entries of nodes from another replica')
    updates.forEach(entry => this._queueForNodes(entry))
  }

  /**
   * Adds crash reports and passes on those that are new.
   * @param areFromNode True when no other replica has sent them to all.
   */
  private _addReports (reports: readonly CrashReport[], areFromNode: boolean): void {
    const added = this._crashReports.add(reports)
    if (added.length === 0) return
    this._log.debug({ count: added.length, areFromNode }, 'crash reports')
    this._unsentReports.push(...added)
    if (areFromNode) this._unforwardedReports.push(...added)
    this._batchTimer ??= setTimeout(() => this._sendBatch(), ENTRY_BATCH_MS)
  }

  private _sendAllToReplicas (): void {
    this._replica.broadcastEntries(this._directory.entries, true)
    const { reports } = this._crashReports
    if (reports.length > 0) this._replica.broadcastCrashReports(reports)
  }

  /** Each frame costs every node processor time, so the changes of a short while share one. */
  private _queueForNodes (entry: NodeEntry): void {
    this._unsentEntries.set(entry.node, entry)
    this._batchTimer ??= setTimeout(() => this._sendBatch(), ENTRY_BATCH_MS)
  }

  private _sendBatch (): void {
    this._batchTimer = undefined
    const unforwarded = [...this._unforwardedEntries.values()]
    if (unforwarded.length > 0) this._replica.broadcastEntries(unforwarded, false)
    if (this._unforwardedReports.length > 0) this._replica.broadcastCrashReports(this._unforwardedReports)
    if (this._unsentEntries.size > 0) this._sendToAll({ type: 'entries', entries: [...this._unsentEntries.values()] })
    if (this._unsentReports.length > 0) this._sendToAll({ type: 'crashReports', reports: this._unsentReports })
    this._unforwardedEntries.clear()
    this._unsentEntries.clear()
    this._unforwardedReports = []
    this._unsentReports = []
  }

  /** Frames between replicas may be dropped; what others know already changes nothing there. */
  private _resendEntries (): void {
    const welcomed = [...this._sessions.values()].filter(({ isWelcomed }) => isWelcomed)
    const entries = welcomed.map(({ lastPublished }) => lastPublished)
    if (entries.length > 0) this._replica.broadcastEntries(entries, false)
  }

  private _checkNodes (): void {
    const nowMs = this._clock.nowMs()
    for (const { channel } of this._sessions.values()) {
      if (nowMs - channel.lastReceivedMs > NODE_TIMEOUT_MS) channel.destroy('no frame from the node within the timeout')
    }
    this._markGone(nowMs)
    this._sendChangedControls()
  }

  /** Marks nodes as gone that did not reconnect in time, unless they have published anywhere since. */
  private _markGone (nowMs: number): void {
    for (const [node, { entry, atMs }] of this._disconnected) {
      if (nowMs - atMs < NODE_GONE_MS) continue
      this._disconnected.delete(node)
      if (this._directory.isNewest(entry)) this._mergePublished([{ ...entry, state: 'gone' }])
    }
  }

  /** Sends the addresses of the control replicas to all nodes when the members have changed. */
  private _sendChangedControls (): void {
    const controls = this._replica.memberAddresses
    const joined = controls.join()
    if (joined === this._sentControls) return
    this._sentControls = joined
    this._sendToAll({ type: 'controls', controls })
  }

  private _sendRoutingToAll (): void {
    for (const session of this._sessions.values()) {
      if (session.isWelcomed) this._delivery.send(session)
    }
  }

  private _sendEvacuation (evacuation: EvacuationState): void {
    this._evacuationAtMs = this._clock.nowMs()
    this._log.info({ ...evacuation, nodes: this._sessions.size }, 'evacuated zones changed')
    this._sendToAll({ type: 'evacuation', evacuation })
  }

  /** Fields of the welcome that name the evacuated zones; none before the first order. */
  private _describeEvacuation (): Pick<FeedWelcome, 'evacuation' | 'evacuationAgeMs'> {
    const { evacuation } = this._replica.machine
    if (evacuation.revision === 0) return {}
    if (this._evacuationAtMs === undefined) return { evacuation }
    return { evacuation, evacuationAgeMs: Math.round(this._clock.nowMs() - this._evacuationAtMs) }
  }

  private _sendToAll (frame: FeedToNode): void {
    const encoded = encodeMessage(frame)
    for (const session of this._sessions.values()) {
      if (session.isWelcomed) session.channel.sendEncoded(encoded)
    }
  }

  private _send (session: NodeSession, frame: FeedToNode): void {
    session.channel.send(frame)
  }
}
