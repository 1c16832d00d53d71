import { Replica } from '../../src/parts/agreement/Replica.js'
import type {
  AgreementAction, AgreementEvent, AgreementMessage, RecoveredState, ReplicaOptions
} from '../../src/parts/agreement/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { DurableLog } from '../../src/parts/storage/DurableLog.js'
import { MemoryDisk } from '../../src/parts/storage/MemoryDisk.js'
import type { ReplicaId } from '../../src/parts/Types.js'
import { GroupInvariants, InvariantViolation } from './GroupInvariants.js'
import { type GroupSchedule, NEWEST_LEADER, type ScheduleStep } from './GroupSchedule.js'

/** How a run creates and hosts its replicas; tests replace a hook to show that the invariants detect a fault. */
export interface GroupHooks {
  makeReplica (options: ReplicaOptions): Replica
  /** Returns the state that a restarted replica recovers from its log. */
  recover (state: RecoveredState): RecoveredState
  /** Returns the id of a replica whose disk was lost. */
  identityAfterWipe (slot: number, generation: number, before: ReplicaId): ReplicaId
  /** Returns the initial members that a replica with an empty disk assumes. */
  membersAfterWipe (initialMembers: readonly ReplicaId[]): readonly ReplicaId[]
  /** Number of initial members, fewer than half, that learn of their group only after its first commits. */
  readonly lateMembers: number
  /** True when the host reports data as synced before it is. */
  readonly reportsSyncEarly: boolean
  /** Returns the action that the host executes in place of the given one. */
  onAction (action: AgreementAction): AgreementAction
}

/** Hooks without a fault. */
export const DEFAULT_GROUP_HOOKS: GroupHooks = {
  makeReplica: options => new Replica(options),
  recover: state => state,
  identityAfterWipe: (slot, generation) => `r${slot}~${generation}`,
  membersAfterWipe: () => [],
  lateMembers: 0,
  reportsSyncEarly: false,
  onAction: action => action
}

/** Hosts one replica with its disk and clock. */
interface ReplicaHost {
  readonly slot: number
  id: ReplicaId
  /** Number of times that the disk was lost. */
  generation: number
  disk: MemoryDisk
  log: DurableLog
  replica: Replica
  nowMs: number
  up: boolean
  frozen: boolean
  state: string
  /** Index of the last applied entry. */
  applied: number
  /** Sequence number of the last request to persist. */
  sequence: number
}

/** A message in flight. */
interface Envelope {
  readonly from: ReplicaId
  readonly to: ReplicaId
  readonly message: AgreementMessage
}

type StepHandlers = {
  readonly [Op in ScheduleStep['op']]: (step: Extract<ScheduleStep, { op: Op }>) => void
}

type ActionHandlers = {
  readonly [Type in AgreementAction['type']]:
  (host: ReplicaHost, action: Extract<AgreementAction, { type: Type }>) => void
}

const TICK_MS = 25
/** Long enough for a new group to elect a leader. */
const FIRST_ELECTION_MS = 700

/** Interval between two checks of whether a healed group commits. */
const SETTLE_POLL_MS = 500

/** The probability that votes split in every election during this time is below one in a million. */
const MAX_SETTLE_MS = 20_000
/** Replicas that are not members at first. */
const SPARE_REPLICAS = 1
const ENCODER = new TextEncoder()

/** Small enough for short schedules to reach them. */
const LIMITS = { retainedEntries: 2, snapshotChunkBytes: 40, maxAppendEntries: 3, catchUpSlackEntries: 1 }

/**
 * Runs one schedule on replicas with in-memory disks, independent clocks and messages that may be delivered in any
 * order. Throws an `InvariantViolation` when the first invariant is violated.
 */
export class GroupRun {
  public readonly invariants = new GroupInvariants()
  private readonly _hosts: ReplicaHost[]
  private readonly _initialMembers: readonly ReplicaId[]
  private readonly _random: SeededRandom
  private readonly _cutLinks = new Set<string>()
  private readonly _proposals = new Map<number, string>()
  private _inFlight: Envelope[] = []
  private _nextId = 1
  private _wipes = 0

  private readonly _stepHandlers: StepHandlers = {
    run: step => this._run(step.ms, step.lossPercent, step.load, new SeededRandom(step.seed)),
    lag: step => this._advanceClock(this._selectHost(step.replica), step.ms),
    deliver: step => this._deliverSome(step.pick, step.count),
    sync: step => this._sync(this._selectHost(step.replica)),
    propose: step => { for (let i = 0; i < step.count; i++) this._propose(this._selectHost(step.replica)) },
    read: step => this._read(this._selectHost(step.replica)),
    snapshot: step => this._snapshot(this._selectHost(step.replica)),
    cut: step => { this._cutLinks.add(`${this._selectHost(step.from).slot}>${this._selectHost(step.to).slot}`) },
    isolate: step => this._isolate(this._selectHost(step.replica)),
    heal: () => this._cutLinks.clear(),
    freeze: step => { this._selectHost(step.replica).frozen = true },
    thaw: () => this._thaw(),
    crash: step => this._crash(this._selectHost(step.replica), step.power, new SeededRandom(step.seed)),
    restart: () => this._restartAll(),
    bounce: step => this._crashAndRestart(this._selectHost(step.replica), step.power, new SeededRandom(step.seed)),
    wipe: step => this._wipe(this._selectHost(step.replica)),
    addMember: step => this._changeMembers(this._selectHost(step.replica), true),
    removeMember: step => this._changeMembers(this._selectHost(step.replica), false)
  }

  private readonly _actionHandlers: ActionHandlers = {
    send: (host, { to, message }) => { this._inFlight.push({ from: host.id, to, message }) },
    persist: (host, action) => {
      host.sequence = action.sequence
      host.log.stage(action)
    },
    commit: (host, action) => this._commit(host, action),
    restore: (host, { snapshot }) => this._restore(host, snapshot.index, () =>
      this.invariants.recordRestore(host.id, snapshot, host.applied)),
    rejected: (_host, action) => this.invariants.recordProposalResult(action, this._proposals.get(action.id)),
    readable: (host, { id, index }) => this.invariants.checkRead(host.id, id, index, host.applied),
    became: (host, { role, term }) => { if (role === 'leader') this.invariants.recordLeader(host.id, term) }
  }

  /**
   * @param _schedule Steps to run.
   * @param _hooks How replicas are created and hosted.
   */
  public constructor (
    private readonly _schedule: GroupSchedule,
    private readonly _hooks: GroupHooks = DEFAULT_GROUP_HOOKS
  ) {
    const slots = Array.from({ length: _schedule.size + SPARE_REPLICAS }, (_, slot) => slot)
    this._initialMembers = slots.slice(0, _schedule.size).map(slot => `r${slot}~0`)
    this._random = new SeededRandom(_schedule.seed + 1)
    this._hosts = slots.map(slot => this._createHost(slot))
  }

  /** Runs all steps, then ends all faults and checks that the group commits again. */
  public run (): void {
    this._run(FIRST_ELECTION_MS, 0, 0, new SeededRandom(this._schedule.seed))
    this._formLateMembers()
    for (const step of this._schedule.steps) {
      const handler = this._stepHandlers[step.op] as (step: ScheduleStep) => void
      handler(step)
    }
    this._checkRecovery()
  }

  /** True when a running replica has the role of leader. */
  public get hasLeader (): boolean {
    return this._hosts.some(host => host.up && host.replica.view.role === 'leader')
  }

  private _createHost (slot: number): ReplicaHost {
    const id: ReplicaId = `r${slot}~0`
    const disk = new MemoryDisk()
    const host = {
      slot, id, generation: 0, disk, log: new DurableLog(disk), nowMs: 0, up: true, frozen: false, state: '', applied: 0, sequence: 0
    } as unknown as ReplicaHost
    host.log.create(id)
    host.replica = this._createReplica(host, emptyState([]))
    if (slot < this._schedule.size - this._hooks.lateMembers) this._form(host)
    this._sync(host)
    return host
  }

  private _form (host: ReplicaHost): void {
    this._step(host, { type: 'form', members: this._initialMembers })
  }

  private _formLateMembers (): void {
    if (this._hooks.lateMembers === 0) return
    this._propose(this._selectHost(NEWEST_LEADER))
    this._run(4 * TICK_MS, 0, 0, new SeededRandom(this._schedule.seed))
    const lateHosts = this._hosts.slice(this._schedule.size - this._hooks.lateMembers, this._schedule.size)
    lateHosts.forEach(host => this._form(host))
  }

  private _createReplica (host: ReplicaHost, recovered: RecoveredState): Replica {
    const random = new SeededRandom(Math.floor(this._random.next() * 1e9))
    return this._hooks.makeReplica({ id: host.id, random, recovered, limits: LIMITS })
  }

  private _selectHost (number: number): ReplicaHost {
    return (number >= NEWEST_LEADER ? this._leader(number) : undefined) ?? this._hosts[number % this._hosts.length]!
  }

  private _leader (number: number): ReplicaHost | undefined {
    const leaders = this._hosts.filter(host => host.up && host.replica.view.role === 'leader')
    leaders.sort((a, b) => a.replica.view.term - b.replica.view.term)
    return number === NEWEST_LEADER ? leaders.at(-1) : leaders[0]
  }

  private _step (host: ReplicaHost, event: AgreementEvent): void {
    for (const action of host.replica.step(event, host.nowMs)) {
      const changed = this._hooks.onAction(action)
      const handler = this._actionHandlers[changed.type] as (host: ReplicaHost, action: AgreementAction) => void
      handler(host, changed)
    }
    if (this._hooks.reportsSyncEarly && event.type !== 'persisted' && host.log.hasStaged) {
      this._step(host, { type: 'persisted', sequence: host.sequence })
    }
  }

  private _sync (host: ReplicaHost): void {
    if (!host.up || host.frozen) return
    while (host.log.hasStaged) this._step(host, { type: 'persisted', sequence: host.log.flush() })
  }

  private _run (ms: number, lossPercent: number, load: number, random: SeededRandom): void {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this._hosts.forEach(host => this._advanceClock(host, TICK_MS))
      for (let i = 0; i < load; i++) this._proposeOrRead(random)
      this._deliverInFlight(lossPercent, load, random)
      // In runs with message loss one disk is sometimes too slow to sync in this tick.
      const slowSlot = random.next() * 100 < lossPercent ? Math.floor(random.next() * this._hosts.length) : -1
      this._hosts.forEach(host => { if (host.slot !== slowSlot) this._sync(host) })
    }
  }

  private _proposeOrRead (random: SeededRandom): void {
    const host = this._selectHost(Math.floor(random.next() * this._hosts.length))
    if (random.next() < 0.5) this._propose(host)
    else this._read(host)
  }

  /** Delivers the messages in flight: in order without loss, else in random order with loss, delay and duplicates. */
  private _deliverInFlight (lossPercent: number, load: number, random: SeededRandom): void {
    const inFlight = this._inFlight
    this._inFlight = []
    if (lossPercent === 0) return inFlight.forEach(envelope => this._deliver(envelope))
    const delayed: Envelope[] = []
    while (inFlight.length > 0) {
      const pick = Math.floor(random.next() * inFlight.length)
      const envelope = inFlight[pick]!
      inFlight[pick] = inFlight.at(-1)!
      inFlight.pop()
      const percent = random.next() * 100
      if (percent < lossPercent) continue
      if (percent > 80) delayed.push(envelope)
      if (percent <= 90) this._deliver(envelope)
      if (load > 0 && percent > 70) this._proposeOrRead(random)
    }
    this._inFlight.push(...delayed)
  }

  private _deliverSome (pick: number, count: number): void {
    for (let i = 0; i < count && this._inFlight.length > 0; i++) {
      const [envelope] = this._inFlight.splice((pick + i * 7) % this._inFlight.length, 1)
      this._deliver(envelope!)
      const target = this._hosts.find(host => host.id === envelope!.to)
      if (target !== undefined && (pick + i) % 2 === 0) this._sync(target)
    }
  }

  private _deliver ({ from, to, message }: Envelope): void {
    const target = this._hosts.find(host => host.id === to)
    if (target === undefined || !target.up || target.frozen) return
    if (this._cutLinks.size > 0 && this._isCut(from, target)) return
    this._step(target, { type: 'message', from, message })
  }

  private _isCut (from: ReplicaId, target: ReplicaHost): boolean {
    const source = this._hosts.find(host => host.id === from)
    return source !== undefined && this._cutLinks.has(`${source.slot}>${target.slot}`)
  }

  private _advanceClock (host: ReplicaHost, ms: number): void {
    host.nowMs += ms
    if (host.up && !host.frozen) this._step(host, { type: 'tick' })
  }

  private _propose (host: ReplicaHost): void {
    if (!host.up || host.frozen) return
    const id = this._nextId++
    this._proposals.set(id, `p${id}`)
    this._step(host, { type: 'propose', id, data: ENCODER.encode(`p${id}`) })
  }

  private _read (host: ReplicaHost): void {
    if (!host.up || host.frozen) return
    const id = this._nextId++
    this.invariants.recordReadStart(id)
    this._step(host, { type: 'read', id })
  }

  private _snapshot (host: ReplicaHost): void {
    if (!host.up || host.frozen || host.applied === 0) return
    this._step(host, { type: 'snapshotTaken', index: host.applied, data: ENCODER.encode(host.state) })
  }

  private _isolate (host: ReplicaHost): void {
    for (const other of this._hosts) {
      if (other === host) continue
      this._cutLinks.add(`${host.slot}>${other.slot}`)
      this._cutLinks.add(`${other.slot}>${host.slot}`)
    }
  }

  private _thaw (): void {
    this._hosts.forEach(host => { host.frozen = false })
  }

  private _crash (host: ReplicaHost, power: boolean, random: SeededRandom): void {
    if (!host.up) return
    host.up = false
    host.frozen = false
    if (power) host.disk.crash(random)
  }

  private _restartAll (): void {
    this._hosts.filter(host => !host.up).forEach(host => this._restart(host))
  }

  private _crashAndRestart (host: ReplicaHost, power: boolean, random: SeededRandom): void {
    this._crash(host, power, random)
    if (!host.up) this._restart(host)
  }

  private _restart (host: ReplicaHost): void {
    host.log = new DurableLog(host.disk)
    const opened = host.log.open()
    if (opened.type === 'corrupt') {
      const [damage] = opened.corruptions
      throw new InvariantViolation('a crash corrupts no stored data', `${host.id}: ${damage!.file}: ${damage!.problem}`)
    }
    if (opened.type === 'empty') host.log.create(host.id)
    const recovered = opened.type === 'empty' ? emptyState([]) : this._hooks.recover(opened.state)
    host.up = true
    this._restore(host, recovered.snapshot.index, () => new TextDecoder().decode(recovered.snapshot.data))
    host.replica = this._createReplica(host, recovered)
  }

  /** Loses a disk only if a majority of every membership that may be in force keep theirs. */
  private _wipe (host: ReplicaHost): void {
    if (!this._canLoseDisk(host.id)) return
    this._wipes++
    host.generation++
    const id = this._hooks.identityAfterWipe(host.slot, host.generation, host.id)
    Object.assign(host, { id, disk: new MemoryDisk(), up: true, frozen: false, state: '', applied: 0 })
    host.log = new DurableLog(host.disk)
    host.log.create(id)
    const members = this._hooks.membersAfterWipe(this._initialMembers)
    host.replica = this._createReplica(host, emptyState(members))
  }

  private _canLoseDisk (id: ReplicaId): boolean {
    const kept = new Set(this._hosts.map(host => host.id).filter(other => other !== id))
    const memberships = this._hosts.map(host => host.replica.view.members)
    return memberships.every(members =>
      members.length === 0 || members.filter(member => kept.has(member)).length > members.length / 2)
  }

  private _changeMembers (target: ReplicaHost, add: boolean): void {
    for (const host of this._hosts) {
      const { role, members } = host.replica.view
      if (!host.up || host.frozen || role !== 'leader') continue
      const unhosted = members.find(member => !this._hosts.some(other => other.id === member))
      const removed = unhosted ?? target.id
      const after = add ? [...members, target.id] : members.filter(member => member !== removed)
      const id = this._nextId++
      this._step(host, { type: 'changeMembers', id, members: after })
    }
  }

  private _commit (host: ReplicaHost, action: Extract<AgreementAction, { type: 'commit' }>): void {
    if (action.entry.index !== host.applied + 1) {
      throw new InvariantViolation('entries are applied in order', `${host.id}: ${action.entry.index} after ${host.applied}`)
    }
    host.state = this.invariants.recordCommit(host.id, host.state, action.entry)
    host.applied = action.entry.index
    if (action.id !== undefined) this.invariants.recordProposalResult(action, undefined)
  }

  private _restore (host: ReplicaHost, index: number, state: () => string): void {
    host.state = state()
    host.applied = index
  }

  /** Checks that a group whose members kept their disks elects a leader and commits once all faults have ended. */
  private _checkRecovery (): void {
    this._cutLinks.clear()
    this._thaw()
    this._restartAll()
    const before = this.invariants.acknowledged
    for (let waitedMs = 0; waitedMs < MAX_SETTLE_MS; waitedMs += SETTLE_POLL_MS) {
      this._run(SETTLE_POLL_MS, 0, 0, new SeededRandom(1))
      this._hosts.forEach(host => this._propose(host))
      this._run(2 * TICK_MS, 0, 0, new SeededRandom(2))
      if (this.invariants.acknowledged > before) return
    }
    if (this._wipes > 0) return
    const views = this._hosts.map(host => JSON.stringify(host.replica.view)).join('\n')
    throw new InvariantViolation('a healed group commits again', `no commit after index ${before}\n${views}`)
  }
}

function emptyState (members: readonly ReplicaId[]): RecoveredState {
  return {
    hard: { term: 0, votedFor: undefined },
    snapshot: { index: 0, term: 0, members, data: new Uint8Array(0) },
    entries: []
  }
}
