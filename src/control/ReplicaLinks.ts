import { replicaName } from '../parts/agreement/GroupFormation.js'
import type { Random, ReplicaId } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import type { FrameChannel } from '../runtime/FrameChannel.js'
import { FrameClient } from '../runtime/FrameClient.js'
import type { Clock, Disposable } from '../runtime/Types.js'
import { DIRECTORY_ANNOUNCE_INTERVAL_MS, LINK_ACK_INTERVAL_MS, LINK_TIMEOUT_MS } from './Constants.js'
import type { FromControl, ReplicaToReplica, ToControl } from './Types.js'

/** First frame on a connection between replicas. */
export type ReplicaHello = Extract<ReplicaToReplica, { type: 'replicaHello' }>

/** Addresses of the listeners of a replica, as `host:port`. */
export interface ReplicaAddress {
  /** Configured name of the replica. */
  readonly name: string
  /** Listener for replicas and nodes. */
  readonly address: string
  /** Listener for operators. */
  readonly admin: string
}

/** A frame received from another replica. */
export interface ReplicaFrame {
  readonly from: ReplicaId
  readonly frame: ReplicaToReplica
}

/** A connection that a control process has accepted. */
export type AcceptedChannel = FrameChannel<ToControl, FromControl>

/** A connection that this replica opened. */
interface Link {
  readonly client: FrameClient<FromControl, ReplicaToReplica>
  readonly address: ReplicaAddress
  /** True when the replica is named by the settings; its address is then not replaced by one that it announces. */
  readonly isConfigured: boolean
  /** True while the send buffer of the connection is full. */
  isCongested: boolean
  /** True when a node listens at the address, which tells where the replicas are and takes no other frames. */
  isDirectory: boolean
  /** Monotonic time of the first frame sent since the last acknowledgement; undefined when all are acknowledged. */
  unacknowledgedSinceMs: number | undefined
}

/**
 * Connections to the other replicas. Each replica sends on the connections that it opened and receives on those that it
 * accepted, where it only sends acknowledgements. A connection whose frames stay unacknowledged for `LINK_TIMEOUT_MS`
 * is reopened. Frames for a replica that is not connected, or whose connection is congested, are dropped: the protocols
 * above send them again.
 */
export class ReplicaLinks implements Disposable {
  private readonly _links = new Map<string, Link>()
  private readonly _frames = new Emitter<ReplicaFrame>()
  private readonly _opens = new Emitter<string>()
  private readonly _directories = new Emitter<readonly string[]>()
  private readonly _timer: NodeJS.Timeout
  private _announcedAtMs = 0

  /** Fires with each frame received from another replica. */
  public readonly onFrame = this._frames.event

  /** Fires with the name of a replica when a connection to it has opened; frames sent before may be lost. */
  public readonly onOpen = this._opens.event

  /** Fires with the addresses of the replicas that a node knows, `host:port`. */
  public readonly onDirectory = this._directories.event

  /**
   * @param _hello First frame of this replica on each connection.
   * @param _random Random numbers for the jitter of reconnects.
   */
  public constructor (
    private readonly _hello: ReplicaHello,
    private readonly _clock: Clock,
    private readonly _random: Random
  ) {
    this._timer = setInterval(() => this._checkLinks(), LINK_ACK_INTERVAL_MS)
  }

  /** Names of the replicas that this one connects to. */
  public get names (): string[] {
    return [...this._links.keys()]
  }

  /**
   * Connects to a replica that the settings name, in place of an earlier connection to it.
   * @param address Addresses of the replica, as reachable from this one.
   */
  public connect (address: ReplicaAddress): void {
    if (address.name === replicaName(this._hello.replica)) return
    this._links.get(address.name)?.client.dispose()
    this._links.set(address.name, this._openLink(address, true))
  }

  /** Returns the addresses of a replica, or undefined when they are not known. */
  public addressOf (id: ReplicaId): ReplicaAddress | undefined {
    return this._links.get(replicaName(id))?.address
  }

  /** For how long nothing has listened at the address of a replica, in milliseconds; 0 when that is not known. */
  public refusedMs (id: ReplicaId): number {
    return this._links.get(replicaName(id))?.client.refusedMs ?? 0
  }

  /** Sends a frame to a replica, or drops it when the connection is closed or congested. */
  public send (to: ReplicaId, frame: ReplicaToReplica): void {
    const link = this._links.get(replicaName(to))
    if (link !== undefined) this._sendOn(link, frame)
  }

  /** Sends a frame to all replicas that this one connects to; each may be dropped. */
  public broadcast (frame: ReplicaToReplica): void {
    for (const link of this._links.values()) this._sendOn(link, frame)
  }

  /**
   * Receives and acknowledges frames on a connection on which another replica has sent its hello frame.
   * @param hello The replica's first frame.
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

  /** Connects to a replica that the settings don't name, and reconnects when it announces another address. */
  private _connectDiscovered (address: ReplicaAddress): void {
    const known = this._links.get(address.name)
    if (known?.isConfigured === true || known?.address.address === address.address) return
    known?.client.dispose()
    this._links.set(address.name, this._openLink(address, false))
  }

  private _openLink (address: ReplicaAddress, isConfigured: boolean): Link {
    const client = new FrameClient<FromControl, ReplicaToReplica>(address.address, this._clock, this._random)
    const link: Link = {
      client, address, isConfigured, isCongested: false, isDirectory: false, unacknowledgedSinceMs: undefined
    }
    client.onChannel(channel => {
      link.isCongested = false
      link.unacknowledgedSinceMs = undefined
      channel.onDrain(() => { link.isCongested = false })
      channel.onMessage(frame => this._onReply(link, frame))
      channel.send(this._hello)
      if (!link.isDirectory) this._opens.fire(address.name)
    })
    client.start()
    return link
  }

  private _onReply (link: Link, frame: FromControl): void {
    link.unacknowledgedSinceMs = undefined
    link.isDirectory = frame.type === 'controls'
    if (frame.type === 'controls') this._directories.fire(frame.controls)
  }

  private _sendOn (link: Link, frame: ReplicaToReplica): void {
    const { channel } = link.client
    if (channel === undefined || link.isCongested) return
    if (link.isDirectory && frame.type !== 'replicaHello') return
    link.unacknowledgedSinceMs ??= this._clock.nowMs()
    link.isCongested = !channel.send(frame)
  }

  /** Closes connections that stay unacknowledged, and announces this replica to nodes, which may have restarted. */
  private _checkLinks (): void {
    const nowMs = this._clock.nowMs()
    if (nowMs - this._announcedAtMs >= DIRECTORY_ANNOUNCE_INTERVAL_MS) {
      this._announcedAtMs = nowMs
      for (const link of this._links.values()) if (link.isDirectory) this._sendOn(link, this._hello)
    }
    for (const { client, unacknowledgedSinceMs } of this._links.values()) {
      if (unacknowledgedSinceMs !== undefined && nowMs - unacknowledgedSinceMs > LINK_TIMEOUT_MS) client.channel?.destroy('no acknowledgement within the link timeout')
    }
  }
}
