import type { Part, ReplicaId } from '../Types.js'
import { Election } from './Election.js'
import { FollowerLog } from './FollowerLog.js'
import { MembershipChange } from './MembershipChange.js'
import { ReadQueue } from './ReadQueue.js'
import { ReplicaState } from './ReplicaState.js'
import { Replication } from './Replication.js'
import { SnapshotTransfer } from './SnapshotTransfer.js'
import type { AgreementAction, AgreementEvent, AgreementMessage, ReplicaOptions, Role } from './Types.js'

/** Handlers of messages by type. */
type MessageHandlers = {
  readonly [Type in AgreementMessage['type']]:
  (from: ReplicaId, message: Extract<AgreementMessage, { type: Type }>) => void
}

/** Handlers of events by type. */
type EventHandlers = {
  readonly [Type in AgreementEvent['type']]: (event: Extract<AgreementEvent, { type: Type }>) => void
}

/** State of a replica for dumps and metrics, of bounded size. */
export interface ReplicaView {
  readonly id: ReplicaId
  readonly role: Role
  readonly term: number
  readonly leader: ReplicaId | undefined
  readonly members: readonly ReplicaId[]
  /** Index of the log entry that set the members. */
  readonly membersIndex: number
  readonly commitIndex: number
  readonly lastIndex: number
  readonly snapshotIndex: number
  readonly logBytes: number
  readonly openProposals: number
}

/** Messages that only the leader of a term sends. */
const LEADER_MESSAGES: ReadonlySet<AgreementMessage['type']> = new Set(['append', 'snapshot'])

/** Messages whose term is only proposed: the sender has not entered it. */
const TENTATIVE_MESSAGES: ReadonlySet<AgreementMessage['type']> = new Set(['preVote', 'preVoteReply'])

/**
 * One replica of a consensus group that replicates a log with Raft. The host syncs each `persist` action and answers
 * with `persisted`, delivers messages (which may be delayed, duplicated, reordered or lost), applies `commit` actions
 * in order, and sends `tick` at least every `heartbeatMs / 4`.
 *
 * Memory: the newest snapshot, the entries since it and at most `retainedEntries` of `retainedBytes` before it
 * (proposals are rejected beyond `maxLogBytes`), at most `maxUncommittedEntries` proposals, `maxReads` reads, one
 * incomplete incoming snapshot, and one older snapshot for each follower that is being sent one.
 */
export class Replica implements Part<AgreementEvent, AgreementAction> {
  private readonly _state: ReplicaState
  private readonly _damaged: boolean
  private readonly _election: Election
  private readonly _replication: Replication
  private readonly _reads: ReadQueue
  private readonly _membershipChange: MembershipChange
  private readonly _transfer: SnapshotTransfer
  private readonly _followerLog: FollowerLog

  private readonly _eventHandlers: EventHandlers = {
    tick: () => this._tick(),
    message: event => this._receive(event.from, event.message),
    propose: event => this._propose(event.id, event.data),
    read: event => this._reads.read(event.id),
    persisted: event => this._onPersisted(event.sequence),
    changeMembers: event => this._membershipChange.change(event.id, event.members),
    setLearners: event => this._membershipChange.setLearners(event.learners),
    resign: () => this._resign(),
    form: event => this._form(event.members),
    snapshotTaken: event => this._snapshotTaken(event.index, event.data)
  }

  private readonly _messageHandlers: MessageHandlers = {
    preVote: (from, message) => this._election.onPreVote(from, message),
    preVoteReply: (from, message) => this._election.onPreVoteReply(from, message),
    vote: (from, message) => this._election.onVote(from, message),
    voteReply: (from, message) => this._election.onVoteReply(from, message),
    append: (from, message) => this._followerLog.onAppend(from, message),
    appendReply: (from, message) => this._replication.onAppendReply(from, message),
    snapshot: (from, message) => this._transfer.onChunk(from, message),
    snapshotReply: (from, message) => {
      const progress = this._replication.followerProgress(from)
      if (progress === undefined) return
      this._replication.recordContact(progress, message)
      this._transfer.onReply(from, progress, message.index, message.offset, this._replication.round)
      this._reads.advance()
    }
  }

  /**
   * @param options Identity, random numbers, recovered state, timing and limits.
   */
  public constructor (options: ReplicaOptions) {
    const state = new ReplicaState(options)
    this._state = state
    this._damaged = options.damaged ?? false
    this._transfer = new SnapshotTransfer(state)
    this._replication = new Replication(state, this._transfer, { onProgress: () => this._onProgress() })
    this._election = new Election(state, () => this._replication.becomeLeader())
    this._reads = new ReadQueue(state, this._replication)
    this._membershipChange = new MembershipChange(state, this._replication)
    this._followerLog = new FollowerLog(state)
  }

  /** State for dumps and metrics, of bounded size. */
  public get view (): ReplicaView {
    const { id, role, term, leader, log, commitIndex, openProposals } = this._state
    return {
      id,
      role: this._damaged ? 'recovering' : role,
      term,
      leader,
      members: log.members,
      membersIndex: log.membersIndex,
      commitIndex,
      lastIndex: log.lastIndex,
      snapshotIndex: log.snapshot.index,
      logBytes: log.bytes,
      openProposals
    }
  }

  /**
   * Handles one event and returns the actions for the host, in order.
   * @param event Event from the host.
   * @param nowMs Monotonic time in milliseconds.
   */
  public step (event: AgreementEvent, nowMs: number): AgreementAction[] {
    this._state.nowMs = nowMs
    const handler = this._eventHandlers[event.type] as (event: AgreementEvent) => void
    handler(event)
    return this._state.takeActions()
  }

  private _tick (): void {
    if (this._damaged) return
    if (this._state.role !== 'leader') return this._election.tick()
    this._replication.tick()
    this._membershipChange.tick()
  }

  private _receive (from: ReplicaId, message: AgreementMessage): void {
    if (this._damaged) return
    if (message.term < this._state.term) return this._rejectOldTerm(from, message)
    if (message.term > this._state.term && !this._acceptNewerTerm(from, message)) return
    if (LEADER_MESSAGES.has(message.type)) this._followLeader(from)
    const handler = this._messageHandlers[message.type] as (from: ReplicaId, message: AgreementMessage) => void
    handler(from, message)
  }

  /** Returns false if the message must be ignored, so that a vote request does not depose a live leader. */
  private _acceptNewerTerm (from: ReplicaId, message: AgreementMessage): boolean {
    if (TENTATIVE_MESSAGES.has(message.type)) {
      const isRefusal = message.type === 'preVoteReply' && !message.granted
      if (isRefusal) this._adoptTerm(message.term)
      return true
    }
    if (message.type === 'vote' && this._election.hasRecentLeader()) return false
    this._adoptTerm(message.term)
    return true
  }

  private _adoptTerm (term: number): void {
    this._election.stop()
    this._state.follow(term, undefined)
  }

  private _followLeader (from: ReplicaId): void {
    if (this._state.role === 'leader') throw new Error(`replica ${from} and this replica both lead term ${this._state.term}`)
    this._election.stop()
    this._state.lastLeaderContactMs = this._state.nowMs
    this._state.resetElectionTimer()
    this._state.follow(this._state.term, from)
  }

  private _rejectOldTerm (to: ReplicaId, message: AgreementMessage): void {
    const { term } = this._state
    if (message.type === 'preVote') this._state.send(to, { type: 'preVoteReply', term, granted: false })
    if (message.type === 'vote') this._state.send(to, { type: 'voteReply', term, granted: false })
    if (message.type !== 'append' && message.type !== 'snapshot') return
    const { round, sentAtMs } = message
    this._state.send(to, {
      type: 'appendReply', term, success: false, match: 0, conflictIndex: 0, conflictTerm: -1, round, sentAtMs
    })
  }

  private _propose (id: number, data: Uint8Array): void {
    const canAppend = !this._damaged && this._replication.checkLease() && this._replication.hasCapacityFor(data.length)
    if (!canAppend) return this._state.reject(id, 'not-run')
    this._replication.append('command', data, id)
  }

  private _onPersisted (sequence: number): void {
    this._state.onPersisted(sequence)
    this._replication.onPersisted(sequence)
    this._election.onPersisted(sequence)
  }

  private _resign (): void {
    const { role, term, peers } = this._state
    if (role === 'leader' && peers.length > 0) this._state.follow(term, undefined)
  }

  private _form (members: readonly ReplicaId[]): void {
    const { log, term } = this._state
    if (this._damaged || log.members.length > 0) return
    this._state.setFirstMembers(members)
    this._state.follow(term, undefined)
  }

  private _snapshotTaken (index: number, data: Uint8Array): void {
    const { log, commitIndex, limits } = this._state
    if (index <= log.snapshot.index || index > commitIndex) return
    const snapshot = { index, term: log.termAt(index)!, members: log.membersAt(index), data }
    log.compact(snapshot, limits.retainedEntries, limits.retainedBytes)
    this._state.persist({ snapshot })
  }

  private _onProgress (): void {
    this._membershipChange.advance()
    if (this._state.role === 'leader') this._reads.advance()
  }
}
