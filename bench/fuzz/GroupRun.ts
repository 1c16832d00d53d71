import { Replica } from '../../src/parts/agreement/Replica.js'
import type {
  AgreementAction, AgreementEvent, AgreementMessage, RecoveredState, ReplicaOptions
} from '../../src/parts/agreement/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { DurableLog } from '../../src/parts/storage/DurableLog.js'
import { MemoryDisk } from '../../src/parts/storage/MemoryDisk.js'
import type { ReplicaId } from '../../src/parts/Types.js'
import { GroupInvariants, InvariantBroken } from './GroupInvariants.js'
import { type GroupSchedule, LEADER, type ScheduleStep } from './GroupSchedule.js'

/** How a run builds and hosts its replicas; tests break one of these to see the checks bite. */
export interface GroupParts {
  makeReplica (options: ReplicaOptions): Replica
  /** What a restarted replica takes from its log. */
  recover (state: RecoveredState): RecoveredState
  /** Id of a replica whose disk was lost. */
  identityAfterWipe (slot: number, life: number, before: ReplicaId): ReplicaId
  /** First members that a replica with an empty disk assumes. */
  membersAfterWipe (founders: readonly ReplicaId[]): readonly ReplicaId[]
  /** True when the host reports a sync before it has happened. */
  readonly reportsSyncEarly: boolean
  /** Changes an action before the host acts on it. */
  onAction (action: AgreementAction): AgreementAction
}

/** The parts as they are. */
export const SOUND_PARTS: GroupParts = {
  makeReplica: options => new Replica(options),
  recover: state => state,
  identityAfterWipe: (slot, life) => `r${slot}~${life}`,
  membersAfterWipe: () => [],
  reportsSyncEarly: false,
  onAction: action => action
}

/** One replica with its disk and clock. */
interface Station {
  readonly slot: number
  id: ReplicaId
  life: number
  disk: MemoryDisk
  log: DurableLog
  replica: Replica
  nowMs: number
  up: boolean
  frozen: boolean
  state: string
  applied: number
  /** Last number handed out for syncing. */
  sequence: number
}

/** A message under way. */
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
  (station: Station, action: Extract<AgreementAction, { type: Type }>) => void
}

const TICK_MS = 25
/** Long enough for a leader of a fresh group. */
const START_MS = 700

/** Time between two looks at a healed group. */
const SETTLE_MS = 500

/** Elections in which votes split again and again are less likely than one in a million in this time. */
const MAX_SETTLE_MS = 20_000
const SPARE_REPLICAS = 1
const ENCODER = new TextEncoder()

/** Small limits, so that short schedules reach them. */
const LIMITS = { retainedEntries: 2, snapshotChunkBytes: 40, maxAppendEntries: 3, catchUpSlackEntries: 1 }

/**
 * Runs one schedule over pure replicas with disks in memory, clocks that need not agree, and a bag of
 * messages under way. Throws `InvariantBroken` at the first broken promise.
 */
export class GroupRun {
  public readonly invariants = new GroupInvariants()
  private readonly _stations: Station[]
  private readonly _founders: readonly ReplicaId[]
  private readonly _random: SeededRandom
  private readonly _cuts = new Set<string>()
  private readonly _proposals = new Map<number, string>()
  private _bag: Envelope[] = []
  private _nextId = 1
  private _wipes = 0

  private readonly _steps: StepHandlers = {
    run: step => this._run(step.ms, step.lossPercent, step.load, new SeededRandom(step.seed)),
    lag: step => this._lag(this._station(step.replica), step.ms),
    deliver: step => this._deliverSome(step.pick, step.count),
    sync: step => this._sync(this._station(step.replica)),
    propose: step => { for (let i = 0; i < step.count; i++) this._propose(this._station(step.replica)) },
    read: step => this._read(this._station(step.replica)),
    snapshot: step => this._snapshot(this._station(step.replica)),
    cut: step => { this._cuts.add(`${this._station(step.from).slot}>${this._station(step.to).slot}`) },
    isolate: step => this._isolate(this._station(step.replica)),
    heal: () => this._cuts.clear(),
    freeze: step => { this._station(step.replica).frozen = true },
    thaw: () => this._thaw(),
    crash: step => this._crash(this._station(step.replica), step.power, new SeededRandom(step.seed)),
    restart: () => this._restartAll(),
    bounce: step => this._bounce(this._station(step.replica), step.power, new SeededRandom(step.seed)),
    wipe: step => this._wipe(this._station(step.replica)),
    addMember: step => this._changeMembers(this._station(step.replica), true),
    removeMember: step => this._changeMembers(this._station(step.replica), false)
  }

  private readonly _actions: ActionHandlers = {
    send: (station, { to, message }) => { this._bag.push({ from: station.id, to, message }) },
    persist: (station, action) => {
      station.sequence = action.sequence
      station.log.stage(action)
    },
    commit: (station, action) => this._commit(station, action),
    restore: (station, { snapshot }) => this._restore(station, snapshot.index, () =>
      this.invariants.restored(station.id, snapshot, station.applied)),
    rejected: (_station, action) => this.invariants.told(action, this._proposals.get(action.id)),
    readable: (station, { id, index }) => this.invariants.readEnds(station.id, id, index, station.applied),
    became: (station, { role, term }) => { if (role === 'leader') this.invariants.becameLeader(station.id, term) }
  }

  /**
   * @param _schedule What happens.
   * @param _parts How replicas are built and hosted.
   */
  public constructor (
    private readonly _schedule: GroupSchedule,
    private readonly _parts: GroupParts = SOUND_PARTS
  ) {
    const slots = Array.from({ length: _schedule.size + SPARE_REPLICAS }, (_, slot) => slot)
    this._founders = slots.slice(0, _schedule.size).map(slot => `r${slot}~0`)
    this._random = new SeededRandom(_schedule.seed + 1)
    this._stations = slots.map(slot => this._found(slot))
  }

  /** Runs all steps, then heals everything and checks that the group goes on. */
  public run (): void {
    this._run(START_MS, 0, 0, new SeededRandom(this._schedule.seed))
    for (const step of this._schedule.steps) {
      const handler = this._steps[step.op] as (step: ScheduleStep) => void
      handler(step)
    }
    this._finish()
  }

  /** True when some replica leads and has committed in its term. */
  public get hasLeader (): boolean {
    return this._stations.some(station => station.up && station.replica.view.role === 'leader')
  }

  private _found (slot: number): Station {
    const id: ReplicaId = `r${slot}~0`
    const disk = new MemoryDisk()
    const station = {
      slot, id, life: 0, disk, log: new DurableLog(disk), nowMs: 0, up: true, frozen: false, state: '', applied: 0, sequence: 0
    } as unknown as Station
    station.log.create(id)
    station.replica = this._build(station, emptyState([]))
    if (this._founders.includes(id)) this._step(station, { type: 'form', members: this._founders })
    this._sync(station)
    return station
  }

  private _build (station: Station, recovered: RecoveredState): Replica {
    const random = new SeededRandom(Math.floor(this._random.next() * 1e9))
    return this._parts.makeReplica({ id: station.id, random, recovered, limits: LIMITS })
  }

  private _station (number: number): Station {
    return (number >= LEADER ? this._leader(number) : undefined) ?? this._stations[number % this._stations.length]!
  }

  private _leader (number: number): Station | undefined {
    const leaders = this._stations.filter(station => station.up && station.replica.view.role === 'leader')
    leaders.sort((a, b) => a.replica.view.term - b.replica.view.term)
    return number === LEADER ? leaders.at(-1) : leaders[0]
  }

  private _step (station: Station, event: AgreementEvent): void {
    for (const action of station.replica.step(event, station.nowMs)) {
      const changed = this._parts.onAction(action)
      const handler = this._actions[changed.type] as (station: Station, action: AgreementAction) => void
      handler(station, changed)
    }
    if (this._parts.reportsSyncEarly && event.type !== 'persisted' && station.log.hasStaged) {
      this._step(station, { type: 'persisted', sequence: station.sequence })
    }
  }

  private _sync (station: Station): void {
    if (!station.up || station.frozen) return
    while (station.log.hasStaged) this._step(station, { type: 'persisted', sequence: station.log.flush() })
  }

  private _run (ms: number, lossPercent: number, load: number, random: SeededRandom): void {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this._stations.forEach(station => this._lag(station, TICK_MS))
      for (let i = 0; i < load; i++) this._operate(random)
      this._exchange(lossPercent, load, random)
      // A disk that is slow now and then, under the same conditions as a lossy network.
      const slow = random.next() * 100 < lossPercent ? Math.floor(random.next() * this._stations.length) : -1
      this._stations.forEach(station => { if (station.slot !== slow) this._sync(station) })
    }
  }

  private _operate (random: SeededRandom): void {
    const station = this._station(Math.floor(random.next() * this._stations.length))
    if (random.next() < 0.5) this._propose(station)
    else this._read(station)
  }

  /** Delivers what is under way now: in order without loss, else in any order with loss, delay and repeats. */
  private _exchange (lossPercent: number, load: number, random: SeededRandom): void {
    const under = this._bag
    this._bag = []
    if (lossPercent === 0) return under.forEach(envelope => this._deliver(envelope))
    const kept: Envelope[] = []
    while (under.length > 0) {
      const pick = Math.floor(random.next() * under.length)
      const envelope = under[pick]!
      under[pick] = under.at(-1)!
      under.pop()
      const chance = random.next() * 100
      if (chance < lossPercent) continue
      if (chance > 80) kept.push(envelope)
      if (chance <= 90) this._deliver(envelope)
      if (load > 0 && chance > 70) this._operate(random)
    }
    this._bag.push(...kept)
  }

  private _deliverSome (pick: number, count: number): void {
    for (let i = 0; i < count && this._bag.length > 0; i++) {
      const [envelope] = this._bag.splice((pick + i * 7) % this._bag.length, 1)
      this._deliver(envelope!)
      const target = this._stations.find(station => station.id === envelope!.to)
      if (target !== undefined && (pick + i) % 2 === 0) this._sync(target)
    }
  }

  private _deliver ({ from, to, message }: Envelope): void {
    const target = this._stations.find(station => station.id === to)
    if (target === undefined || !target.up || target.frozen) return
    if (this._cuts.size > 0 && this._isCut(from, target)) return
    this._step(target, { type: 'message', from, message })
  }

  private _isCut (from: ReplicaId, target: Station): boolean {
    const source = this._stations.find(station => station.id === from)
    return source !== undefined && this._cuts.has(`${source.slot}>${target.slot}`)
  }

  private _lag (station: Station, ms: number): void {
    station.nowMs += ms
    if (station.up && !station.frozen) this._step(station, { type: 'tick' })
  }

  private _propose (station: Station): void {
    if (!station.up || station.frozen) return
    const id = this._nextId++
    this._proposals.set(id, `p${id}`)
    this._step(station, { type: 'propose', id, data: ENCODER.encode(`p${id}`) })
  }

  private _read (station: Station): void {
    if (!station.up || station.frozen) return
    const id = this._nextId++
    this.invariants.readBegins(id)
    this._step(station, { type: 'read', id })
  }

  private _snapshot (station: Station): void {
    if (!station.up || station.frozen || station.applied === 0) return
    this._step(station, { type: 'snapshotTaken', index: station.applied, data: ENCODER.encode(station.state) })
  }

  private _isolate (station: Station): void {
    for (const other of this._stations) {
      if (other === station) continue
      this._cuts.add(`${station.slot}>${other.slot}`)
      this._cuts.add(`${other.slot}>${station.slot}`)
    }
  }

  private _thaw (): void {
    this._stations.forEach(station => { station.frozen = false })
  }

  private _crash (station: Station, power: boolean, random: SeededRandom): void {
    if (!station.up) return
    station.up = false
    station.frozen = false
    if (power) station.disk.crash(random)
  }

  private _restartAll (): void {
    this._stations.filter(station => !station.up).forEach(station => this._restart(station))
  }

  private _bounce (station: Station, power: boolean, random: SeededRandom): void {
    this._crash(station, power, random)
    if (!station.up) this._restart(station)
  }

  private _restart (station: Station): void {
    station.log = new DurableLog(station.disk)
    const opened = station.log.open()
    if (opened.type === 'corrupt') {
      const [damage] = opened.corruptions
      throw new InvariantBroken('a crash damages nothing', `${station.id}: ${damage!.file}: ${damage!.problem}`)
    }
    if (opened.type === 'empty') station.log.create(station.id)
    const recovered = opened.type === 'empty' ? emptyState([]) : this._parts.recover(opened.state)
    station.up = true
    this._restore(station, recovered.snapshot.index, () => new TextDecoder().decode(recovered.snapshot.data))
    station.replica = this._build(station, recovered)
  }

  /** A disk is lost only while a quorum of every membership that may be in force keeps its disks. */
  private _wipe (station: Station): void {
    if (!this._mayLose(station.id)) return
    this._wipes++
    station.life++
    const id = this._parts.identityAfterWipe(station.slot, station.life, station.id)
    Object.assign(station, { id, disk: new MemoryDisk(), up: true, frozen: false, state: '', applied: 0 })
    station.log = new DurableLog(station.disk)
    station.log.create(id)
    const members = this._parts.membersAfterWipe(this._founders)
    station.replica = this._build(station, emptyState(members))
  }

  private _mayLose (id: ReplicaId): boolean {
    const kept = new Set(this._stations.map(station => station.id).filter(other => other !== id))
    const memberships = this._stations.map(station => station.replica.view.members)
    return memberships.every(members =>
      members.length === 0 || members.filter(member => kept.has(member)).length > members.length / 2)
  }

  private _changeMembers (target: Station, add: boolean): void {
    for (const station of this._stations) {
      const { role, members } = station.replica.view
      if (!station.up || station.frozen || role !== 'leader') continue
      const stale = members.find(member => !this._stations.some(other => other.id === member))
      const leaving = stale ?? target.id
      const after = add ? [...members, target.id] : members.filter(member => member !== leaving)
      const id = this._nextId++
      this._step(station, { type: 'changeMembers', id, members: after })
    }
  }

  private _commit (station: Station, action: Extract<AgreementAction, { type: 'commit' }>): void {
    if (action.entry.index !== station.applied + 1) {
      throw new InvariantBroken('entries are applied in order', `${station.id}: ${action.entry.index} after ${station.applied}`)
    }
    station.state = this.invariants.committed(station.id, station.state, action.entry)
    station.applied = action.entry.index
    if (action.id !== undefined) this.invariants.told(action, undefined)
  }

  private _restore (station: Station, index: number, state: () => string): void {
    station.state = state()
    station.applied = index
  }

  /** After everything is healed a group whose members kept their disks elects a leader and commits. */
  private _finish (): void {
    this._cuts.clear()
    this._thaw()
    this._restartAll()
    const before = this.invariants.acknowledged
    for (let waitedMs = 0; waitedMs < MAX_SETTLE_MS; waitedMs += SETTLE_MS) {
      this._run(SETTLE_MS, 0, 0, new SeededRandom(1))
      this._stations.forEach(station => this._propose(station))
      this._run(2 * TICK_MS, 0, 0, new SeededRandom(2))
      if (this.invariants.acknowledged > before) return
    }
    if (this._wipes > 0) return
    const views = this._stations.map(station => JSON.stringify(station.replica.view)).join('\n')
    throw new InvariantBroken('a healed group goes on', `nothing commits after ${before}\n${views}`)
  }
}

function emptyState (members: readonly ReplicaId[]): RecoveredState {
  return {
    hard: { term: 0, votedFor: undefined },
    snapshot: { index: 0, term: 0, members, data: new Uint8Array(0) },
    entries: []
  }
}
