import { DEFAULT_LIMITS } from '../parts/agreement/Constants.js'
import { Replica, type ReplicaView } from '../parts/agreement/Replica.js'
import type {
  AgreementAction, AgreementEvent, AgreementMessage, RecoveredState, ReplicaTiming
} from '../parts/agreement/Types.js'
import type { DurableLog } from '../parts/storage/DurableLog.js'
import { StorageFault } from '../parts/storage/StorageFault.js'
import type { PersistRequest } from '../parts/storage/Types.js'
import type { Random, ReplicaId } from '../parts/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import type { Clock, Disposable } from '../runtime/Types.js'
import type { StateMachine } from './StateMachine.js'

/** How a proposal ended. */
export type ProposalOutcome<Reply> =
  | { readonly type: 'applied', readonly reply: Reply }
  /** `not-run` proves that it will never be applied; `unknown` that it may be. */
  | { readonly type: 'rejected', readonly state: 'not-run' | 'unknown' }

/** Change of role or leader. */
export type RoleChange = Extract<AgreementAction, { type: 'became' }>

/** What a group host is built with. */
export interface GroupHostOptions<Reply> {
  readonly id: ReplicaId
  readonly recovered: RecoveredState
  readonly damaged: boolean
  readonly log: DurableLog
  readonly machine: StateMachine<Reply>
  readonly clock: Clock
  readonly random: Random
  readonly timing: Partial<ReplicaTiming>
  readonly tickMs: number
  /** Bytes of log after which a snapshot is taken, or twice the size of the last snapshot if that is more. */
  readonly snapshotAfterBytes: number
  /** Sends to another replica; may drop. */
  readonly send: (to: ReplicaId, message: AgreementMessage) => void
  /** The process must stop: state may be lost or wrong. */
  readonly onFault: (error: Error) => void
}

/** A snapshot that is being encoded and written, a part in each turn. */
interface SnapshotJob {
  readonly index: number
  readonly parts: Iterator<Uint8Array>
  readonly written: Uint8Array[]
}

/** Log after which a snapshot is taken however large the last one was: the replica refuses proposals at twice this. */
const MAX_SEGMENT_BYTES = DEFAULT_LIMITS.maxLogBytes / 2

/** Wait after a snapshot that the disk had no room for. */
const SNAPSHOT_RETRY_MS = 10_000

type ActionHandlers = {
  readonly [Type in AgreementAction['type']]: (action: Extract<AgreementAction, { type: Type }>) => void
}

/**
 * Runs one replica over its log and state machine. Events of one turn of the loop are taken together;
 * what they stage is synced once in the next turn, so that messages to followers leave before the disk
 * is waited for (group commit).
 */
export class GroupHost<Reply> implements Disposable {
  private readonly _replica: Replica
  private readonly _roles = new Emitter<RoleChange>()
  private readonly _applied = new Emitter<number>()
  private readonly _syncs = new Emitter<number>()
  private readonly _proposals = new Map<number, (outcome: ProposalOutcome<Reply>) => void>()
  private readonly _reads = new Map<number, (index: number | undefined) => void>()
  private _queue: AgreementEvent[] = []
  private _unstaged: PersistRequest[] = []
  private _scheduled: NodeJS.Immediate | undefined
  private _timer: NodeJS.Timeout | undefined
  private _nextId = 1
  private _snapshotBytes = 0
  private _job: SnapshotJob | undefined
  private _snapshotAfterMs = 0
  private _diskFull = false
  private _stopped = false

  private readonly _actions: ActionHandlers = {
    send: action => this._options.send(action.to, action.message),
    persist: action => { this._unstaged.push(action) },
    commit: action => this._apply(action),
    restore: action => this._restore(action.snapshot.data),
    rejected: action => this._reject(action.id, action.state),
    readable: action => this._settleRead(action.id, action.index),
    became: action => this._roles.fire(action)
  }

  /** Fires with each change of role or leader. */
  public readonly onRole = this._roles.event

  /** Fires with the index up to which entries were applied, once for each turn of the loop. */
  public readonly onApplied = this._applied.event

  /** Fires with the milliseconds that each sync of the log took. */
  public readonly onSync = this._syncs.event

  /**
   * @param _options Identity, storage, state machine, clock and callbacks.
   */
  public constructor (private readonly _options: GroupHostOptions<Reply>) {
    const { id, random, recovered, damaged, timing } = _options
    this._replica = new Replica({ id, random, recovered, damaged, timing })
    this._snapshotBytes = recovered.snapshot.data.length
    _options.machine.restore(recovered.snapshot.data)
  }

  /** Bounded view of the replica. */
  public get view (): ReplicaView {
    return this._replica.view
  }

  /** True while the disk takes no more; proposals are then refused. */
  public get diskFull (): boolean {
    return this._diskFull
  }

  /** Starts the clock of the replica. */
  public start (): void {
    this._timer = setInterval(() => this._enqueue({ type: 'tick' }), this._options.tickMs)
  }

  /** Stops without finishing anything; what is not synced was not promised. */
  public dispose (): void {
    this._stopped = true
    clearInterval(this._timer)
    clearImmediate(this._scheduled)
    for (const settle of this._proposals.values()) settle({ type: 'rejected', state: 'unknown' })
    for (const settle of this._reads.values()) settle(undefined)
    this._proposals.clear()
    this._reads.clear()
  }

  /**
   * Delivers a message of another replica.
   * @param from Sender.
   * @param message The message.
   */
  public receive (from: ReplicaId, message: AgreementMessage): void {
    this._enqueue({ type: 'message', from, message })
  }

  /**
   * Proposes a command.
   * @param data Encoded command.
   */
  public propose (data: Uint8Array): Promise<ProposalOutcome<Reply>> {
    return this._submit(id => ({ type: 'propose', id, data }))
  }

  /**
   * Changes the members by one replica.
   * @param members All members after the change.
   */
  public changeMembers (members: readonly ReplicaId[]): Promise<ProposalOutcome<Reply>> {
    return this._submit(id => ({ type: 'changeMembers', id, members }))
  }

  /** Resolves, at a leader, to an index that covers all that was committed before this call; a quorum confirms it. */
  public read (): Promise<number | undefined> {
    return new Promise(resolve => {
      const id = this._nextId++
      this._reads.set(id, resolve)
      this._enqueue({ type: 'read', id })
    })
  }

  /**
   * Takes part in a first group; changes nothing when this replica belongs to one.
   * @param members Its first members.
   */
  public form (members: readonly ReplicaId[]): void {
    this._enqueue({ type: 'form', members })
  }

  private _submit (event: (id: number) => AgreementEvent): Promise<ProposalOutcome<Reply>> {
    if (this._diskFull || this._stopped) return Promise.resolve({ type: 'rejected', state: 'not-run' })
    return new Promise(resolve => {
      const id = this._nextId++
      this._proposals.set(id, resolve)
      this._enqueue(event(id))
    })
  }

  private _enqueue (event: AgreementEvent): void {
    if (this._stopped) return
    this._queue.push(event)
    this._scheduled ??= setImmediate(() => this._turn())
  }

  private _turn (): void {
    this._scheduled = undefined
    try {
      const before = this._replica.view.commitIndex
      this._flush()
      this._queue.splice(0).forEach(event => this._step(event))
      this._stage()
      this._snapshotTurn()
      const { commitIndex } = this._replica.view
      if (commitIndex > before) this._applied.fire(commitIndex)
    } catch (error) {
      this._stopped = true
      this._options.onFault(error as Error)
      return
    }
    const busy = this._options.log.hasStaged || this._job !== undefined
    if (busy && !this._diskFull) this._scheduled ??= setImmediate(() => this._turn())
  }

  private _step (event: AgreementEvent): void {
    for (const action of this._replica.step(event, this._options.clock.nowMs())) {
      const handler = this._actions[action.type] as (action: AgreementAction) => void
      handler(action)
    }
  }

  /** Syncs what earlier turns staged, and tells the replica. */
  private _flush (): void {
    if (!this._options.log.hasStaged) return
    const { log, clock } = this._options
    const startMs = clock.nowMs()
    const synced = this._tryDisk(() => log.flush())
    if (synced === undefined) return
    this._syncs.fire(clock.nowMs() - startMs)
    this._step({ type: 'persisted', sequence: synced })
  }

  private _stage (): void {
    while (this._unstaged.length > 0) {
      if (!this._attempt(() => this._options.log.stage(this._unstaged[0]!))) return
      this._unstaged.shift()
    }
  }

  /** A full disk is waited for: the work stays queued and is tried again at each tick. */
  private _tryDisk<Result> (action: () => Result): Result | undefined {
    try {
      const result = action()
      this._diskFull = false
      return result
    } catch (error) {
      if (!(error instanceof StorageFault) || error.failure !== 'full') throw error
      this._diskFull = true
      return undefined
    }
  }

  private _attempt (action: () => void): boolean {
    return this._tryDisk(() => {
      action()
      return true
    }) === true
  }

  /** Begins a snapshot when the log has grown, and goes on with one by a part. */
  private _snapshotTurn (): void {
    if (this._job === undefined) this._beginSnapshot()
    else if (!this._attempt(() => this._snapshotPart(this._job!))) this._giveUpSnapshot()
  }

  private _beginSnapshot (): void {
    const { log, machine, clock, snapshotAfterBytes } = this._options
    const due = Math.max(snapshotAfterBytes, 2 * this._snapshotBytes)
    const grown = log.segmentBytes >= Math.min(due, MAX_SEGMENT_BYTES)
    if (!grown || this._diskFull || clock.nowMs() < this._snapshotAfterMs) return
    const index = this._replica.view.commitIndex
    if (!this._attempt(() => log.beginSnapshot(index))) return this._giveUpSnapshot()
    this._job = { index, parts: machine.snapshot(), written: [] }
  }

  private _snapshotPart (job: SnapshotJob): void {
    const next = job.parts.next()
    if (next.done !== true) {
      job.written.push(next.value)
      this._options.log.addSnapshotPart(next.value)
      return
    }
    const data = Buffer.concat(job.written)
    this._job = undefined
    this._snapshotBytes = data.length
    this._step({ type: 'snapshotTaken', index: job.index, data })
    this._stage()
  }

  /** The earlier snapshot stays in force, and proposals go on while the log has room. */
  private _giveUpSnapshot (): void {
    this._job = undefined
    this._options.log.abortSnapshot()
    this._snapshotAfterMs = this._options.clock.nowMs() + SNAPSHOT_RETRY_MS
    this._diskFull = this._unstaged.length > 0
  }

  private _apply (action: Extract<AgreementAction, { type: 'commit' }>): void {
    const { entry, id } = action
    const settle = id === undefined ? undefined : this._proposals.get(id)
    if (id !== undefined) this._proposals.delete(id)
    const reply = entry.kind === 'command' ? this._options.machine.apply(entry) : undefined
    settle?.({ type: 'applied', reply: reply as Reply })
  }

  private _restore (data: Uint8Array): void {
    this._snapshotBytes = data.length
    this._job = undefined
    this._options.machine.restore(data)
  }

  private _reject (id: number, state: 'not-run' | 'unknown'): void {
    const settle = this._proposals.get(id)
    this._proposals.delete(id)
    if (settle === undefined) this._settleRead(id, undefined)
    else settle({ type: 'rejected', state })
  }

  private _settleRead (id: number, index: number | undefined): void {
    const settle = this._reads.get(id)
    this._reads.delete(id)
    settle?.(index)
  }
}
