import { Emitter } from '../runtime/Emitter.js'
import { FrameServer } from '../runtime/FrameServer.js'
import type { FromControl, ToControl } from '../control/Types.js'
import type { ReplicaHello } from '../control/ReplicaLinks.js'
import type { EvacuationOrder, EvacuationState } from '../parts/evacuation/Types.js'
import type { RoutingChange, VersionedRouting } from '../parts/routing/Types.js'
import type { Disk } from '../parts/storage/Types.js'
import type { Random } from '../parts/Types.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { DepartureHost } from './DepartureHost.js'
import { type FeedHello, NodeFeed } from './NodeFeed.js'
import { OperatorRelay } from './OperatorRelay.js'
import { type OperatorCallExecutor, OperatorServer } from './OperatorServer.js'
import { QuotaHost } from './QuotaHost.js'
import {
  type ChangeOutcome, type CommandOutcome, type EvacuationOutcome, type GroupSettings, RoutingReplica
} from './RoutingReplica.js'

/** Settings and services that a daemon needs. */
export interface RouteControlOptions {
  readonly settings: GroupSettings
  readonly disk: Disk & Disposable
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  /** Called when state may be lost or wrong; the process must then stop. */
  readonly onFault: (error: Error) => void
  /** Listener for replicas and nodes that listens already; if undefined, `start` opens one. */
  readonly server?: ControlServer
}

/** Listener of a control process for other replicas, nodes and operators' calls. */
export type ControlServer = FrameServer<ToControl, FromControl>

/** Gauges of a control replica for metrics. */
export interface ControlGauges {
  readonly isLeader: boolean
  readonly isVoter: boolean
  /** Voters that the leader, or a voter without a leader, has not heard for some time; 0 at other replicas. */
  readonly silentVoters: number
  readonly term: number
  readonly commitIndex: number
  readonly members: number
  /** Version of the routing configuration in force at this replica. */
  readonly version: number
  /** Nodes connected to this replica. */
  readonly nodes: number
  /** Longest time for which one of them has lacked a version that this replica has, in milliseconds. */
  readonly longestDeliveryMs: number
  /** Evacuated zones according to this replica. */
  readonly evacuation: EvacuationState
}

/** An order that the leader has decided or could not decide, for metrics. */
export interface OrderDecision {
  readonly outcome: CommandOutcome<unknown>['type']
  /** Time from the receipt to the outcome, in milliseconds. */
  readonly durationMs: number
}

/** Result of a read of the routing configuration in force. */
export type ReadOutcome =
  | { readonly type: 'confirmed', readonly routing: VersionedRouting }
  /** No quorum confirmed that this replica has the newest version. */
  | { readonly type: 'unconfirmed' }

/**
 * A control process for routing: one replica of the consensus group, the feed that sends the configuration to nodes,
 * and the listener that both share.
 */
export class RouteControlDaemon implements Disposable {
  private readonly _replica: RoutingReplica
  private readonly _feed: NodeFeed
  private readonly _quotas: QuotaHost
  private readonly _departures: DepartureHost
  private readonly _server: ControlServer
  private readonly _decisionEmitter = new Emitter<OrderDecision>()
  private readonly _operators: OperatorServer

  /** Fires when a change or an order that was proposed here has an outcome. */
  public readonly onDecision = this._decisionEmitter.event

  /** Fires when a node has confirmed that a version of the routing configuration is in force there. */
  public get onConfirmation (): NodeFeed['onConfirmation'] {
    return this._feed.onConfirmation
  }

  /**
   * @param _options Settings, disk, clock, random numbers and log.
   * @throws StorageFault when the disk fails.
   */
  public constructor (private readonly _options: RouteControlOptions) {
    const { clock, log } = _options
    this._replica = new RoutingReplica(_options)
    this._feed = new NodeFeed(this._replica, clock, log)
    this._quotas = new QuotaHost(this._replica, this._feed, clock, log)
    this._departures = new DepartureHost(this._replica, this._feed, log)
    this._operators = new OperatorServer(this, log)
    this._server = _options.server ?? new FrameServer(clock)
    this._server.onChannel(channel => {
      const first = channel.onMessage(frame => {
        first.dispose()
        if (frame.type === 'replicaHello') this._replica.accept(channel, frame as ReplicaHello)
        else if (frame.type === 'feedHello') this._feed.accept(channel, frame as FeedHello)
        else if (frame.type === 'operatorCall' || frame.type === 'operatorOffer') this._operators.accept(channel, frame)
        else channel.destroy('the first frame is not a hello')
      })
    })
  }

  /** Current values for metrics. */
  public get gauges (): ControlGauges {
    const { term, commitIndex, members } = this._replica.view
    return {
      isLeader: this.isLeader,
      isVoter: this.isMember,
      silentVoters: this._replica.silentVoters,
      term,
      commitIndex,
      members: members.length,
      version: this._replica.machine.store.inForce.version,
      nodes: this._feed.size,
      longestDeliveryMs: this._feed.longestDeliveryMs,
      evacuation: this._replica.machine.evacuation
    }
  }

  /**
   * Opens the listener and starts the replica.
   * @throws Error when the address can't be listened on.
   */
  public async start (): Promise<void> {
    if (this._options.server === undefined) await this._server.listen(this._options.settings.address)
    this._replica.start()
  }

  /** Address of the leader, `host:port`; undefined when this replica leads or no leader is known. */
  public get remoteLeaderAddress (): string | undefined {
    return this._replica.remoteLeaderAddress
  }

  /** True when this replica has known no leader for longer than elections take. */
  public get isLeaderless (): boolean {
    return this._replica.isLeaderless
  }

  /** True while this replica is a voter of the group; others can't confirm reads. */
  public get isMember (): boolean {
    return this._replica.isMember
  }

  /** True while this replica is the leader. */
  public get isLeader (): boolean {
    return this._replica.view.role === 'leader'
  }

  /** Connects to the seeds of changed settings, `host:port`. */
  public setSeeds (seeds: readonly string[]): void {
    this._replica.setSeeds(seeds)
  }

  /**
   * Handles the calls of operators that nodes and other replicas pass on.
   * @returns A relay that passes calls on from this replica.
   */
  public serveOperators (execute: OperatorCallExecutor): OperatorRelay {
    const { settings: { address }, clock, log } = this._options
    this._operators.serve(execute)
    const listReplicas = (): string[] => [address, ...this._replica.memberAddresses]
    return new OperatorRelay({ listReplicas, local: { address, execute }, clock, log })
  }

  /** Proposes a change of the routing configuration; succeeds only at the leader. */
  public async change (change: RoutingChange): Promise<ChangeOutcome> {
    return await this._measure(this._replica.change(change))
  }

  /** Proposes an order about an availability zone; succeeds only at the leader. */
  public async evacuate (order: EvacuationOrder): Promise<EvacuationOutcome> {
    return await this._measure(this._replica.evacuate(order))
  }

  /** Reads the routing configuration in force, after a quorum has confirmed that this replica is up to date. */
  public async read (): Promise<ReadOutcome> {
    const startedAtMs = this._options.clock.nowMs()
    const confirmed = await this._replica.readBarrier()
    this._logRead(confirmed, Math.round(this._options.clock.nowMs() - startedAtMs))
    return confirmed ? { type: 'confirmed', routing: this._replica.machine.store.inForce } : { type: 'unconfirmed' }
  }

  /** Returns a dump of the state that is bounded in size. */
  public state (): object {
    return {
      replica: this._replica.view,
      corruptions: this._replica.corruptions,
      version: this._replica.machine.store.inForce.version,
      evacuation: this._replica.machine.evacuation,
      nodesWithDepartures: this._replica.machine.departures.size,
      nodes: this._feed.size,
      directory: this._feed.directory.size
    }
  }

  /**
   * Asks the group to replace this replica, which goes on meanwhile. Resolves when the process may stop.
   * @param limitMs Longest duration in milliseconds.
   */
  public async leave (limitMs: number): Promise<void> {
    await this._replica.leave(limitMs)
  }

  /** Stops at once without completing pending work; changes that aren't synced to disk were never acknowledged. */
  public dispose (): void {
    this._quotas.dispose()
    this._departures.dispose()
    this._feed.dispose()
    this._replica.dispose()
    this._server.dispose()
    this._options.disk.dispose()
  }

  private async _measure<Outcome extends CommandOutcome<unknown>> (pending: Promise<Outcome>): Promise<Outcome> {
    const startedAtMs = this._options.clock.nowMs()
    const outcome = await pending
    this._decisionEmitter.fire({ outcome: outcome.type, durationMs: this._options.clock.nowMs() - startedAtMs })
    return outcome
  }

  /** Tells apart reads in another group, reads that were confirmed too early and a state that lacks log entries. */
  private _logRead (confirmed: boolean, durationMs: number): void {
    const { id: replica, members, term, leader, commitIndex } = this._replica.view
    const { appliedIndex, machine } = this._replica
    const { version } = machine.store.inForce
    const fields = { confirmed, durationMs, version, appliedIndex, commitIndex, term, leader, replica, members }
    this._options.log.info(fields, 'configuration read')
  }
}
