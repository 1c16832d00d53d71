import { randomBytes } from 'node:crypto'
import { GroupFormation, makeReplicaId, replicaName } from '../parts/agreement/GroupFormation.js'
import type { FormationNotice } from '../parts/agreement/GroupFormation.js'
import type { ReplicaView } from '../parts/agreement/Replica.js'
import { EMPTY_RECOVERED_STATE } from '../parts/agreement/Constants.js'
import type { RecoveredState } from '../parts/agreement/Types.js'
import { checkChange } from '../parts/configuration/ConfigurationCheck.js'
import type { ChangeReply, ChangeRequest } from '../parts/configuration/Types.js'
import { DurableLog } from '../parts/storage/DurableLog.js'
import type { Corruption, Disk } from '../parts/storage/Types.js'
import type { Random, ReplicaId } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { FORMATION_INTERVAL_MS, NO_LEADER_RETRY_MS, READ_REQUEST_ID_RANGE, SLOW_SYNC_MS } from './Constants.js'
import type { ControlSettings } from './ControlSettings.js'
import { type ControlReply, ControlStateMachine } from './ControlStateMachine.js'
import { MemberReplacement } from './MemberReplacement.js'
import type { RecordFrame, SessionGroup } from './NodeSessions.js'
import { ReadBarrier } from './ReadBarrier.js'
import { ReplicaHost } from './ReplicaHost.js'
import { ReplicaLinks, type ReplicaAddress, type ReplicaFrame } from './ReplicaLinks.js'
import type { ControlToNode, ReplicaFrameHandlers, ReplicaToReplica } from './Types.js'

/** Settings and dependencies of a control replica. */
export interface ControlReplicaOptions {
  readonly settings: ControlSettings
  readonly disk: Disk
  readonly clock: Clock
  readonly random: Random
  readonly logger: Log
  /** Called when the process must stop because state may be lost or wrong. */
  readonly onFault: (error: Error) => void
}

/**
 * One replica of the control group: its log, its replicated state and its connections to the other replicas. Forms the
 * first group with the replicas of the settings and, as leader, replaces members whose disks were lost.
 */
export class ControlReplica implements SessionGroup, Disposable {
  /** Identity of this replica, bound to its disk. */
  public readonly id: ReplicaId
  /** Replicated state as applied at this replica. */
  public readonly stateMachine: ControlStateMachine
  /** Connections to the other replicas. */
  public readonly links: ReplicaLinks
  /** Corruptions found in the log at start; a replica with any takes no part in the group. */
  public readonly corruptions: readonly Corruption[]
  private readonly _host: ReplicaHost<ControlReply>
  private readonly _barrier: ReadBarrier
  private readonly _formation: GroupFormation
  private readonly _replacement: MemberReplacement
  private readonly _formationTimer: NodeJS.Timeout
  private readonly _syncs = new Emitter<number>()

  private readonly _handlers: ReplicaFrameHandlers = {
    agreement: (from, { to, message }) => { if (to === this.id) this._host.receive(from, message) },
    formation: (from, { notice }) => this._onFormationNotice(notice),
    readIndex: (from, { id }) => { this._barrier.replyToFollower(from, id).catch(() => {}) },
    readIndexReply: (_from, { id, index }) => this._barrier.receiveReply(id, index)
  }

  /**
   * Opens the log and recovers the state.
   * @param _options Settings, disk, clock, random numbers and log.
   * @throws StorageFault when the disk fails.
   */
  public constructor (private readonly _options: ControlReplicaOptions) {
    const { settings, disk, clock, random, logger } = _options
    const log = new DurableLog(disk)
    const opened = log.open()
    this.corruptions = opened.type === 'corrupt' ? opened.corruptions : []
    this.id = opened.type === 'recovered' ? opened.identity : makeReplicaId(settings.id, randomBytes(6).toString('hex'))
    if (opened.type === 'empty') log.create(this.id)
    this.stateMachine = new ControlStateMachine(makeLedgerLimits(settings), clock)
    this.links = new ReplicaLinks(this._makeHello(), clock, random)
    this.links.onFrame(frame => this._onFrame(frame))
    this._host = this._makeHost(log, opened.type === 'recovered' ? opened.state : EMPTY_RECOVERED_STATE)
    this._barrier = new ReadBarrier({
      id: this.id,
      confirmReadIndex: () => this._host.confirmReadIndex(),
      leader: () => this.view.leader,
      appliedIndex: () => this._host.appliedIndex,
      send: (to, frame) => this.links.send(to, frame)
    }, Math.floor(random.next() * READ_REQUEST_ID_RANGE))
    this._host.onApplied(() => this._barrier.notifyApplied())
    this._host.onSync(ms => this._recordSync(ms))
    this._host.onRoleChange(({ role, term, leader }) => {
      logger.info({ role, term, leader }, 'role changed')
      this._barrier.notifyLeader()
    })
    this._formation = new GroupFormation(this.id, settings.replicas.map(replica => replica.id))
    this._replacement = new MemberReplacement(settings.replicas.map(replica => replica.id), this._host, logger)
    this._formationTimer = setInterval(() => this._onFormationTick(), FORMATION_INTERVAL_MS)
    this._logStart(opened.type === 'recovered' ? opened.cutBytes : 0)
  }

  /** State of the replica, bounded in size. */
  public get view (): ReplicaView {
    return this._host.view
  }

  /** Fires after each sync of the log with its duration in milliseconds. */
  public readonly onSync = this._syncs.event

  /** True while the disk is full; proposals are then rejected. */
  public get diskFull (): boolean {
    return this._host.diskFull
  }

  /** Connects to the replicas of the settings and starts the ticks. */
  public start (): void {
    for (const { id, address, admin } of this._options.settings.replicas) {
      this.links.connect({ name: id, address, admin })
    }
    this._host.start()
  }

  /** Addresses of the leader; undefined when this replica leads or no leader is known. */
  public remoteLeader (): ReplicaAddress | undefined {
    const { leader } = this.view
    return leader === undefined || leader === this.id ? undefined : this.links.addressOf(leader)
  }

  /** True while this replica leads. */
  public get isLeader (): boolean {
    return this.view.role === 'leader'
  }

  /**
   * Resolves to true once a quorum has confirmed that everything committed before this call is applied here, and to
   * false when that could not be confirmed.
   */
  public readBarrier (): Promise<boolean> {
    return this._barrier.wait()
  }

  /**
   * Validates and proposes an operator's change; succeeds only at the leader. A retried operation gets the first reply,
   * also when the validation rules have become stricter since.
   * @param change The change, not yet validated.
   */
  public async proposeChange (change: ChangeRequest): Promise<ChangeReply> {
    const findings = checkChange(change)
    const earlierReply = findings.length > 0 && typeof change?.operation === 'string' && await this.readBarrier()
      ? this._earlierReply(change)
      : undefined
    if (earlierReply !== undefined) return earlierReply
    if (findings.length > 0) return { type: 'invalid', findings }
    const outcome = await this._host.propose(this.stateMachine.encodeChange(change))
    if (outcome.type === 'rejected' || outcome.reply.type !== 'change') {
      return { type: 'unavailable', retryAfterMs: NO_LEADER_RETRY_MS }
    }
    return outcome.reply.reply
  }

  /**
   * Proposes a node's record command. The reply is `notLeader` when the command was not or may not have been applied.
   * @param frame Frame with the command.
   */
  public async proposeRecord ({ id, command }: RecordFrame): Promise<ControlToNode> {
    const outcome = await this._host.propose(this.stateMachine.encodeRecord(command))
    if (outcome.type === 'applied' && outcome.reply.type === 'record') {
      return { type: 'recordReply', id, reply: outcome.reply.reply }
    }
    const leader = this.remoteLeader()?.address
    return { type: 'notLeader', id, ...(leader === undefined ? {} : { leader }) }
  }

  /**
   * Adds or removes one member; succeeds only at the leader.
   * @param members Ids of all members after the change.
   * @returns True when the change is committed.
   */
  public async changeMembers (members: readonly ReplicaId[]): Promise<boolean> {
    const outcome = await this._host.changeMembers(members)
    return outcome.type === 'applied'
  }

  /** Stops at once without completing pending work. */
  public dispose (): void {
    clearInterval(this._formationTimer)
    this._barrier.dispose()
    this._host.dispose()
    this.links.dispose()
  }

  private _makeHost (log: DurableLog, recovered: RecoveredState): ReplicaHost<ControlReply> {
    const { settings, clock, random, onFault } = this._options
    const { tickMs, ...timing } = settings.timing
    return new ReplicaHost<ControlReply>({
      id: this.id,
      recovered,
      isCorrupt: this.corruptions.length > 0,
      log,
      stateMachine: this.stateMachine,
      clock,
      random,
      timing,
      tickMs,
      snapshotAfterBytes: settings.storage.snapshotAfterBytes,
      send: (to, message) => this.links.send(to, { type: 'agreement', to, message }),
      onFault
    })
  }

  private _makeHello (): Extract<ReplicaToReplica, { type: 'replicaHello' }> {
    const { listen } = this._options.settings
    const incarnation = this._options.clock.wallMs()
    return { type: 'replicaHello', replica: this.id, incarnation, address: listen.peer, admin: listen.admin }
  }

  private _onFrame ({ from, frame }: ReplicaFrame): void {
    const handler = this._handlers[frame.type] as ((from: ReplicaId, frame: ReplicaToReplica) => void) | undefined
    handler?.(from, frame)
  }

  /** Only a replica outside the group announces itself; a member answers with the members of its group. */
  private _onFormationTick (): void {
    if (this.corruptions.length > 0) return
    const { members } = this.view
    if (members.length === 0) this._formGroupIfReady(this._formation.agreedGroup(this._options.clock.nowMs()))
    if (!members.includes(this.id)) this.links.broadcast(this._makeNotice())
    this._replacement.tick(this._options.clock.nowMs())
  }

  private _makeNotice (): Extract<ReplicaToReplica, { type: 'formation' }> {
    const heard = this._formation.proposedGroup(this._options.clock.nowMs())
    return { type: 'formation', notice: { replica: this.id, members: this.view.members, heard } }
  }

  private _onFormationNotice (notice: FormationNotice): void {
    const nowMs = this._options.clock.nowMs()
    const { members } = this.view
    if (this.corruptions.length > 0) return
    if (members.length === 0) return this._formGroupIfReady(this._formation.receive(notice, nowMs))
    if (notice.members.length > 0) return
    this.links.send(notice.replica, this._makeNotice())
    this._replacement.recordJoinRequest(notice.replica, nowMs)
  }

  private _formGroupIfReady (members: readonly ReplicaId[] | undefined): void {
    if (members === undefined) return
    this._options.logger.info({ members }, 'forming the group')
    this._host.formGroup(members)
  }

  private _recordSync (ms: number): void {
    this._syncs.fire(ms)
    if (ms > SLOW_SYNC_MS) this._options.logger.warn({ ms: Math.round(ms) }, 'slow sync of the log')
  }

  private _earlierReply (change: ChangeRequest): ChangeReply | undefined {
    try {
      return this.stateMachine.configurationStore.earlierReply(change)
    } catch {
      return undefined // The content has a shape that no accepted change ever had.
    }
  }

  private _logStart (cutBytes: number): void {
    const { logger } = this._options
    logger.info({ replica: this.id, name: replicaName(this.id), members: this.view.members, cutBytes }, 'log opened')
    this.corruptions.forEach(item => logger.error({ ...item }, 'log is damaged, taking no part'))
  }
}

function makeLedgerLimits ({ records }: ControlSettings): ConstructorParameters<typeof ControlStateMachine>[0] {
  return { maxRecords: records.capacity, maxAnswerBytes: records.maxAnswerBytes, horizonMs: records.horizonMs }
}
