import type { ReplicaId } from '../Types.js'
import { highestByQuorum } from './Members.js'
import type { FollowerProgress } from './FollowerProgress.js'
import type { ReplicaState } from './ReplicaState.js'
import type { SnapshotTransfer } from './SnapshotTransfer.js'
import type { AppendReply, LogEntry } from './Types.js'

/** What the other modules of a leader do when followers answer. */
export interface ReplicationListener {
  /** The commit index or a follower's answers moved on. */
  readonly onProgress: (from: ReplicaId) => void
}

/**
 * The leader's side of log matching: sends entries, counts synced copies, commits entries of the own
 * term by quorum, and steps down when no quorum has answered within the lease.
 */
export class Replication {
  /** Read round that heartbeats carry. */
  public round = 0
  private readonly _progress = new Map<ReplicaId, FollowerProgress>()
  private _heartbeatDueMs = 0
  private _durableIndex = 0
  private _leadingSinceMs = 0
  private readonly _unsynced: Array<{ readonly sequence: number, readonly index: number }> = []

  /**
   * @param _state Shared state.
   * @param _transfer Sends snapshots to followers that lag behind the log.
   * @param _listener Told of answers.
   */
  public constructor (
    private readonly _state: ReplicaState,
    private readonly _transfer: SnapshotTransfer,
    private readonly _listener: ReplicationListener
  ) {
    _state.onSteppedDown(() => this._reset())
  }

  /** Takes up leadership: commits an entry of the own term before anything else is answered. */
  public becomeLeader (): void {
    const state = this._state
    this._reset()
    this._durableIndex = state.log.lastIndex
    this._leadingSinceMs = state.nowMs
    state.setRole('leader', state.id)
    state.peers.forEach(peer => this.addFollower(peer))
    this.append('empty', new Uint8Array(0))
    this.sendHeartbeats()
  }

  /** Sends heartbeats when due, and steps down without a quorum's answers. */
  public tick (): void {
    if (!this.checkLease()) return
    if (this._state.nowMs >= this._heartbeatDueMs) this.sendHeartbeats()
  }

  /**
   * Checks the lease at the moment of use and steps down when it has passed.
   * @returns True while this replica leads within its lease.
   */
  public checkLease (): boolean {
    const state = this._state
    if (state.role !== 'leader') return false
    const { members } = state.log
    const contactTimesMs = members.map(member => member === state.id ? state.nowMs : this._lastContactMs(member))
    const contactMs = Math.max(highestByQuorum(contactTimesMs), this._leadingSinceMs)
    if (state.nowMs - contactMs <= state.timing.leaseMs) return true
    state.follow(state.term, undefined)
    return false
  }

  /**
   * Appends an entry and sends it on.
   * @param kind What it is.
   * @param data Its data.
   * @param id The host's id of the proposal.
   * @returns Its index.
   */
  public append (kind: LogEntry['kind'], data: Uint8Array, id?: number): number {
    const state = this._state
    const entry: LogEntry = { index: state.log.lastIndex + 1, term: state.term, kind, data }
    state.log.append(entry)
    if (id !== undefined) state.trackProposal(entry.index, id, data.length)
    state.persist({ entries: [entry] })
    this._unsynced.push({ sequence: state.sequence, index: entry.index })
    for (const [to, progress] of this._progress) this._sendEntries(to, progress)
    return entry.index
  }

  /** True when a proposal of this size fits the limits. */
  public hasCapacityFor (bytes: number): boolean {
    const { log, limits, openProposals, openProposalBytes } = this._state
    return openProposals < limits.maxUncommittedEntries &&
      openProposalBytes + bytes <= limits.maxUncommittedBytes &&
      log.bytes + bytes <= limits.maxLogBytes
  }

  /**
   * Counts own entries as synced.
   * @param sequence All up to this number is synced.
   */
  public onPersisted (sequence: number): void {
    const firstUnsynced = this._unsynced.findIndex(item => item.sequence > sequence)
    const synced = this._unsynced.splice(0, firstUnsynced < 0 ? this._unsynced.length : firstUnsynced)
    if (synced.length === 0) return
    this._durableIndex = synced.at(-1)!.index
    this._commitByQuorum()
  }

  /** Sends every follower a heartbeat, with entries where any are missing. */
  public sendHeartbeats (): void {
    this._heartbeatDueMs = this._state.nowMs + this._state.timing.heartbeatMs
    for (const [to, progress] of this._progress) {
      progress.inFlight = 0
      this._sendAppend(to, progress)
    }
  }

  /**
   * Starts sending to a replica.
   * @param replica A member, or one that is to become a member.
   */
  public addFollower (replica: ReplicaId): void {
    if (replica === this._state.id || this._progress.has(replica)) return
    this._progress.set(replica, {
      match: 0,
      next: this._state.log.lastIndex + 1,
      inFlight: 0,
      round: 0,
      lastContactMs: -Infinity,
      outgoingSnapshot: undefined
    })
  }

  /**
   * Stops sending to a replica.
   * @param replica One that is not a member any more.
   */
  public removeFollower (replica: ReplicaId): void {
    this._progress.delete(replica)
  }

  /** Highest index that a replica has synced. */
  public matchIndex (replica: ReplicaId): number {
    return this._progress.get(replica)?.match ?? 0
  }

  /** Highest read round that a quorum has answered. */
  public get confirmedRound (): number {
    const { id, log } = this._state
    return highestByQuorum(log.members.map(member =>
      member === id ? this.round : this._progress.get(member)?.round ?? -1))
  }

  /**
   * Takes a follower's answer.
   * @param from The follower.
   * @param message Its answer.
   */
  public onAppendReply (from: ReplicaId, message: AppendReply): void {
    const progress = this._progress.get(from)
    if (this._state.role !== 'leader' || progress === undefined) return
    this.recordContact(progress, message)
    if (message.success) this._recordMatch(progress, message.match)
    else this._backtrack(progress, message)
    this._commitByQuorum()
    this._listener.onProgress(from)
    if (this._state.role !== 'leader') return
    if (message.success) this._sendEntries(from, progress)
    else this._sendAppend(from, progress)
  }

  /**
   * Returns what is known of a follower while leading.
   * @param from The follower.
   */
  public followerProgress (follower: ReplicaId): FollowerProgress | undefined {
    return this._state.role === 'leader' ? this._progress.get(follower) : undefined
  }

  /**
   * Notes that a follower answered a message of this term.
   * @param progress What is known of it.
   * @param message Its answer.
   */
  public recordContact (
    progress: FollowerProgress,
    message: { readonly round: number, readonly sentAtMs: number }
  ): void {
    progress.round = Math.max(progress.round, message.round)
    progress.lastContactMs = Math.max(progress.lastContactMs, message.sentAtMs)
  }

  private _recordMatch (progress: FollowerProgress, match: number): void {
    progress.inFlight = Math.max(0, progress.inFlight - 1)
    progress.match = Math.max(progress.match, match)
    progress.next = Math.max(progress.next, progress.match + 1)
    const { outgoingSnapshot: outgoing } = progress
    if (outgoing !== undefined && progress.match >= outgoing.snapshot.index) progress.outgoingSnapshot = undefined
  }

  private _backtrack (progress: FollowerProgress, message: AppendReply): void {
    const { log } = this._state
    progress.inFlight = 0
    const sharedIndex = message.conflictTerm < 0
      ? message.conflictIndex - 1
      : Math.max(message.conflictIndex - 1, log.lastIndexUpToTerm(message.conflictIndex, message.conflictTerm))
    progress.next = Math.max(progress.match + 1, Math.min(sharedIndex + 1, log.lastIndex + 1))
  }

  private _sendEntries (to: ReplicaId, progress: FollowerProgress): void {
    if (progress.next > this._state.log.lastIndex) return
    if (progress.inFlight >= this._state.limits.maxAppendsInFlight) return
    this._sendAppend(to, progress)
  }

  private _sendAppend (to: ReplicaId, progress: FollowerProgress): void {
    const { log, limits, term, commitIndex, nowMs } = this._state
    const prevIndex = progress.next - 1
    const prevTerm = log.termAt(prevIndex)
    if (prevTerm === undefined || progress.outgoingSnapshot !== undefined) {
      this._transfer.send(to, progress, this.round)
      return
    }
    const entries = log.slice(progress.next, limits.maxAppendEntries, limits.maxAppendBytes)
    if (entries.length > 0) progress.inFlight++
    progress.next += entries.length
    this._state.sendNow(to, {
      type: 'append', term, prevIndex, prevTerm, entries, commit: commitIndex, round: this.round, sentAtMs: nowMs
    })
  }

  private _commitByQuorum (): void {
    const state = this._state
    if (state.role !== 'leader') return
    const quorumIndex = highestByQuorum(state.log.members.map(member => this._syncedIndex(member)))
    if (quorumIndex <= state.commitIndex || state.log.termAt(quorumIndex) !== state.term) return
    state.commitTo(quorumIndex)
    this._listener.onProgress(state.id)
  }

  private _syncedIndex (member: ReplicaId): number {
    return member === this._state.id ? this._durableIndex : this.matchIndex(member)
  }

  private _lastContactMs (member: ReplicaId): number {
    return this._progress.get(member)?.lastContactMs ?? -Infinity
  }

  private _reset (): void {
    this._progress.clear()
    this._unsynced.length = 0
    this.round = 0
  }
}
