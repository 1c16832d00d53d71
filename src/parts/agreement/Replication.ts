import type { ReplicaId } from '../Types.js'
import type { FollowerProgress } from './FollowerProgress.js'
import { highestByQuorum } from './Members.js'
import type { ReplicaState } from './ReplicaState.js'
import type { SnapshotTransfer } from './SnapshotTransfer.js'
import type { AppendReply, LogEntry } from './Types.js'

/** Callbacks of the leader's replication to the other modules of the replica. */
export interface ReplicationListener {
  /** Called after a follower's reply and after the commit index has advanced. */
  readonly onProgress: (from: ReplicaId) => void
}

/**
 * The leader's side of Raft replication: sends entries, counts synced copies, commits entries of the leader's own term
 * by quorum, and steps down when no quorum has answered within the lease.
 */
export class Replication {
  /** Number of the current read round, which every append and snapshot chunk carries. */
  public round = 0
  private readonly _progress = new Map<ReplicaId, FollowerProgress>()
  private _heartbeatDueMs = 0
  private _durableIndex = 0
  private _leadingSinceMs = 0
  private readonly _unsynced: Array<{ readonly sequence: number, readonly index: number }> = []

  /**
   * @param _state State shared by the modules of the replica.
   * @param _transfer Sends snapshots to followers that lag behind the log.
   * @param _listener Notified of replies and commits.
   */
  public constructor (
    private readonly _state: ReplicaState,
    private readonly _transfer: SnapshotTransfer,
    private readonly _listener: ReplicationListener
  ) {
    _state.onSteppedDown(() => this._reset())
  }

  /** Takes leadership and appends an empty entry: no request is answered before an entry of the own term commits. */
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

  /** Sends heartbeats when due, and steps down when no quorum has answered within the lease. */
  public tick (): void {
    if (!this.checkLease()) return
    if (this._state.nowMs >= this._heartbeatDueMs) this.sendHeartbeats()
  }

  /**
   * Checks the lease at the time of use and steps down if it has expired.
   * @returns True if this replica leads and its lease is valid.
   */
  public checkLease (): boolean {
    const state = this._state
    if (state.role !== 'leader') return false
    const { members } = state.log
    const contactTimesMs = members.map(member => member === state.id ? state.nowMs : this.lastContactMs(member))
    const contactMs = Math.max(highestByQuorum(contactTimesMs), this._leadingSinceMs)
    if (state.nowMs - contactMs <= state.timing.leaseMs) return true
    state.follow(state.term, undefined)
    return false
  }

  /**
   * Appends an entry and sends it to the followers.
   * @param kind Kind of the entry.
   * @param data Data of the entry.
   * @param id The host's id for the proposal, if the entry belongs to one.
   * @returns Index of the entry.
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

  /** True if a proposal of this size in bytes is within the limits. */
  public hasCapacityFor (bytes: number): boolean {
    const { log, limits, openProposals, openProposalBytes } = this._state
    return openProposals < limits.maxUncommittedEntries &&
      openProposalBytes + bytes <= limits.maxUncommittedBytes &&
      log.bytes + bytes <= limits.maxLogBytes
  }

  /**
   * Counts this replica's own entries as synced, which may commit them.
   * @param sequence All `persist` actions up to this sequence number are synced.
   */
  public onPersisted (sequence: number): void {
    const firstUnsynced = this._unsynced.findIndex(item => item.sequence > sequence)
    const synced = this._unsynced.splice(0, firstUnsynced < 0 ? this._unsynced.length : firstUnsynced)
    if (synced.length === 0) return
    this._durableIndex = synced.at(-1)!.index
    this._commitByQuorum()
  }

  /** Sends a heartbeat to every follower, with the entries that it still lacks. */
  public sendHeartbeats (): void {
    this._heartbeatDueMs = this._state.nowMs + this._state.timing.heartbeatMs
    for (const [to, progress] of this._progress) {
      progress.inFlight = 0
      this._sendAppend(to, progress)
    }
  }

  /**
   * Starts replicating to a replica.
   * @param replica A member, or a replica that is to become one.
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
   * Stops replicating to a replica.
   * @param replica A replica that is no longer a member.
   */
  public removeFollower (replica: ReplicaId): void {
    this._progress.delete(replica)
  }

  /** Highest index up to which a replica's synced log matches this one; 0 if unknown. */
  public matchIndex (replica: ReplicaId): number {
    return this._progress.get(replica)?.match ?? 0
  }

  /**
   * The leader's monotonic time in milliseconds when it sent the latest message that a replica has answered; -Infinity
   * when it has answered none.
   */
  public lastContactMs (replica: ReplicaId): number {
    return this._progress.get(replica)?.lastContactMs ?? -Infinity
  }

  /** Highest read round that a quorum has answered. */
  public get confirmedRound (): number {
    const { id, log } = this._state
    return highestByQuorum(log.members.map(member =>
      member === id ? this.round : this._progress.get(member)?.round ?? -1))
  }

  /**
   * Handles a follower's reply to an append or to the last chunk of a snapshot.
   * @param from The follower.
   * @param message Its reply.
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
   * Returns the replication state of a follower; undefined if it is none or this replica does not lead.
   * @param follower Replica id.
   */
  public followerProgress (follower: ReplicaId): FollowerProgress | undefined {
    return this._state.role === 'leader' ? this._progress.get(follower) : undefined
  }

  /**
   * Records that a follower has answered a message of this term.
   * @param progress Replication state of the follower.
   * @param message Its reply.
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

  private _reset (): void {
    this._progress.clear()
    this._unsynced.length = 0
    this.round = 0
  }
}
