import type { ControlToNode, NodeToControl } from '../../src/control/Types.js'
import type { Configuration, ServiceRule } from '../../src/parts/configuration/Types.js'
import type { Member } from '../../src/parts/membership/Types.js'
import type { RecordCommand, RecordReply } from '../../src/parts/records/Types.js'
import type { FrameChannel } from '../../src/runtime/FrameChannel.js'
import { FrameServer } from '../../src/runtime/FrameServer.js'
import { SystemClock } from '../../src/runtime/SystemClock.js'

type Channel = FrameChannel<NodeToControl, ControlToNode>

/** Builds a service's rule with the values that most tests use. */
export function buildRule (name: string, changes: Partial<ServiceRule> = {}): ServiceRule {
  return {
    name,
    guarded: ['POST /checkouts'],
    downloads: ['GET /downloads'],
    keyless: 'refuse',
    deadlineMs: 5000,
    drainMs: 20_000,
    retryShare: 0.2,
    maxBodyBytes: 200_000,
    ...changes
  }
}

/** Fake of a control group of one replica: confirms one configuration and grants every execution permit. */
export class FakeControl {
  /** Record commands in the order of their arrival. */
  public readonly commands: RecordCommand[] = []
  /** Replies to `begin` that replace `granted`, by idempotency key. */
  public readonly replies = new Map<string, RecordReply>()
  /** False to leave heartbeats unanswered. */
  public isConfirming = true
  public version = 1
  /** Addresses to publish instead of those that nodes announce, by node. */
  public readonly addresses = new Map<string, string>()
  private readonly _server = new FrameServer<NodeToControl, ControlToNode>(new SystemClock())
  private readonly _channels = new Set<Channel>()
  private readonly _members = new Map<string, Member>()

  public constructor (private readonly _services: readonly ServiceRule[]) {
    this._server.onChannel(channel => this._accept(channel))
  }

  public async listen (): Promise<string> {
    return await this._server.listen('127.0.0.1:0')
  }

  public dispose (): void {
    this._server.dispose()
  }

  private get _configuration (): Configuration {
    return {
      services: this._services,
      zones: [{ region: 'r', zone: 'z' }],
      measuring: { bytesPerSecond: 12_000, messagesPerCall: 0.01 }
    }
  }

  private _accept (channel: Channel): void {
    this._channels.add(channel)
    channel.onClose(() => this._channels.delete(channel))
    channel.onMessage(frame => this._handleFrame(channel, frame))
  }

  private _handleFrame (channel: Channel, frame: NodeToControl): void {
    if (frame.type === 'heartbeat') this._handleHeartbeat(channel, frame)
    if (frame.type === 'record') {
      this.commands.push(frame.command)
      channel.send({ type: 'recordReply', id: frame.id, reply: this._buildReply(frame.command) })
    }
    if (frame.type === 'membership') {
      for (const member of frame.members) this._publishMember(member)
    }
    if (frame.type === 'interest') channel.send({ type: 'membership', members: [...this._members.values()] })
  }

  private _publishMember (member: Member): void {
    const published = { ...member, address: this.addresses.get(member.node) ?? member.address }
    this._members.set(member.node, published)
    for (const channel of this._channels) channel.send({ type: 'membership', members: [published] })
  }

  private _handleHeartbeat (channel: Channel, frame: Extract<NodeToControl, { type: 'heartbeat' }>): void {
    if (!this.isConfirming) return
    const { version, _configuration: configuration } = this
    const askedAt = frame.askedAtMs === undefined ? {} : { askedAtMs: frame.askedAtMs }
    const copy = { version, term: 1, operation: `op${version}`, configuration }
    if (frame.version < version) channel.send({ type: 'copy', confirmed: true, copy, ...askedAt })
    else channel.send({ type: 'confirm', version, term: 1, ...askedAt })
  }

  private _buildReply (command: RecordCommand): RecordReply {
    if (command.type !== 'begin') return { type: 'recorded' }
    return this.replies.get(command.record.key) ?? { type: 'granted' }
  }
}
