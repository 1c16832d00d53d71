import type { ControlToNode, NodeToControl } from '../../control/Types.js'
import type { RecordCommand, RecordReply } from '../../parts/records/Types.js'
import type { Random } from '../../parts/Types.js'
import { Emitter } from '../../runtime/Emitter.js'
import type { FrameChannel } from '../../runtime/FrameChannel.js'
import { FrameClient } from '../../runtime/FrameClient.js'
import type { Clock, Disposable } from '../../runtime/Types.js'
import type { RecordSender } from '../upstreamside/Types.js'

type Client = FrameClient<ControlToNode, NodeToControl>
type Handlers = { [Type in ControlToNode['type']]?: (frame: Extract<ControlToNode, { type: Type }>, from: Client) => void }

interface PendingRecord {
  readonly command: RecordCommand
  readonly onReply: (reply: RecordReply | undefined) => void
  readonly client: Client
  readonly sentAtMs: number
  readonly redirects: number
}

/** Number of times that a command is redirected to another leader before it counts as unanswered. */
const MAX_REDIRECTS = 3

/** Age at which an unanswered command is dropped; the execution permit retries commands much sooner. */
const PENDING_TIMEOUT_MS = 10_000

/** Number of heartbeats without a confirmation after which another replica becomes the home replica. */
const MAX_MISSED_CONFIRMATIONS = 3

/**
 * Connections to all control replicas. One of them, the home replica, confirms the configuration and sends membership
 * updates; when it stops confirming, another replica replaces it. Record commands are sent to the leader. Memory: one
 * entry for each command without a reply.
 */
export class ControlLinks implements RecordSender, Disposable {
  private readonly _clients: readonly Client[]
  private readonly _pending = new Map<number, PendingRecord>()
  private readonly _frames = new Emitter<ControlToNode>()
  private readonly _homeChanges = new Emitter<void>()
  private readonly _handlers: Handlers
  private _home: Client | undefined
  private _leader: Client | undefined
  private _lastId = 0
  private _unconfirmedHeartbeats = 0

  /**
   * @param addresses Peer listeners of the replicas, `host:port`.
   * @param _hello Builds the first frame of each connection.
   */
  public constructor (
    addresses: readonly string[],
    private readonly _hello: () => NodeToControl,
    private readonly _clock: Clock,
    private readonly _random: Random
  ) {
    this._clients = addresses.map(address => this._createClient(address))
    this._handlers = {
      recordReply: frame => this._completeRecord(frame.id, frame.reply),
      notLeader: frame => this._redirect(frame.id, frame.leader),
      confirm: (frame, from) => this._onConfigurationFrame(frame, from),
      copy: (frame, from) => this._onConfigurationFrame(frame, from),
      difference: (frame, from) => this._onConfigurationFrame(frame, from)
    }
  }

  /** Fires with the frames about configuration and membership. */
  public readonly onFrame = this._frames.event

  /** Fires when another replica has become the home replica, or the home replica has reconnected. */
  public readonly onHomeReady = this._homeChanges.event

  /** Starts to connect to all replicas. */
  public start (): void {
    for (const client of this._clients) client.start()
  }

  /** Address of the home replica, for the state dump. */
  public get homeAddress (): string | undefined {
    return this._home?.address
  }

  /** Number of commands without a reply. */
  public get pendingRecords (): number {
    return this._pending.size
  }

  /** Sends a frame to the home replica; it is dropped while there is no connection. */
  public sendToHome (frame: NodeToControl): void {
    this._home?.channel?.send(frame)
  }

  /** Sends a heartbeat to the home replica, after replacing it if it is not connected or no longer confirms. */
  public sendHeartbeat (version: number, term: number): void {
    this._expirePendingRecords()
    if (this._home?.channel === undefined || this._unconfirmedHeartbeats >= MAX_MISSED_CONFIRMATIONS) this._changeHome()
    this._unconfirmedHeartbeats++
    this.sendToHome({ type: 'heartbeat', version, term, askedAtMs: this._clock.nowMs() })
  }

  /**
   * Sends a command to the leader, or to the home replica while the leader is unknown.
   * @param onReply Called with the reply, or with undefined when there is none.
   */
  public sendRecord (command: RecordCommand, onReply: (reply: RecordReply | undefined) => void): void {
    this._sendRecordTo(this._leader ?? this._home, command, onReply, 0)
  }

  /** Closes all connections. */
  public dispose (): void {
    for (const client of this._clients) client.dispose()
  }

  private _createClient (address: string): Client {
    const client: Client = new FrameClient(address, this._clock, this._random)
    client.onChannel(channel => this._onOpen(client, channel))
    client.onDisconnect(() => this._onLoss(client))
    return client
  }

  private _onOpen (client: Client, channel: FrameChannel<ControlToNode, NodeToControl>): void {
    channel.send(this._hello())
    channel.onMessage(frame => this._onFrame(frame, client))
    if (this._home === undefined) this._setHome(client)
    else if (this._home === client) this._homeChanges.fire()
  }

  private _onFrame (frame: ControlToNode, from: Client): void {
    const handler = this._handlers[frame.type] as ((frame: ControlToNode, from: Client) => void) | undefined
    if (handler === undefined) this._frames.fire(frame)
    else handler(frame, from)
  }

  private _onConfigurationFrame (frame: ControlToNode, from: Client): void {
    if (from === this._home) this._unconfirmedHeartbeats = 0
    this._frames.fire(frame)
  }

  private _setHome (client: Client): void {
    this._home = client
    this._unconfirmedHeartbeats = 0
    this._homeChanges.fire()
  }

  private _changeHome (): void {
    const others = this._clients.filter(client => client !== this._home && client.channel !== undefined)
    const next = others[Math.floor(this._random.next() * others.length)]
    if (next !== undefined) this._setHome(next)
  }

  private _sendRecordTo (
    client: Client | undefined,
    command: RecordCommand,
    onReply: (reply: RecordReply | undefined) => void,
    redirects: number
  ): void {
    if (client?.channel === undefined) {
      onReply(undefined)
      return
    }
    const id = ++this._lastId
    this._pending.set(id, { command, onReply, client, sentAtMs: this._clock.nowMs(), redirects })
    client.channel.send({ type: 'record', id, command })
  }

  private _completeRecord (id: number, reply: RecordReply | undefined): void {
    const record = this._pending.get(id)
    if (record === undefined) return
    this._pending.delete(id)
    if (reply !== undefined) this._leader = record.client
    record.onReply(reply)
  }

  private _redirect (id: number, address: string | undefined): void {
    const record = this._pending.get(id)
    if (record === undefined) return
    const leader = this._clients.find(client => client.address === address)
    this._leader = leader
    if (leader === undefined || record.redirects >= MAX_REDIRECTS) {
      this._completeRecord(id, undefined)
      return
    }
    this._pending.delete(id)
    this._sendRecordTo(leader, record.command, record.onReply, record.redirects + 1)
  }

  private _onLoss (client: Client): void {
    if (this._leader === client) this._leader = undefined
    for (const [id, record] of this._pending) {
      if (record.client === client) this._completeRecord(id, undefined)
    }
    if (this._home === client) this._changeHome()
  }

  private _expirePendingRecords (): void {
    const oldestAllowedMs = this._clock.nowMs() - PENDING_TIMEOUT_MS
    for (const [id, record] of this._pending) {
      if (record.sentAtMs > oldestAllowedMs) return
      this._completeRecord(id, undefined)
    }
  }
}
