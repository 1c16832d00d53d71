import { vi } from 'vitest'
import type { ProposalOutcome } from '../../src/control/ReplicaHost.js'
import type { ReplicaToReplica } from '../../src/control/Types.js'
import { EMPTY_RECOVERED_STATE } from '../../src/parts/agreement/Constants.js'
import { GroupFormation, makeReplicaId, replicaName } from '../../src/parts/agreement/GroupFormation.js'
import { Replica } from '../../src/parts/agreement/Replica.js'
import type { AgreementAction, AgreementEvent } from '../../src/parts/agreement/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { GROUP_TICK_MS, GROUP_TIMING } from '../../src/routecontrol/Constants.js'
import { FormationHost, type FormingReplica } from '../../src/routecontrol/FormationHost.js'
import { type VoterGroup, VoterHost } from '../../src/routecontrol/VoterHost.js'
import type { Log } from '../../src/runtime/Types.js'

/** Longest delay of a message and of a sync, in milliseconds. */
const MAX_DELAY_MS = 8

/** Time from the end of a process to its start with an empty disk, in milliseconds. */
const RESTART_MS = 600

/** Interval of an operator's changes, in milliseconds. */
const CHANGE_INTERVAL_MS = 50

/** Names of the machines that form the first group. */
const SEEDS = ['a', 'b', 'c']

/** How a machine is lost. */
export type LossKind = 'hangs' | 'is killed' | 'loses its disk'

type Settle = (outcome: ProposalOutcome<unknown>) => void

/** Handlers of the actions that have an effect here; no snapshot is taken. */
type ActionHandlers = {
  readonly [Type in AgreementAction['type']]?:
  (control: VirtualControl, action: Extract<AgreementAction, { type: Type }>) => void
}

type ActionHandler = (control: VirtualControl, action: AgreementAction) => void

/** A line of the log of a process. */
export interface VirtualLine {
  readonly name: string
  readonly message: string
  readonly fields: object
}

/** A control process: its replica, the host of its votes and what it has applied. */
class VirtualControl {
  public readonly id: string
  public readonly replica: Replica
  public readonly voters: VoterHost
  public readonly formation: FormationHost
  /** Numbers of the changes in the log, as committed here. */
  public readonly applied: number[] = []
  public isRunning = true
  /** When its process ended and its address began to refuse connections; undefined while it runs or hangs. */
  public endedMs: number | undefined
  public readonly settles = new Map<number, Settle>()

  public constructor (public readonly name: string, disk: number, group: VirtualGroup, isFirstStart: boolean) {
    this.id = makeReplicaId(name, String(disk))
    this.replica = new Replica({
      id: this.id, random: group.random, recovered: EMPTY_RECOVERED_STATE, timing: GROUP_TIMING
    })
    const clock = { nowMs: () => group.nowMs, wallMs: () => group.nowMs }
    const add = (fields: object, message: string): void => { group.lines.push({ name, message, fields }) }
    const log = { debug: add, info: add, warn: add, error: add } as unknown as Log
    const port = this._makePort(group)
    const formation = SEEDS.includes(name) ? new GroupFormation(this.id, SEEDS, !isFirstStart) : undefined
    this.formation = new FormationHost(port, formation, clock, log)
    this.voters = new VoterHost(port, 1, clock, log)
    this.formation.start()
    this.voters.start()
  }

  public dispose (): void {
    this.formation.dispose()
    this.voters.dispose()
  }

  private _makePort (group: VirtualGroup): VoterGroup & FormingReplica {
    const { replica, id } = this
    const isExcluded = (): boolean => this.formation.isExcluded
    return {
      id,
      isDamaged: false,
      formGroup: members => group.step(this, { type: 'form', members }),
      connect: () => {},
      get view () { return replica.view },
      get isExcluded () { return isExcluded() },
      changeMembers: members => new Promise(resolve => {
        group.request(this, resolve, request => ({ type: 'changeMembers', id: request, members }))
      }),
      setLearners: learners => group.step(this, { type: 'setLearners', learners }),
      refusedMs: other => group.refusedMs(other),
      send: (to, frame) => group.send(this, replicaName(to), frame),
      broadcast: frame => group.broadcast(this, frame)
    }
  }
}

/**
 * A control group in virtual time: the replicas, their first group and the hosts of their votes as they run, over a
 * simulated network and disks, with an operator that makes a change every 50 ms. A machine that hangs stays hung, and
 * no process starts again with its disk. Needs fake timers.
 */
export class VirtualGroup {
  public readonly random: SeededRandom
  public nowMs = 0
  /** Broken promises, in plain text. */
  public readonly problems: string[] = []
  /** What the processes have logged. */
  public readonly lines: VirtualLine[] = []
  /** Numbers of the changes that were acknowledged. */
  public readonly acknowledged = new Set<number>()
  private readonly _controls: VirtualControl[] = []
  private readonly _leaders = new Map<number, string>()
  private readonly _due = new Map<number, Array<() => void>>()
  private _disks = 0
  private _changes = 0
  private _requests = 0
  private _hasSettled = false
  /** Names of the machines on one side of a split; empty while there is none. */
  private _half: ReadonlySet<string> = new Set()

  private readonly _handlers: ActionHandlers = {
    send: (control, { to, message }) => {
      this.send(control, replicaName(to), { type: 'agreement', to, message })
    },
    persist: (control, { sequence }) => {
      this._schedule(this._delayMs(), () => this.step(control, { type: 'persisted', sequence }))
    },
    commit: (control, { entry: { kind, data }, id }) => {
      if (kind === 'command') control.applied.push(data[0]! * 256 + data[1]!)
      if (id !== undefined) this._settle(control, id, { type: 'applied', reply: undefined })
    },
    rejected: (control, { id, state }) => this._settle(control, id, { type: 'rejected', state }),
    became: ({ id }, { role, term }) => {
      if (role !== 'leader') return
      const other = this._leaders.get(term)
      if (other !== undefined && other !== id) this.problems.push(`${other} and ${id} lead term ${term}`)
      this._leaders.set(term, id)
    }
  }

  public constructor (seed: number) {
    this.random = new SeededRandom(seed)
    SEEDS.forEach(name => this._schedule(this._delayMs(), () => this._add(name, true)))
  }

  /** Names of the voters that run, the leader first if there is one. */
  public get voters (): string[] {
    const leader = this._leader
    const running = this._controls.filter(({ isRunning }) => isRunning)
    const members = (leader ?? running[0])?.replica.view.members ?? []
    const voters = running.filter(({ id }) => members.includes(id)).map(({ name }) => name)
    return leader === undefined ? voters : [leader.name, ...voters.filter(name => name !== leader.name)]
  }

  /** Starts a machine with an empty disk, which asks to join. */
  public startSuccessor (name: string): void {
    this._add(name, false)
  }

  /** Loses a machine that runs. */
  public lose (name: string, kind: LossKind): void {
    const control = this._controls.find(candidate => candidate.name === name && candidate.isRunning)!
    control.isRunning = false
    control.dispose()
    if (kind !== 'hangs') control.endedMs = this.nowMs
    if (kind === 'loses its disk') this._schedule(RESTART_MS, () => this._add(name, false))
  }

  /** Splits the machines in two halves, or joins them again when none is named. */
  public split (half: readonly string[]): void {
    this._half = new Set(half)
  }

  /** Voters that a machine counts as silent. */
  public silentVoters (name: string): number {
    return this._controls.findLast(control => control.name === name)!.voters.silentVoters
  }

  /** Names of all machines that run. */
  public get running (): string[] {
    return this._controls.filter(({ isRunning }) => isRunning).map(({ name }) => name)
  }

  public async run (durationMs: number): Promise<void> {
    await this.runUntil(() => false, durationMs)
  }

  /** Runs until a condition holds; returns false when it does not within the limit. */
  public async runUntil (isDone: () => boolean, limitMs: number): Promise<boolean> {
    for (const endMs = this.nowMs + limitMs; this.nowMs < endMs && !isDone();) {
      this.nowMs++
      vi.advanceTimersByTime(1)
      const due = this._due.get(this.nowMs) ?? []
      this._due.delete(this.nowMs)
      due.forEach(action => action())
      if (this.nowMs % CHANGE_INTERVAL_MS === 0) this._change()
      if (this._hasSettled) await Promise.resolve()
      this._hasSettled = false
    }
    return isDone()
  }

  /** Runs until a change that is made from now on is acknowledged; returns false when none is within the limit. */
  public async decides (limitMs: number): Promise<boolean> {
    const first = this._changes
    return await this.runUntil(() => [...this.acknowledged].some(change => change > first), limitMs)
  }

  /** Returns what is wrong: promises broken on the way, and acknowledged changes that the leader lacks. */
  public check (): string[] {
    const leader = this._leader
    const applied = new Set(leader?.applied)
    const missing = leader === undefined ? [] : [...this.acknowledged].filter(change => !applied.has(change))
    return [...this.problems, ...missing.map(change => `change ${change} was acknowledged and is lost`)]
  }

  public dispose (): void {
    this._controls.forEach(control => control.dispose())
  }

  public refusedMs (id: string): number {
    const ended = this._controls.findLast(({ name }) => name === replicaName(id))?.endedMs
    return ended === undefined ? 0 : this.nowMs - ended
  }

  public request (control: VirtualControl, settle: Settle, makeEvent: (id: number) => AgreementEvent): void {
    const id = ++this._requests
    control.settles.set(id, settle)
    this.step(control, makeEvent(id))
  }

  public broadcast (from: VirtualControl, frame: ReplicaToReplica): void {
    for (const name of new Set(this._controls.map(control => control.name))) {
      if (name !== from.name) this.send(from, name, frame)
    }
  }

  public send (from: VirtualControl, to: string, frame: ReplicaToReplica): void {
    this._schedule(this._delayMs(), () => {
      const receiver = this._controls.findLast(({ name }) => name === to)
      const isCut = this._half.has(from.name) !== this._half.has(to)
      if (receiver?.isRunning === true && !isCut) this._receive(receiver, from, frame)
    })
  }

  public step (control: VirtualControl, event: AgreementEvent): void {
    if (!control.isRunning) return
    for (const action of control.replica.step(event, this.nowMs)) this._perform(control, action)
  }

  private get _leader (): VirtualControl | undefined {
    const leaders = this._controls.filter(({ isRunning, replica }) => isRunning && replica.view.role === 'leader')
    return leaders.sort((one, other) => one.replica.view.term - other.replica.view.term).at(-1)
  }

  private _add (name: string, isFirstStart: boolean): void {
    const control = new VirtualControl(name, ++this._disks, this, isFirstStart)
    this._controls.push(control)
    const tick = (): void => {
      this.step(control, { type: 'tick' })
      if (control.isRunning) this._schedule(GROUP_TICK_MS, tick)
    }
    this._schedule(this._delayMs(), tick)
  }

  /** Asks each replica that takes itself for the leader, as the operator reaches both sides of a split. */
  private _change (): void {
    for (const leader of this._controls.filter(({ isRunning, replica }) => isRunning && replica.view.role === 'leader')) {
      const change = ++this._changes
      const settle: Settle = ({ type }) => { if (type === 'applied') this.acknowledged.add(change) }
      this.request(leader, settle, id => ({ type: 'propose', id, data: Uint8Array.from([change >> 8, change & 255]) }))
    }
  }

  private _receive (control: VirtualControl, from: VirtualControl, frame: ReplicaToReplica): void {
    control.voters.recordFrame(from.id)
    if (frame.type === 'join') {
      control.voters.recordJoinRequest(frame.replica)
      if (control.replica.view.leader !== undefined) control.formation.notify(from.id)
    }
    if (frame.type === 'formation') control.formation.receive(from.id, frame.notice)
    if (frame.type !== 'agreement' || frame.to !== control.id) return
    this.step(control, { type: 'message', from: from.id, message: frame.message })
    const { role, members } = control.replica.view
    const isFormerMember = frame.message.type === 'preVote' && !members.includes(from.id)
    if (isFormerMember && role === 'leader') control.formation.notify(from.id)
  }

  private _perform (control: VirtualControl, action: AgreementAction): void {
    const handler = this._handlers[action.type] as ActionHandler | undefined
    handler?.(control, action)
  }

  private _settle (control: VirtualControl, id: number, outcome: ProposalOutcome<unknown>): void {
    control.settles.get(id)?.(outcome)
    control.settles.delete(id)
    this._hasSettled = true
  }

  private _delayMs (): number {
    return 1 + Math.floor(MAX_DELAY_MS * this.random.next())
  }

  private _schedule (delayMs: number, action: () => void): void {
    const atMs = this.nowMs + delayMs
    const due = this._due.get(atMs)
    if (due === undefined) this._due.set(atMs, [action])
    else due.push(action)
  }
}
