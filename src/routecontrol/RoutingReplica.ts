import { randomBytes } from 'node:crypto'
import { ReplicaHost } from '../control/ReplicaHost.js'
import { ReadBarrier } from '../control/ReadBarrier.js'
import { type AcceptedChannel, type ReplicaFrame, type ReplicaHello, ReplicaLinks } from '../control/ReplicaLinks.js'
import { READ_REQUEST_ID_RANGE } from '../control/Constants.js'
import type { ReplicaFrameHandlers, ReplicaToReplica } from '../control/Types.js'
import { EMPTY_RECOVERED_STATE } from '../parts/agreement/Constants.js'
import { GroupFormation, makeReplicaId, replicaName } from '../parts/agreement/GroupFormation.js'
import type { ReplicaView } from '../parts/agreement/Replica.js'
import type { RecoveredState } from '../parts/agreement/Types.js'
import type { EvacuationOrder } from '../parts/evacuation/Types.js'
import type { NodeDepartures, NodeEntry } from '../parts/instances/Types.js'
import type { CrashReport } from '../parts/quarantine/Types.js'
import type { RoutingChange, RoutingReply } from '../parts/routing/Types.js'
import { DurableLog } from '../parts/storage/DurableLog.js'
import type { Corruption, Disk, OpenResult } from '../parts/storage/Types.js'
import type { Random, ReplicaId } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { FIRST_LEADER_WAIT_MS, GROUP_TICK_MS, GROUP_TIMING, SNAPSHOT_AFTER_BYTES } from './Constants.js'
import { decideEarly } from './EarlyDecision.js'
import { FormationHost, type FormingReplica } from './FormationHost.js'
import {
  type DepartureReply, type EvacuationReply, type MachineReply, RoutingStateMachine
} from './RoutingStateMachine.js'
import type { QuotaReplicaFrame } from './Types.js'
import { type VoterGroup, VoterHost } from './VoterHost.js'

/** Settings from which a replica finds or forms its group. */
export interface GroupSettings {
  /** Where this replica listens for other replicas and nodes, `host:port`; also its name. */
  readonly address: string
  /** Replicas to connect to first, `host:port`. */
  readonly seeds: readonly string[]
  /** True only when the whole system starts for the first time: a replica with an empty disk may then form a group. */
  readonly bootstrap: boolean
  /** Replicas that may fail at the same time; the group has two voters for each, plus one. */
  readonly toleratedLosses: number
}

/** Settings and services that a replica needs. */
export interface RoutingReplicaOptions {
  readonly settings: GroupSettings
  readonly disk: Disk
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  /** Called when state may be lost or wrong; the process must then stop. */
  readonly onFault: (error: Error) => void
}

/** Result of a proposed command. `not-run` never comes into force; `unknown` may still do so. */
export type CommandOutcome<Reply> =
  | { readonly type: 'decided', readonly reply: Reply }
  | { readonly type: 'undecided', readonly state: 'not-run' | 'unknown', readonly reason?: string }

/** Result of a proposed change. */
export type ChangeOutcome = CommandOutcome<RoutingReply>

/** Result of a proposed order about an availability zone. */
export type EvacuationOutcome = CommandOutcome<EvacuationReply>

/** Result of proposed departures. */
export type DepartureOutcome = CommandOutcome<DepartureReply>

/** Entries of nodes that another replica sent. */
export interface NodeEntriesUpdate {
  readonly from: ReplicaId
  readonly entries: readonly NodeEntry[]
  /** True when these are all entries that the sender has. */
  readonly whole: boolean
}

/** A frame about quotas that another replica sent. */
export interface ReceivedQuotaFrame {
  readonly from: ReplicaId
  readonly frame: QuotaReplicaFrame
}

/**
 * A replica of the consensus group (Raft) that stores the routing configuration and the evacuated zones. Its settings
 * name only some seeds and the number of losses to tolerate. The seeds form the first group; other replicas join
 * through any member and become voters while the group needs them. A replica that starts with an empty disk takes a new
 * identity, so that it never votes under the identity whose log and votes it has lost.
 */
export class RoutingReplica implements Disposable {
  /** Identity of this replica, bound to its disk. */
  public readonly id: ReplicaId
  /** Replicated state as applied at this replica. */
  public readonly machine = new RoutingStateMachine()
  /** Corruptions found in the log at start; a replica with any takes no part in the group. */
  public readonly corruptions: readonly Corruption[]
  private readonly _links: ReplicaLinks
  private readonly _host: ReplicaHost<MachineReply>
  private readonly _barrier: ReadBarrier
  private readonly _formation: FormationHost
  private readonly _voters: VoterHost
  private readonly _nodeEntriesEmitter = new Emitter<NodeEntriesUpdate>()
  private readonly _crashReportsEmitter = new Emitter<readonly CrashReport[]>()
  private readonly _departuresEmitter = new Emitter<NodeDepartures>()
  private readonly _quotaFrameEmitter = new Emitter<ReceivedQuotaFrame>()
  private readonly _linkOpenEmitter = new Emitter<void>()
  private readonly _firstLeaderEmitter = new Emitter<void>()
  /** Resolves when a leader is known for the first time, or after `FIRST_LEADER_WAIT_MS`. */
  private readonly _firstLeader: Promise<void>
  private readonly _firstLeaderTimer: NodeJS.Timeout

  private readonly _handlers: ReplicaFrameHandlers = {
    agreement: (from, { to, message }) => {
      if (to !== this.id) return
      this._host.receive(from, message)
      // A replica that was replaced while it was away learns of it here, and asks to join again.
      const isFormerMember = message.type === 'preVote' && !this.view.members.includes(from)
      if (isFormerMember && this.view.role === 'leader') this._formation.notify(from)
    },
    formation: (from, { notice }) => this._formation.receive(from, notice),
    join: (from, { replica }) => {
      this._voters.recordJoinRequest(replica)
      // The sender may stay outside a full group, and must still know the leader for operators' calls.
      if (this.view.leader !== undefined) this._formation.notify(from)
    },
    leave: from => this._voters.recordLeaveRequest(from),
    leaveReply: (_from, { state }) => this._voters.receiveLeaveReply(state),
    readIndex: (from, { id }) => {
      this._barrier.replyToFollower(from, id).catch((error: Error) => this._options.log.warn({ error: error.message }, 'read failed'))
    },
    readIndexReply: (_from, { id, index }) => this._barrier.receiveReply(id, index),
    nodeEntries: (from, { entries, whole }) => this._nodeEntriesEmitter.fire({ from, entries, whole }),
    crashReports: (_from, { reports }) => this._crashReportsEmitter.fire(reports),
    departureForward: (_from, { node, departures }) => this._departuresEmitter.fire({ node, departures }),
    quotaForward: (from, frame) => this._quotaFrameEmitter.fire({ from, frame }),
    quotaReturn: (from, frame) => this._quotaFrameEmitter.fire({ from, frame }),
    quotaCollect: (from, frame) => this._quotaFrameEmitter.fire({ from, frame })
  }

  /**
   * Opens the log and recovers the state.
   * @param _options Settings, disk, clock, random numbers and log.
   * @throws StorageFault when the disk fails.
   */
  public constructor (private readonly _options: RoutingReplicaOptions) {
    const { settings, disk, clock, random, log } = _options
    const storage = new DurableLog(disk)
    const opened = storage.open()
    this.corruptions = opened.type === 'corrupt' ? opened.corruptions : []
    this.id = opened.type === 'recovered'
      ? opened.identity
      : makeReplicaId(settings.address, randomBytes(6).toString('hex'))
    const founders = this._findFounders(opened)
    if (opened.type === 'empty') storage.create(this.id, founders)
    this._links = new ReplicaLinks(this._makeHello(), clock, random)
    this._links.onFrame(frame => this._handleFrame(frame))
    this._links.onOpen(() => {
      this._linkOpenEmitter.fire()
      this._voters.handleLinkOpen()
    })
    this._links.onDirectory(addresses => {
      if (this.view.leader === undefined) addresses.forEach(address => this._connect(address))
    })
    this._host = this._makeHost(storage, opened.type === 'recovered' ? opened.state : EMPTY_RECOVERED_STATE)
    this._barrier = new ReadBarrier({
      id: this.id,
      confirmReadIndex: () => this._host.confirmReadIndex(),
      leader: () => this.view.leader,
      appliedIndex: () => this._host.appliedIndex,
      send: (to, frame) => this._links.send(to, frame)
    }, Math.floor(random.next() * READ_REQUEST_ID_RANGE))
    this._host.onApplied(() => this._barrier.notifyApplied())
    this._host.onRoleChange(({ role, term, leader }) => {
      log.info({ role, term, leader }, 'role changed')
      if (leader !== undefined) this._firstLeaderEmitter.fire()
      this._barrier.notifyLeader()
    })
    this._firstLeader = new Promise(resolve => this._firstLeaderEmitter.event(resolve))
    this._firstLeaderTimer = setTimeout(() => this._firstLeaderEmitter.fire(), FIRST_LEADER_WAIT_MS)
    this._formation = this._makeFormation(founders)
    this._voters = this._makeVoters()
    const cutBytes = opened.type === 'recovered' ? opened.cutBytes : 0
    log.info({ replica: this.id, members: this.view.members, commitIndex: this.view.commitIndex, cutBytes }, 'log opened')
    this.corruptions.forEach(item => log.error({ ...item }, 'log is damaged, taking no part'))
  }

  /** Fires with the entries of nodes that other replicas send. */
  public readonly onNodeEntries = this._nodeEntriesEmitter.event

  /** Fires with the crash reports that other replicas send. */
  public readonly onCrashReports = this._crashReportsEmitter.event

  /** Fires with the departures that other replicas pass on to the leader. */
  public readonly onDepartures = this._departuresEmitter.event

  /** Fires with the frames about quotas that other replicas send. */
  public readonly onQuotaFrame = this._quotaFrameEmitter.event

  /** Fires when a connection to another replica has opened; frames that were sent to it before may be lost. */
  public readonly onLinkOpen = this._linkOpenEmitter.event

  /** State of the replica, bounded in size. */
  public get view (): ReplicaView {
    return this._host.view
  }

  /** Index of the last log entry whose effect `machine` contains. */
  public get appliedIndex (): number {
    return this._host.appliedIndex
  }

  /**
   * True while a leader is known and this replica is a member, so that it normally receives new commits soon. A member
   * that was cut off still knows its old leader for a while.
   */
  public get canServeNodes (): boolean {
    return this.view.leader !== undefined && this.isMember
  }

  /** Addresses of all members, `host:port`. A replica outside the group goes by what the members say. */
  public get memberAddresses (): string[] {
    return this._formation.members.map(replicaName)
  }

  /** True while this replica is a voter of the group. */
  public get isMember (): boolean {
    return this.view.members.includes(this.id)
  }

  /**
   * Address of the leader, `host:port`; undefined when this replica leads or no leader is known. A replica outside the
   * group receives nothing from the leader and goes by what the members say.
   */
  public get remoteLeaderAddress (): string | undefined {
    const leader = this.view.leader ?? this._formation.noticedLeader
    return leader === undefined || leader === this.id ? undefined : replicaName(leader)
  }

  /** True when no leader has been known for longer than elections take. */
  public get isLeaderless (): boolean {
    return this.remoteLeaderAddress === undefined && this._voters.isLeaderless
  }

  /** Connects to the seeds and the members, and starts the timers. */
  public start (): void {
    this.setSeeds(this._options.settings.seeds)
    this.memberAddresses.forEach(address => this._connect(address))
    this._host.start()
    this._formation.start()
    if (this.corruptions.length === 0) this._voters.start()
  }

  /**
   * Connects to the seeds of changed settings.
   * @param seeds Addresses, `host:port`.
   */
  public setSeeds (seeds: readonly string[]): void {
    seeds.forEach(address => this._connect(address))
  }

  /**
   * Resolves to true once a quorum has confirmed that everything committed before this call is applied here, and to
   * false when that could not be confirmed.
   */
  public readBarrier (): Promise<boolean> {
    return this._barrier.wait()
  }

  /** Like `readBarrier`, but a member that has just started waits for its first leader. */
  public async firstReadBarrier (): Promise<boolean> {
    if (this.isMember) await this._firstLeader
    return await this.readBarrier()
  }

  /**
   * Proposes a change; succeeds only at the leader, and only once the change can be decided for good.
   * @param change The change, decoded.
   */
  public async change (change: RoutingChange): Promise<ChangeOutcome> {
    const outcome = decideEarly(this.machine.store, change)
    if (outcome !== undefined) return outcome
    return await this._propose<RoutingReply>(this.machine.encode(change))
  }

  /** Proposes an order about an availability zone; succeeds only at the leader. */
  public async evacuate (order: EvacuationOrder): Promise<EvacuationOutcome> {
    return await this._propose<EvacuationReply>(this.machine.encodeOrder(order))
  }

  /** Proposes departures of instances; succeeds only at the leader. */
  public async storeDepartures (departed: NodeDepartures): Promise<DepartureOutcome> {
    return await this._propose<DepartureReply>(this.machine.encodeDepartures(departed))
  }

  /** Passes departures on to another replica; they may be dropped. */
  public forwardDepartures (to: ReplicaId, departed: NodeDepartures): void {
    this._links.send(to, { type: 'departureForward', ...departed })
  }

  /**
   * Receives frames on a connection on which another replica has sent its hello frame.
   * @param channel The connection.
   * @param hello The replica's first frame.
   */
  public accept (channel: AcceptedChannel, hello: ReplicaHello): void {
    this._links.accept(channel, hello)
  }

  /**
   * Sends entries of nodes to all other replicas.
   * @param whole True when these are all entries that this replica has.
   */
  public broadcastEntries (entries: readonly NodeEntry[], whole: boolean): void {
    this._links.broadcast({ type: 'nodeEntries', entries, whole })
  }

  /** Sends crash reports to all other replicas. */
  public broadcastCrashReports (reports: readonly CrashReport[]): void {
    this._links.broadcast({ type: 'crashReports', reports })
  }

  /** Sends a frame about quotas to another replica; it may be dropped. */
  public sendQuotaFrame (to: ReplicaId, frame: QuotaReplicaFrame): void {
    this._links.send(to, frame)
  }

  /** Sends a frame about quotas to all other replicas; each may be dropped. */
  public broadcastQuotaFrame (frame: QuotaReplicaFrame): void {
    this._links.broadcast(frame)
  }

  /**
   * Asks the group to replace this replica as a voter, before the process stops for good.
   * @param limitMs Longest duration in milliseconds.
   */
  public async leave (limitMs: number): Promise<void> {
    if (this.corruptions.length === 0) await this._voters.leave(limitMs)
  }

  /** Voters that the leader, or a voter without a leader, has not heard for some time; 0 at other replicas. */
  public get silentVoters (): number {
    return this._voters.silentVoters
  }

  /** Stops at once without completing pending work. */
  public dispose (): void {
    this._formation.dispose()
    this._voters.dispose()
    clearTimeout(this._firstLeaderTimer)
    this._firstLeaderEmitter.fire()
    this._barrier.dispose()
    this._host.dispose()
    this._links.dispose()
  }

  /** @typeParam Reply Replies of the machine to commands of this kind. */
  private async _propose<Reply extends MachineReply> (data: Uint8Array): Promise<CommandOutcome<Reply>> {
    const outcome = await this._host.propose(data)
    return outcome.type === 'applied'
      ? { type: 'decided', reply: outcome.reply as Reply }
      : { type: 'undecided', state: outcome.state }
  }

  private _makeHost (storage: DurableLog, recovered: RecoveredState): ReplicaHost<MachineReply> {
    const { clock, random, onFault } = this._options
    return new ReplicaHost<MachineReply>({
      id: this.id,
      recovered,
      isCorrupt: this.corruptions.length > 0,
      log: storage,
      stateMachine: this.machine,
      clock,
      random,
      timing: GROUP_TIMING,
      tickMs: GROUP_TICK_MS,
      snapshotAfterBytes: SNAPSHOT_AFTER_BYTES,
      send: (to, message) => {
        this._connect(replicaName(to))
        this._links.send(to, { type: 'agreement', to, message })
      },
      onFault
    })
  }

  /** Names of the replicas that form the first group with this one; empty when its disk is not of the first start. */
  private _findFounders (opened: OpenResult): readonly string[] {
    const { settings: { address, seeds, bootstrap } } = this._options
    if (opened.type === 'recovered') return opened.founders ?? []
    if (opened.type === 'empty' && opened.founders !== undefined) return opened.founders
    return opened.type === 'empty' && bootstrap && seeds.includes(address) ? seeds : []
  }

  /** A seed whose disk was lost before the group has formed takes part in its formation as a replacement. */
  private _makeFormation (founders: readonly string[]): FormationHost {
    const { settings: { address, seeds }, clock, log } = this._options
    const isReplacement = founders.length === 0
    const formation = isReplacement && !seeds.includes(address)
      ? undefined
      : new GroupFormation(this.id, isReplacement ? seeds : founders, isReplacement)
    return new FormationHost(this._makePort(), formation, clock, log)
  }

  private _makeVoters (): VoterHost {
    const { settings, clock, log } = this._options
    return new VoterHost(this._makePort(), settings.toleratedLosses, clock, log)
  }

  /** What the formation and the voters use of this replica. */
  private _makePort (): FormingReplica & VoterGroup {
    const view = (): ReplicaView => this.view
    const isExcluded = (): boolean => this._formation.isExcluded
    return {
      id: this.id,
      isDamaged: this.corruptions.length > 0,
      get view () { return view() },
      get isExcluded () { return isExcluded() },
      formGroup: members => this._host.formGroup(members),
      changeMembers: members => this._host.changeMembers(members),
      setLearners: learners => this._host.setLearners(learners),
      refusedMs: replica => this._links.refusedMs(replica),
      connect: address => this._connect(address),
      send: (to, frame) => this._links.send(to, frame),
      broadcast: frame => this._links.broadcast(frame)
    }
  }

  private _makeHello (): ReplicaHello {
    const { address } = this._options.settings
    return { type: 'replicaHello', replica: this.id, incarnation: this._options.clock.wallMs(), address, admin: address }
  }

  private _connect (address: string): void {
    if (address === this._options.settings.address || this._links.names.includes(address)) return
    this._links.connect({ name: address, address, admin: address })
  }

  private _handleFrame ({ from, frame }: ReplicaFrame): void {
    this._voters.recordFrame(from)
    const handler = this._handlers[frame.type] as ((from: ReplicaId, frame: ReplicaToReplica) => void) | undefined
    handler?.(from, frame)
  }
}
