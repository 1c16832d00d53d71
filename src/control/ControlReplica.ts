import { randomBytes } from 'node:crypto'
import { GroupFormation, makeReplicaId, replicaName } from '../parts/agreement/GroupFormation.js'
import type { FormationNotice } from '../parts/agreement/GroupFormation.js'
import type { ReplicaView } from '../parts/agreement/Replica.js'
import type { RecoveredState } from '../parts/agreement/Types.js'
import { checkChange } from '../parts/configuration/ConfigurationCheck.js'
import type { ChangeReply, ChangeRequest } from '../parts/configuration/Types.js'
import { DurableLog } from '../parts/storage/DurableLog.js'
import type { Corruption, Disk } from '../parts/storage/Types.js'
import type { Random, ReplicaId } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import { FORMATION_INTERVAL_MS, NO_LEADER_RETRY_MS, SLOW_SYNC_MS } from './Constants.js'
import { type ControlReply, ControlMachine } from './ControlMachine.js'
import type { ControlSettings } from './ControlSettings.js'
import { GroupHost } from './GroupHost.js'
import type { RecordFrame, SessionGroup } from './NodeSessions.js'
import { ReadBarrier } from './ReadBarrier.js'
import { Replacement } from './Replacement.js'
import { ReplicaLinks, type ReplicaAddress, type ReplicaFrame } from './ReplicaLinks.js'
import type { ControlToNode, ReplicaToReplica } from './Types.js'

/** What a control replica is built with. */
export interface ControlReplicaOptions {
  readonly settings: ControlSettings
  readonly disk: Disk
  readonly clock: Clock
  readonly random: Random
  readonly logger: Log
  /** The process must stop. */
  readonly onFault: (error: Error) => void
}

type FrameHandlers = {
  readonly [Type in ReplicaToReplica['type']]?:
  (from: ReplicaId, frame: Extract<ReplicaToReplica, { type: Type }>) => void
}

/** Range of the first number of questions to the leader. */
const ID_RANGE = 2 ** 40

const NOTHING_RECOVERED: RecoveredState = {
  hard: { term: 0, votedFor: undefined },
  snapshot: { index: 0, term: 0, members: [], data: new Uint8Array(0) },
  entries: []
}

/** One replica of the control group: its log, its state, its fellows, and the forming of the group. */
export class ControlReplica implements SessionGroup, Disposable {
  public readonly id: ReplicaId
  public readonly machine: ControlMachine
  public readonly links: ReplicaLinks
  /** Damage found at start; the replica then takes no part. */
  public readonly corruptions: readonly Corruption[]
  private readonly _host: GroupHost<ControlReply>
  private readonly _barrier: ReadBarrier
  private readonly _formation: GroupFormation
  private readonly _replacement: Replacement
  private readonly _timer: NodeJS.Timeout
  private readonly _syncs = new Emitter<number>()

  private readonly _frames: FrameHandlers = {
    agreement: (from, { to, message }) => { if (to === this.id) this._host.receive(from, message) },
    formation: (from, { notice }) => this._takeNotice(notice),
    readIndex: (from, { id }) => { this._barrier.answer(from, id).catch(() => {}) },
    readIndexReply: (_from, { id, index }) => this._barrier.take(id, index)
  }

  /**
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
    this.machine = new ControlMachine(recordLimits(settings), clock)
    this.links = new ReplicaLinks(this._hello(), clock, random)
    this.links.onFrame(frame => this._take(frame))
    this._host = this._makeHost(log, opened.type === 'recovered' ? opened.state : NOTHING_RECOVERED)
    this._barrier = new ReadBarrier({
      id: this.id,
      read: () => this._host.read(),
      leader: () => this.view.leader,
      applied: () => this.view.commitIndex,
      send: (to, frame) => this.links.send(to, frame)
    }, Math.floor(random.next() * ID_RANGE))
    this._host.onApplied(() => this._barrier.applied())
    this._host.onSync(ms => this._noteSync(ms))
    this._host.onRole(({ role, term, leader }) => logger.info({ role, term, leader }, 'role changed'))
    this._formation = new GroupFormation(this.id, settings.replicas.map(replica => replica.id))
    this._replacement = new Replacement(settings.replicas.map(replica => replica.id), this._host, logger)
    this._timer = setInterval(() => this._announce(), FORMATION_INTERVAL_MS)
    this._logStart(opened.type === 'recovered' ? opened.cutBytes : 0)
  }

  /** Bounded view of the replica. */
  public get view (): ReplicaView {
    return this._host.view
  }

  /** Fires with the milliseconds that each sync of the log took. */
  public readonly onSync = this._syncs.event

  /** True while the disk takes no more. */
  public get diskFull (): boolean {
    return this._host.diskFull
  }

  /** Connects to the other replicas and starts the clock. */
  public start (): void {
    for (const { id, address, admin } of this._options.settings.replicas) {
      this.links.connect({ name: id, address, admin })
    }
    this._host.start()
  }

  /** Where the leader listens, unless it is this replica or not known. */
  public leaderElsewhere (): ReplicaAddress | undefined {
    const { leader } = this.view
    return leader === undefined || leader === this.id ? undefined : this.links.addressOf(leader)
  }

  /** True while this replica leads. */
  public get leads (): boolean {
    return this.view.role === 'leader'
  }

  /** Resolves to true when a quorum has confirmed that all committed before this call is applied here. */
  public readBarrier (): Promise<boolean> {
    return this._barrier.pass()
  }

  /**
   * Takes an operator's change at the leader. A repeated operation gets the first's reply, also when the
   * checks have become stricter since.
   * @param change The change, unchecked.
   */
  public async change (change: ChangeRequest): Promise<ChangeReply> {
    const findings = checkChange(change)
    const repeated = findings.length > 0 && typeof change?.operation === 'string' && await this.readBarrier()
      ? this._repeatedReply(change)
      : undefined
    if (repeated !== undefined) return repeated
    if (findings.length > 0) return { type: 'invalid', findings }
    const outcome = await this._host.propose(this.machine.encodeChange(change))
    if (outcome.type === 'rejected' || outcome.reply.type !== 'change') {
      return { type: 'unavailable', retryAfterMs: NO_LEADER_RETRY_MS }
    }
    return outcome.reply.reply
  }

  /**
   * Takes a node's record command.
   * @param frame The command.
   */
  public async proposeRecord ({ id, command }: RecordFrame): Promise<ControlToNode> {
    const outcome = await this._host.propose(this.machine.encodeRecord(command))
    if (outcome.type === 'applied' && outcome.reply.type === 'record') {
      return { type: 'recordReply', id, reply: outcome.reply.reply }
    }
    const leader = this.leaderElsewhere()?.address
    return { type: 'notLeader', id, ...(leader === undefined ? {} : { leader }) }
  }

  /**
   * Changes the members by one replica.
   * @param members Ids of all members after the change.
   * @returns True when the change is committed.
   */
  public async changeMembers (members: readonly ReplicaId[]): Promise<boolean> {
    const outcome = await this._host.changeMembers(members)
    return outcome.type === 'applied'
  }

  /** Stops without finishing anything. */
  public dispose (): void {
    clearInterval(this._timer)
    this._barrier.dispose()
    this._host.dispose()
    this.links.dispose()
  }

  private _makeHost (log: DurableLog, recovered: RecoveredState): GroupHost<ControlReply> {
    const { settings, clock, random, onFault } = this._options
    const { tickMs, ...timing } = settings.timing
    return new GroupHost<ControlReply>({
      id: this.id,
      recovered,
      damaged: this.corruptions.length > 0,
      log,
      machine: this.machine,
      clock,
      random,
      timing,
      tickMs,
      snapshotAfterBytes: settings.storage.snapshotAfterBytes,
      send: (to, message) => this.links.send(to, { type: 'agreement', to, message }),
      onFault
    })
  }

  private _hello (): Extract<ReplicaToReplica, { type: 'replicaHello' }> {
    const { listen } = this._options.settings
    const incarnation = this._options.clock.wallMs()
    return { type: 'replicaHello', replica: this.id, incarnation, address: listen.peer, admin: listen.admin }
  }

  private _take ({ from, frame }: ReplicaFrame): void {
    const handler = this._frames[frame.type] as ((from: ReplicaId, frame: ReplicaToReplica) => void) | undefined
    handler?.(from, frame)
  }

  private _announce (): void {
    if (this.corruptions.length > 0) return
    const { members } = this.view
    if (members.length === 0) this._tryToForm(this._formation.agreedGroup(this._options.clock.nowMs()))
    if (!members.includes(this.id)) this.links.broadcast(this._notice())
    this._replacement.tick(this._options.clock.nowMs())
  }

  private _notice (): Extract<ReplicaToReplica, { type: 'formation' }> {
    const heard = this._formation.proposedGroup(this._options.clock.nowMs())
    return { type: 'formation', notice: { replica: this.id, members: this.view.members, heard } }
  }

  private _takeNotice (notice: FormationNotice): void {
    const nowMs = this._options.clock.nowMs()
    const { members } = this.view
    if (this.corruptions.length > 0) return
    if (members.length === 0) return this._tryToForm(this._formation.receive(notice, nowMs))
    if (notice.members.length > 0) return
    this.links.send(notice.replica, this._notice())
    this._replacement.hear(notice.replica, nowMs)
  }

  private _tryToForm (members: readonly ReplicaId[] | undefined): void {
    if (members === undefined) return
    this._options.logger.info({ members }, 'forming the group')
    this._host.form(members)
  }

  private _noteSync (ms: number): void {
    this._syncs.fire(ms)
    if (ms > SLOW_SYNC_MS) this._options.logger.warn({ ms: Math.round(ms) }, 'slow sync of the log')
  }

  private _repeatedReply (change: ChangeRequest): ChangeReply | undefined {
    try {
      return this.machine.register.earlierReply(change)
    } catch {
      return undefined // The content is of another shape than any change that was ever accepted.
    }
  }

  private _logStart (cutBytes: number): void {
    const { logger } = this._options
    logger.info({ replica: this.id, name: replicaName(this.id), members: this.view.members, cutBytes }, 'log opened')
    this.corruptions.forEach(item => logger.error({ ...item }, 'log is damaged, taking no part'))
  }
}

function recordLimits ({ records }: ControlSettings): ConstructorParameters<typeof ControlMachine>[0] {
  return { maxRecords: records.capacity, maxAnswerBytes: records.maxAnswerBytes, horizonMs: records.horizonMs }
}
