import { FrameServer } from '../runtime/FrameServer.js'
import type { FromControl, ToControl } from '../control/Types.js'
import type { ReplicaHello } from '../control/ReplicaLinks.js'
import type { RoutingChange, VersionedRouting } from '../parts/routing/Types.js'
import type { Disk } from '../parts/storage/Types.js'
import type { Random } from '../parts/Types.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { type FeedHello, NodeFeed } from './NodeFeed.js'
import { type ChangeOutcome, type GroupSettings, RoutingReplica } from './RoutingReplica.js'

/** What the daemon is built with. */
export interface RouteControlOptions {
  readonly settings: GroupSettings
  readonly disk: Disk & Disposable
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  /** The process must stop: state may be lost or wrong. */
  readonly onFault: (error: Error) => void
}

/** Figures of a replica for metrics. */
export interface ControlGauges {
  readonly isLeader: boolean
  readonly term: number
  readonly commitIndex: number
  readonly members: number
  readonly version: number
  readonly nodes: number
}

/** Answer to a read of the routing in force. */
export type ReadOutcome =
  | { readonly type: 'confirmed', readonly routing: VersionedRouting }
  /** No quorum has confirmed that this replica holds the newest version. */
  | { readonly type: 'unconfirmed' }

/** A control replica for routing as a process: the replica, its feed for nodes, and their common listener. */
export class RouteControlDaemon implements Disposable {
  private readonly _replica: RoutingReplica
  private readonly _feed: NodeFeed
  private readonly _server: FrameServer<ToControl, FromControl>

  public constructor (private readonly _options: RouteControlOptions) {
    const { clock, log } = _options
    this._replica = new RoutingReplica(_options)
    this._feed = new NodeFeed(this._replica, clock, log)
    this._server = new FrameServer(clock)
    this._server.onChannel(channel => {
      const first = channel.onMessage(frame => {
        first.dispose()
        if (frame.type === 'replicaHello') this._replica.accept(channel, frame as ReplicaHello)
        else if (frame.type === 'feedHello') this._feed.accept(channel, frame as FeedHello)
        else channel.destroy('no hello')
      })
    })
  }

  /** Figures for metrics. */
  public get gauges (): ControlGauges {
    const { term, commitIndex, members } = this._replica.view
    return {
      isLeader: this.isLeader,
      term,
      commitIndex,
      members: members.length,
      version: this._replica.machine.register.inForce.version,
      nodes: this._feed.size
    }
  }

  /** Opens the listener and starts the replica. */
  public async start (): Promise<void> {
    await this._server.listen(this._options.settings.address)
    this._replica.start()
  }

  /** Where the leader listens, `host:port`, when it is another replica. */
  public get remoteLeaderAddress (): string | undefined {
    return this._replica.remoteLeaderAddress
  }

  /** True while this replica leads. */
  public get isLeader (): boolean {
    return this._replica.view.role === 'leader'
  }

  /** Connects to replicas that the settings name by now. */
  public setSeeds (seeds: readonly string[]): void {
    this._replica.setSeeds(seeds)
  }

  /** Proposes a change; only the leader can. */
  public async change (change: RoutingChange): Promise<ChangeOutcome> {
    return await this._replica.change(change)
  }

  /** Reads the routing in force by quorum. */
  public async read (): Promise<ReadOutcome> {
    const confirmed = await this._replica.readBarrier()
    return confirmed ? { type: 'confirmed', routing: this._replica.machine.register.inForce } : { type: 'unconfirmed' }
  }

  /** A bounded dump of the state. */
  public state (): object {
    return {
      replica: this._replica.view,
      corruptions: this._replica.corruptions,
      version: this._replica.machine.register.inForce.version,
      nodes: this._feed.size,
      directory: this._feed.directory.size
    }
  }

  /** Stops without finishing anything; what is not synced was not promised. */
  public dispose (): void {
    this._feed.dispose()
    this._replica.dispose()
    this._server.dispose()
    this._options.disk.dispose()
  }
}
