import { replicaName } from '../parts/agreement/GroupFormation.js'
import type { Random, ReplicaId } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import type { FrameChannel } from '../runtime/FrameChannel.js'
import { FrameClient } from '../runtime/FrameClient.js'
import type { Clock, Disposable } from '../runtime/Types.js'
import { LINK_ACK_INTERVAL_MS, LINK_TIMEOUT_MS } from './Constants.js'
import type { FromControl, ReplicaToReplica, ToControl } from './Types.js'

/** First frame on a connection between replicas. */
export type ReplicaHello = Extract<ReplicaToReplica, { type: 'replicaHello' }>

/** Where a replica listens, as `host:port`. */
export interface ReplicaAddress {
  readonly name: string
  readonly address: string
  readonly admin: string
}

/** A frame of another replica. */
export interface ReplicaFrame {
  readonly from: ReplicaId
  readonly frame: ReplicaToReplica
}

/** An accepted connection. */
export type AcceptedChannel = FrameChannel<ToControl, FromControl>

/** A connection that this replica opened. */
interface Link {
  readonly client: FrameClient<ReplicaToReplica, ReplicaToReplica>
  readonly address: ReplicaAddress
  readonly isConfigured: boolean
  isCongested: boolean
  /** When something was first sent since the other end was last heard. */
  unacknowledgedSinceMs: number | undefined
}

/**
 * Connections between replicas. Each replica sends on connections that it opened itself and receives on
 * those that it accepted. A connection that swallows frames in silence is opened anew. Frames for a
 * replica that is not connected, or whose connection is congested, are dropped: the protocol repeats them.
 */
export class ReplicaLinks implements Disposable {
  private readonly _links = new Map<string, Link>()
  private readonly _frames = new Emitter<ReplicaFrame>()
  private readonly _opens = new Emitter<string>()
  private readonly _timer: NodeJS.Timeout

  /** Fires with each frame of another replica. */
  public readonly onFrame = this._frames.event

  /** Fires with the name of a replica when this one has connected to it: what was sent before was lost. */
  public readonly onOpen = this._opens.event

  /**
   * @param _hello First frame of this replica on each connection.
   * @param _clock Clock of this process.
   * @param _random Spreads reconnects.
   */
  public constructor (
    private readonly _hello: ReplicaHello,
    private readonly _clock: Clock,
    private readonly _random: Random
  ) {
    this._timer = setInterval(() => this._closeTimedOut(), LINK_ACK_INTERVAL_MS)
  }

  /** Names of the replicas that this one connects to. */
  public get names (): string[] {
    return [...this._links.keys()]
  }

  /**
   * Connects to a replica of the settings.
   * @param address Where it listens, as seen from here.
   */
  public connect (address: ReplicaAddress): void {
    if (address.name === replicaName(this._hello.replica)) return
    this._links.get(address.name)?.client.dispose()
    this._links.set(address.name, this._openLink(address, true))
  }

  /**
   * Returns where a replica listens, if it is known.
   * @param id The replica.
   */
  public addressOf (id: ReplicaId): ReplicaAddress | undefined {
    return this._links.get(replicaName(id))?.address
  }

  /**
   * Sends a frame to a replica, or drops it.
   * @param to The replica.
   * @param frame The frame.
   */
  public send (to: ReplicaId, frame: ReplicaToReplica): void {
    const link = this._links.get(replicaName(to))
    if (link !== undefined) this._sendOn(link, frame)
  }

  /**
   * Sends a frame to all known replicas.
   * @param frame The frame.
   */
  public broadcast (frame: ReplicaToReplica): void {
    for (const link of this._links.values()) this._sendOn(link, frame)
  }

  /**
   * Takes over a connection on which another replica has said hello.
   * @param channel The connection.
   * @param hello Its first frame.
   */
  public accept (channel: AcceptedChannel, hello: ReplicaHello): void {
    this._connectDiscovered({ name: replicaName(hello.replica), address: hello.address, admin: hello.admin })
    let lastAckMs = -Infinity
    channel.onMessage(frame => {
      const nowMs = this._clock.nowMs()
      if (nowMs - lastAckMs >= LINK_ACK_INTERVAL_MS) {
        lastAckMs = nowMs
        channel.send({ type: 'heard' })
      }
      this._frames.fire({ from: hello.replica, frame: frame as ReplicaToReplica })
    })
  }

  /** Closes all connections. */
  public dispose (): void {
    clearInterval(this._timer)
    for (const link of this._links.values()) link.client.dispose()
    this._links.clear()
  }

  /** Connects to a replica that the settings do not name, and follows it when it moves. */
  private _connectDiscovered (address: ReplicaAddress): void {
    const known = this._links.get(address.name)
    if (known?.isConfigured === true || known?.address.address === address.address) return
    known?.client.dispose()
    this._links.set(address.name, this._openLink(address, false))
  }

  private _openLink (address: ReplicaAddress, isConfigured: boolean): Link {
    const client = new FrameClient<ReplicaToReplica, ReplicaToReplica>(address.address, this._clock, this._random)
    const link: Link = { client, address, isConfigured, isCongested: false, unacknowledgedSinceMs: undefined }
    client.onChannel(channel => {
      link.isCongested = false
      link.unacknowledgedSinceMs = undefined
      channel.onDrain(() => { link.isCongested = false })
      channel.onMessage(() => { link.unacknowledgedSinceMs = undefined })
      channel.send(this._hello)
      this._opens.fire(address.name)
    })
    client.start()
    return link
  }

  private _sendOn (link: Link, frame: ReplicaToReplica): void {
    const { channel } = link.client
    if (channel === undefined || link.isCongested) return
    link.unacknowledgedSinceMs ??= this._clock.nowMs()
    link.isCongested = !channel.send(frame)
  }

  private _closeTimedOut (): void {
    const nowMs = this._clock.nowMs()
    for (const { client, unacknowledgedSinceMs } of this._links.values()) {
      if (unacknowledgedSinceMs !== undefined && nowMs - unacknowledgedSinceMs > LINK_TIMEOUT_MS) client.channel?.destroy('silent')
    }
  }
}
