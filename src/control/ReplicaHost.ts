import { DEFAULT_LIMITS } from '../parts/agreement/Constants.js'
import { Replica, type ReplicaView } from '../parts/agreement/Replica.js'
import type {
  AgreementAction, AgreementEvent, AgreementMessage, RecoveredState, ReplicaTiming, Snapshot
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
  /** `not-run`: the proposal will never be applied; `unknown`: it may have been applied or may still be. */
  | { readonly type: 'rejected', readonly state: 'not-run' | 'unknown' }

/** Change of the role, the term or the known leader of the replica. */
export type RoleChange = Extract<AgreementAction, { type: 'became' }>

/** Dependencies and parameters of a replica host. */
export interface ReplicaHostOptions<Reply> {
  readonly id: ReplicaId
  /** State that was read from the log at start. */
  readonly recovered: RecoveredState
  /** True when the log is corrupt; the replica then takes no part in the group. */
  readonly isCorrupt: boolean
  readonly log: DurableLog
  readonly stateMachine: StateMachine<Reply>
  readonly clock: Clock
  readonly random: Random
  readonly timing: Partial<ReplicaTiming>
  /** Interval of the replica's ticks. */
  readonly tickMs: number
  /** Log size after which a snapshot is taken, or twice the size of the last snapshot if that is more. */
  readonly snapshotAfterBytes: number
  /** Sends a message to another replica; it may be dropped. */
  readonly send: (to: ReplicaId, message: AgreementMessage) => void
  /** Called when the process must stop because state may be lost or wrong. */
  readonly onFault: (error: Error) => void
}

/** A snapshot that is being encoded and written, one chunk in each iteration of the event loop. */
interface SnapshotJob {
  /** Log index up to which the snapshot covers the log. */
  readonly index: number
  readonly chunks: Iterator<Uint8Array>
  readonly writtenChunks: Uint8Array[]
}

/** Log size after which a snapshot is taken whatever the size of the last one: at twice this, proposals are refused. */
const MAX_LOG_BYTES_BEFORE_SNAPSHOT = DEFAULT_LIMITS.maxLogBytes / 2

/** Time with a full disk after which a leader steps down, in milliseconds: others can decide what it must refuse. */
const RESIGN_AFTER_FULL_MS = 200

/** Delay before the next snapshot after one that failed because the disk was full. */
const SNAPSHOT_RETRY_MS = 10_000

type ActionHandlers = {
  readonly [Type in AgreementAction['type']]: (action: Extract<AgreementAction, { type: Type }>) => void
}

/**
 * Runs one consensus replica with its log on disk and its state machine. Events are processed in batches, one batch in
 * each iteration of the event loop. What a batch stages is synced once, in the next iteration, so that messages to
 * followers are sent before the sync blocks the process (group commit). Snapshots are written one chunk in each
 * iteration while proposals continue.
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
  /** Since when the disk is full; undefined while it is not. */
  private _diskFullSinceMs: number | undefined
  private _appliedIndex = 0
  private _stopped = false

  private readonly _handlers: ActionHandlers = {
    send: action => this._options.send(action.to, action.message),
    persist: action => { this._unstagedRequests.push(action) },
    commit: action => this._onCommit(action),
    restore: action => this._onRestore(action.snapshot),
    rejected: action => this._onRejected(action.id, action.state),
    readable: action => this._settleRead(action.id, action.index),
    became: action => this._roleChanges.fire(action)
  }

  /** Fires with each change of the role, the term or the known leader. */
  public readonly onRoleChange = this._roleChanges.event

  /** Fires after a batch that applied entries, with the index of the last one. */
  public readonly onApplied = this._applied.event

  /** Fires after each sync of the log with its duration in milliseconds. */
  public readonly onSync = this._syncs.event

  /**
   * @param _options Identity, storage, state machine, clock and callbacks.
   */
  public constructor (private readonly _options: ReplicaHostOptions<Reply>) {
    const { id, random, recovered, isCorrupt, timing } = _options
    this._replica = new Replica({ id, random, recovered, damaged: isCorrupt, timing })
    this._lastSnapshotBytes = recovered.snapshot.data.length
    _options.stateMachine.restore(recovered.snapshot.data)
    this._appliedIndex = recovered.snapshot.index
  }

  /** State of the replica, bounded in size. */
  public get view (): ReplicaView {
    return this._replica.view
  }

  /** Index of the last log entry whose effect the state machine contains. */
  public get appliedIndex (): number {
    return this._appliedIndex
  }

  /** True while the disk is full; proposals are then rejected as not run. */
  public get diskFull (): boolean {
    return this._diskFull
  }

  /** Starts the ticks of the replica. */
  public start (): void {
    this._enqueue({ type: 'tick' })
    this._timer = setInterval(() => this._enqueue({ type: 'tick' }), this._options.tickMs)
  }

  /** Stops at once without completing pending work. That is safe, since nothing unsynced has been acknowledged. */
  public dispose (): void {
    this._stopped = true
    clearInterval(this._timer)
    clearImmediate(this._scheduled)
    for (const settle of this._pendingProposals.values()) settle({ type: 'rejected', state: 'unknown' })
    for (const settle of this._pendingReads.values()) settle(undefined)
    this._pendingProposals.clear()
    this._pendingReads.clear()
  }

  /** Handles a message of another replica. */
  public receive (from: ReplicaId, message: AgreementMessage): void {
    this._enqueue({ type: 'message', from, message })
  }

  /**
   * Proposes a command; succeeds only at the leader.
   * @param data Encoded command.
   */
  public propose (data: Uint8Array): Promise<ProposalOutcome<Reply>> {
    return this._submit(id => ({ type: 'propose', id, data }))
  }

  /**
   * Adds or removes one member; succeeds only at the leader.
   * @param members All members after the change.
   */
  public changeMembers (members: readonly ReplicaId[]): Promise<ProposalOutcome<Reply>> {
    return this._submit(id => ({ type: 'changeMembers', id, members }))
  }

  /**
   * Sends the log to replicas outside the group while this replica leads, in place of those that were named before.
   * @param learners Replicas that are to receive the log.
   */
  public setLearners (learners: readonly ReplicaId[]): void {
    this._enqueue({ type: 'setLearners', learners })
  }

  /**
   * At the leader, resolves to an index that covers everything committed before this call, once a quorum has confirmed
   * the leader. Resolves to undefined when that fails and at other replicas.
   */
  public confirmReadIndex (): Promise<number | undefined> {
    return new Promise(resolve => {
      const id = this._nextRequestId++
      this._pendingReads.set(id, resolve)
      this._enqueue({ type: 'read', id })
    })
  }

  /**
   * Forms the first group; has no effect when this replica already belongs to one.
   * @param members Members of the group.
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
      this._resignIfFull()
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

  /** Syncs what earlier iterations staged, and notifies the replica. */
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

  private _resignIfFull (): void {
    if (!this._diskFull) {
      this._diskFullSinceMs = undefined
      return
    }
    const nowMs = this._options.clock.nowMs()
    this._diskFullSinceMs ??= nowMs
    if (nowMs - this._diskFullSinceMs >= RESIGN_AFTER_FULL_MS) this._step({ type: 'resign' })
  }

  /** Runs an action on the disk; returns undefined when the disk is full. The work stays pending for the next tick. */
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

  /** Returns false when the disk is full. */
  private _succeedsOnDisk (action: () => void): boolean {
    return this._tryOnDisk(() => {
      action()
      return true
    }) === true
  }

  /** Begins a snapshot when the log is large enough, or writes the next chunk of the current one. */
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
      this._options.log.addSnapshotChunk(next.value)
      return
    }
    const data = Buffer.concat(job.writtenChunks)
    this._snapshotJob = undefined
    this._lastSnapshotBytes = data.length
    this._step({ type: 'snapshotTaken', index: job.index, data })
    this._stage()
  }

  /** The previous snapshot stays valid, and proposals are accepted as long as the log can grow. */
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
    this._appliedIndex = entry.index
    settle?.({ type: 'applied', reply: reply as Reply })
  }

  private _onRestore ({ index, data }: Snapshot): void {
    this._lastSnapshotBytes = data.length
    this._snapshotJob = undefined
    this._options.stateMachine.restore(data)
    this._appliedIndex = index
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
