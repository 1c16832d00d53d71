import type { ControlToNode, NodeToControl } from '../../control/Types.js'
import type { RecordCommand, RecordReply } from '../../parts/records/Types.js'
import type { Random } from '../../parts/Types.js'
import { Emitter } from '../../platform/Emitter.js'
import type { FrameChannel } from '../../platform/FrameChannel.js'
import { FrameClient } from '../../platform/FrameClient.js'
import type { Clock, Disposable } from '../../platform/Types.js'
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

/** Times that a command follows a replica's word on who leads before it counts as unanswered. */
const MAX_REDIRECTS = 3

/** Age at which an unanswered command is dropped; its permit has long sent it again. */
const PENDING_LIMIT_MS = 10_000

/** Heartbeats without a confirmation after which another replica is asked. */
const MISSED_CONFIRMATIONS = 3

/**
 * Connections to all control replicas. One of them, the home, confirms the configuration, passes members on and
 * changes when it stops confirming. Records go to the leader. Holds one entry for each command without a reply.
 */
export class ControlLinks implements RecordSender, Disposable {
  private readonly clients: readonly Client[]
  private readonly pending = new Map<number, PendingRecord>()
  private readonly frames = new Emitter<ControlToNode>()
  private readonly homes = new Emitter<void>()
  private readonly handlers: Handlers
  private home: Client | undefined
  private leader: Client | undefined
  private lastId = 0
  private unconfirmed = 0

  /**
   * @param addresses Peer listeners of the replicas, `host:port`.
   * @param hello First frame on each connection.
   */
  public constructor (
    addresses: readonly string[],
    private readonly hello: () => NodeToControl,
    private readonly clock: Clock,
    private readonly random: Random
  ) {
    this.clients = addresses.map(address => this.createClient(address))
    this.handlers = {
      recordReply: frame => this.settle(frame.id, frame.reply),
      notLeader: frame => this.redirect(frame.id, frame.leader),
      confirm: (frame, from) => this.takeFromHome(frame, from),
      copy: (frame, from) => this.takeFromHome(frame, from),
      difference: (frame, from) => this.takeFromHome(frame, from)
    }
  }

  /** Fires with frames about configuration and membership. */
  public readonly onFrame = this.frames.event

  /** Fires when another replica has become the home, or the home has connected again. */
  public readonly onHome = this.homes.event

  /** Starts to connect to all replicas. */
  public start (): void {
    for (const client of this.clients) client.start()
  }

  /** Address of the home, for the state dump. */
  public get homeAddress (): string | undefined {
    return this.home?.address
  }

  /** Commands without a reply. */
  public get pendingRecords (): number {
    return this.pending.size
  }

  /** Sends a frame to the home; dropped while there is none. */
  public sendHome (frame: NodeToControl): void {
    this.home?.channel?.send(frame)
  }

  /** Sends a heartbeat to the home, or looks for another home when it no longer confirms. */
  public beat (version: number, term: number): void {
    this.dropOverdue()
    if (this.home?.channel === undefined || this.unconfirmed >= MISSED_CONFIRMATIONS) this.changeHome()
    this.unconfirmed++
    this.sendHome({ type: 'heartbeat', version, term, askedAtMs: this.clock.nowMs() })
  }

  /** Sends a command to the leader, as far as it is known. */
  public sendRecord (command: RecordCommand, onReply: (reply: RecordReply | undefined) => void): void {
    this.sendTo(this.leader ?? this.home, command, onReply, 0)
  }

  /** Ends all connections. */
  public dispose (): void {
    for (const client of this.clients) client.dispose()
  }

  private createClient (address: string): Client {
    const client: Client = new FrameClient(address, this.clock, this.random)
    client.onChannel(channel => this.open(client, channel))
    client.onLoss(() => this.handleLoss(client))
    return client
  }

  private open (client: Client, channel: FrameChannel<ControlToNode, NodeToControl>): void {
    channel.send(this.hello())
    channel.onMessage(frame => this.handleFrame(frame, client))
    if (this.home === undefined) this.setHome(client)
    else if (this.home === client) this.homes.fire()
  }

  private handleFrame (frame: ControlToNode, from: Client): void {
    const handler = this.handlers[frame.type] as ((frame: ControlToNode, from: Client) => void) | undefined
    if (handler === undefined) this.frames.fire(frame)
    else handler(frame, from)
  }

  private takeFromHome (frame: ControlToNode, from: Client): void {
    if (from === this.home) this.unconfirmed = 0
    this.frames.fire(frame)
  }

  private setHome (client: Client): void {
    this.home = client
    this.unconfirmed = 0
    this.homes.fire()
  }

  private changeHome (): void {
    const others = this.clients.filter(client => client !== this.home && client.channel !== undefined)
    const next = others[Math.floor(this.random.next() * others.length)]
    if (next !== undefined) this.setHome(next)
  }

  private sendTo (
    client: Client | undefined,
    command: RecordCommand,
    onReply: (reply: RecordReply | undefined) => void,
    redirects: number
  ): void {
    if (client?.channel === undefined) {
      onReply(undefined)
      return
    }
    const id = ++this.lastId
    this.pending.set(id, { command, onReply, client, sentAtMs: this.clock.nowMs(), redirects })
    client.channel.send({ type: 'record', id, command })
  }

  private settle (id: number, reply: RecordReply | undefined): void {
    const record = this.pending.get(id)
    if (record === undefined) return
    this.pending.delete(id)
    if (reply !== undefined) this.leader = record.client
    record.onReply(reply)
  }

  private redirect (id: number, address: string | undefined): void {
    const record = this.pending.get(id)
    if (record === undefined) return
    const leader = this.clients.find(client => client.address === address)
    this.leader = leader
    if (leader === undefined || record.redirects >= MAX_REDIRECTS) {
      this.settle(id, undefined)
      return
    }
    this.pending.delete(id)
    this.sendTo(leader, record.command, record.onReply, record.redirects + 1)
  }

  private handleLoss (client: Client): void {
    if (this.leader === client) this.leader = undefined
    for (const [id, record] of this.pending) {
      if (record.client === client) this.settle(id, undefined)
    }
    if (this.home === client) this.changeHome()
  }

  private dropOverdue (): void {
    const limit = this.clock.nowMs() - PENDING_LIMIT_MS
    for (const [id, record] of this.pending) {
      if (record.sentAtMs > limit) return
      this.settle(id, undefined)
    }
  }
}
