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
export interface ReplicaHostOptions<Reply> {
  readonly id: ReplicaId
  readonly recovered: RecoveredState
  readonly damaged: boolean
  readonly log: DurableLog
  readonly stateMachine: StateMachine<Reply>
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
  readonly chunks: Iterator<Uint8Array>
  readonly writtenChunks: Uint8Array[]
}

/** Log after which a snapshot is taken however large the last one was: the replica refuses proposals at twice this. */
const MAX_LOG_BYTES_BEFORE_SNAPSHOT = DEFAULT_LIMITS.maxLogBytes / 2

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
export class ReplicaHost<Reply> implements Disposable {
  private readonly _replica: Replica
  private readonly _roleChanges = new Emitter<RoleChange>()
  private readonly _applied = new Emitter<number>()
  private readonly _syncs = new Emitter<number>()
  private readonly _pendingProposals = new Map<number, (outcome: ProposalOutcome<Reply>) => void>()
  private readonly _pendingReads = new Map<number, (index: number | undefined) => void>()
  private _pendingEvents: AgreementEvent[] = []
  private _unstagedRequests: PersistRequest[] = []
  private _scheduled: NodeJS.Immediate | undefined
  private _timer: NodeJS.Timeout | undefined
  private _nextRequestId = 1
  private _lastSnapshotBytes = 0
  private _snapshotJob: SnapshotJob | undefined
  private _nextSnapshotMs = 0
  private _diskFull = false
  private _stopped = false

  private readonly _handlers: ActionHandlers = {
    send: action => this._options.send(action.to, action.message),
    persist: action => { this._unstagedRequests.push(action) },
    commit: action => this._onCommit(action),
    restore: action => this._onRestore(action.snapshot.data),
    rejected: action => this._onRejected(action.id, action.state),
    readable: action => this._settleRead(action.id, action.index),
    became: action => this._roleChanges.fire(action)
  }

  /** Fires with each change of role or leader. */
  public readonly onRoleChange = this._roleChanges.event

  /** Fires with the index up to which entries were applied, once for each turn of the loop. */
  public readonly onApplied = this._applied.event

  /** Fires with the milliseconds that each sync of the log took. */
  public readonly onSync = this._syncs.event

  /**
   * @param _options Identity, storage, state machine, clock and callbacks.
   */
  public constructor (private readonly _options: ReplicaHostOptions<Reply>) {
    const { id, random, recovered, damaged, timing } = _options
    this._replica = new Replica({ id, random, recovered, damaged, timing })
    this._lastSnapshotBytes = recovered.snapshot.data.length
    _options.stateMachine.restore(recovered.snapshot.data)
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
    for (const settle of this._pendingProposals.values()) settle({ type: 'rejected', state: 'unknown' })
    for (const settle of this._pendingReads.values()) settle(undefined)
    this._pendingProposals.clear()
    this._pendingReads.clear()
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
  public confirmReadIndex (): Promise<number | undefined> {
    return new Promise(resolve => {
      const id = this._nextRequestId++
      this._pendingReads.set(id, resolve)
      this._enqueue({ type: 'read', id })
    })
  }

  /**
   * Takes part in a first group; changes nothing when this replica belongs to one.
   * @param members Its first members.
   */
  public formGroup (members: readonly ReplicaId[]): void {
    this._enqueue({ type: 'form', members })
  }

  private _submit (makeEvent: (id: number) => AgreementEvent): Promise<ProposalOutcome<Reply>> {
    if (this._diskFull || this._stopped) return Promise.resolve({ type: 'rejected', state: 'not-run' })
    return new Promise(resolve => {
      const id = this._nextRequestId++
      this._pendingProposals.set(id, resolve)
      this._enqueue(makeEvent(id))
    })
  }

  private _enqueue (event: AgreementEvent): void {
    if (this._stopped) return
    this._pendingEvents.push(event)
    this._scheduled ??= setImmediate(() => this._processEvents())
  }

  private _processEvents (): void {
    this._scheduled = undefined
    try {
      const indexBefore = this._replica.view.commitIndex
      this._flush()
      this._pendingEvents.splice(0).forEach(event => this._step(event))
      this._stage()
      this._advanceSnapshot()
      const { commitIndex } = this._replica.view
      if (commitIndex > indexBefore) this._applied.fire(commitIndex)
    } catch (error) {
      this._stopped = true
      this._options.onFault(error as Error)
      return
    }
    const hasMoreWork = this._options.log.hasStaged || this._snapshotJob !== undefined
    if (hasMoreWork && !this._diskFull) this._scheduled ??= setImmediate(() => this._processEvents())
  }

  private _step (event: AgreementEvent): void {
    for (const action of this._replica.step(event, this._options.clock.nowMs())) {
      const handler = this._handlers[action.type] as (action: AgreementAction) => void
      handler(action)
    }
  }

  /** Syncs what earlier turns staged, and tells the replica. */
  private _flush (): void {
    if (!this._options.log.hasStaged) return
    const { log, clock } = this._options
    const startMs = clock.nowMs()
    const syncedSequence = this._tryOnDisk(() => log.flush())
    if (syncedSequence === undefined) return
    this._syncs.fire(clock.nowMs() - startMs)
    this._step({ type: 'persisted', sequence: syncedSequence })
  }

  private _stage (): void {
    while (this._unstagedRequests.length > 0) {
      if (!this._succeedsOnDisk(() => this._options.log.stage(this._unstagedRequests[0]!))) return
      this._unstagedRequests.shift()
    }
  }

  /** A full disk is waited for: the work stays queued and is tried again at each tick. */
  private _tryOnDisk<Result> (action: () => Result): Result | undefined {
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

  private _succeedsOnDisk (action: () => void): boolean {
    return this._tryOnDisk(() => {
      action()
      return true
    }) === true
  }

  /** Begins a snapshot when the log has grown, and goes on with one by a part. */
  private _advanceSnapshot (): void {
    if (this._snapshotJob === undefined) this._beginSnapshot()
    else if (!this._succeedsOnDisk(() => this._writeSnapshotChunk(this._snapshotJob!))) this._abortSnapshot()
  }

  private _beginSnapshot (): void {
    const { log, stateMachine, clock, snapshotAfterBytes } = this._options
    const thresholdBytes = Math.max(snapshotAfterBytes, 2 * this._lastSnapshotBytes)
    const isDue = log.segmentBytes >= Math.min(thresholdBytes, MAX_LOG_BYTES_BEFORE_SNAPSHOT)
    if (!isDue || this._diskFull || clock.nowMs() < this._nextSnapshotMs) return
    const index = this._replica.view.commitIndex
    if (!this._succeedsOnDisk(() => log.beginSnapshot(index))) return this._abortSnapshot()
    this._snapshotJob = { index, chunks: stateMachine.snapshot(), writtenChunks: [] }
  }

  private _writeSnapshotChunk (job: SnapshotJob): void {
    const next = job.chunks.next()
    if (next.done !== true) {
      job.writtenChunks.push(next.value)
      this._options.log.addSnapshotPart(next.value)
      return
    }
    const data = Buffer.concat(job.writtenChunks)
    this._snapshotJob = undefined
    this._lastSnapshotBytes = data.length
    this._step({ type: 'snapshotTaken', index: job.index, data })
    this._stage()
  }

  /** The earlier snapshot stays in force, and proposals go on while the log has room. */
  private _abortSnapshot (): void {
    this._snapshotJob = undefined
    this._options.log.abortSnapshot()
    this._nextSnapshotMs = this._options.clock.nowMs() + SNAPSHOT_RETRY_MS
    this._diskFull = this._unstagedRequests.length > 0
  }

  private _onCommit (action: Extract<AgreementAction, { type: 'commit' }>): void {
    const { entry, id } = action
    const settle = id === undefined ? undefined : this._pendingProposals.get(id)
    if (id !== undefined) this._pendingProposals.delete(id)
    const reply = entry.kind === 'command' ? this._options.stateMachine.apply(entry) : undefined
    settle?.({ type: 'applied', reply: reply as Reply })
  }

  private _onRestore (data: Uint8Array): void {
    this._lastSnapshotBytes = data.length
    this._snapshotJob = undefined
    this._options.stateMachine.restore(data)
  }

  private _onRejected (id: number, state: 'not-run' | 'unknown'): void {
    const settle = this._pendingProposals.get(id)
    this._pendingProposals.delete(id)
    if (settle === undefined) this._settleRead(id, undefined)
    else settle({ type: 'rejected', state })
  }

  private _settleRead (id: number, index: number | undefined): void {
    const settle = this._pendingReads.get(id)
    this._pendingReads.delete(id)
    settle?.(index)
  }
}
