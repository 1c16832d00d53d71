import type { Random, ReplicaId } from '../Types.js'
import { DEFAULT_LIMITS, DEFAULT_TIMING } from './Constants.js'
import { ReplicaLog } from './ReplicaLog.js'
import type {
  AgreementAction, AgreementMessage, HardState, LogEntry, ReplicaLimits, ReplicaOptions, ReplicaTiming, Role, Snapshot
} from './Types.js'

/** A message that waits until the `persist` actions before it are synced. */
interface DeferredMessage {
  readonly sequence: number
  readonly to: ReplicaId
  readonly message: AgreementMessage
}

/** State to be synced by one `persist` action. */
interface PersistContent {
  readonly hard?: HardState
  readonly truncateFrom?: number
  readonly entries?: readonly LogEntry[]
  readonly snapshot?: Snapshot
}

/**
 * State shared by the modules of a replica: term, vote, role, log, commit index, and the actions of the current step.
 * A message is sent only after all earlier `persist` actions are synced, unless it is sent by `sendNow`.
 */
export class ReplicaState {
  public readonly id: ReplicaId
  public readonly random: Random
  public readonly timing: ReplicaTiming
  public readonly limits: ReplicaLimits
  public readonly log: ReplicaLog
  public nowMs = 0
  public leader: ReplicaId | undefined
  /** Monotonic time in milliseconds of the last message from a leader; undefined before the first one. */
  public lastLeaderContactMs: number | undefined
  /** Monotonic time in milliseconds at which the election timeout passes; 0 before the first tick. */
  public electionDueMs = 0
  private _term: number
  private _votedFor: ReplicaId | undefined
  private _role: Role
  private _commitIndex: number
  private _sequence = 0
  private _persistedSequence = 0
  private _actions: AgreementAction[] = []
  private _deferred: DeferredMessage[] = []
  private _openProposalBytes = 0
  private readonly _proposals = new Map<number, number>()
  private readonly _stepDownListeners: Array<() => void> = []

  /**
   * @param options Identity, random numbers, recovered state, timing and limits.
   */
  public constructor (options: ReplicaOptions) {
    this.id = options.id
    this.random = options.random
    this.timing = { ...DEFAULT_TIMING, ...options.timing }
    this.limits = { ...DEFAULT_LIMITS, ...options.limits }
    this.log = new ReplicaLog(options.recovered)
    this._term = options.recovered.hard.term
    this._votedFor = options.recovered.hard.votedFor
    this._commitIndex = options.recovered.snapshot.index
    this._role = this.isMember ? 'follower' : 'recovering'
  }

  /** Current term. */
  public get term (): number {
    return this._term
  }

  /** Candidate that this replica voted for in the current term. */
  public get votedFor (): ReplicaId | undefined {
    return this._votedFor
  }

  /** Current role. */
  public get role (): Role {
    return this._role
  }

  /** Highest index known to be committed. */
  public get commitIndex (): number {
    return this._commitIndex
  }

  /** Sequence number of the last `persist` action. */
  public get sequence (): number {
    return this._sequence
  }

  /**
   * True if this replica is a member now or was one as of the last commit: until its removal is committed, it may hold
   * the only log that can win an election.
   */
  public get isMember (): boolean {
    return this.log.members.includes(this.id) || this.log.membersAt(this._commitIndex).includes(this.id)
  }

  /** The other members of the group. */
  public get peers (): ReplicaId[] {
    return this.log.members.filter(member => member !== this.id)
  }

  /** Number of entries proposed here that are not yet committed. */
  public get openProposals (): number {
    return this._proposals.size
  }

  /** Bytes of data in the entries proposed here that are not yet committed. */
  public get openProposalBytes (): number {
    return this._openProposalBytes
  }

  /**
   * Registers a listener for the loss of leadership.
   * @param listener Called during the step in which this replica steps down.
   */
  public onSteppedDown (listener: () => void): void {
    this._stepDownListeners.push(listener)
  }

  /** Returns the actions of the current step and clears them. */
  public takeActions (): AgreementAction[] {
    const actions = this._actions
    this._actions = []
    return actions
  }

  /** Adds an action to the current step. */
  public emit (action: AgreementAction): void {
    this._actions.push(action)
  }

  /**
   * Sends a message once all earlier `persist` actions are synced.
   * @param to Receiver.
   */
  public send (to: ReplicaId, message: AgreementMessage): void {
    if (this._persistedSequence >= this._sequence) this.sendNow(to, message)
    else this._deferred.push({ sequence: this._sequence, to, message })
  }

  /**
   * Sends a message that depends on no unsynced state.
   * @param to Receiver.
   */
  public sendNow (to: ReplicaId, message: AgreementMessage): void {
    this.emit({ type: 'send', to, message })
  }

  /**
   * Emits a `persist` action with the next sequence number.
   * @param request State that changed.
   */
  public persist (request: PersistContent): void {
    this._sequence++
    this.emit({ type: 'persist', sequence: this._sequence, entries: [], ...request })
  }

  /**
   * Sends the messages that waited for a sync.
   * @param sequence All `persist` actions up to this sequence number are synced.
   */
  public onPersisted (sequence: number): void {
    this._persistedSequence = Math.max(this._persistedSequence, sequence)
    const firstWaiting = this._deferred.findIndex(item => item.sequence > this._persistedSequence)
    const released = this._deferred.splice(0, firstWaiting < 0 ? this._deferred.length : firstWaiting)
    released.forEach(item => this.sendNow(item.to, item.message))
  }

  /**
   * Casts the vote of a term; it is synced before any later message is sent.
   * @param term Term of the election.
   * @param candidate Candidate that gets the vote.
   */
  public castVote (term: number, candidate: ReplicaId): void {
    this._term = term
    this._votedFor = candidate
    this.persist({ hard: { term, votedFor: candidate } })
  }

  /**
   * Becomes a follower, or a recovering replica, in this or a later term.
   * @param term Term to enter.
   * @param leader Leader of that term, if known.
   */
  public follow (term: number, leader: ReplicaId | undefined): void {
    if (term > this._term) {
      this._term = term
      this._votedFor = undefined
      this.persist({ hard: { term, votedFor: undefined } })
    }
    this.setRole(this.isMember ? 'follower' : 'recovering', leader)
  }

  /**
   * Sets the role and the leader, and notifies the host if either has changed.
   * @param role New role.
   * @param leader Current leader, if known.
   */
  public setRole (role: Role, leader: ReplicaId | undefined): void {
    const losesLeadership = this._role === 'leader' && role !== 'leader'
    if (role === this._role && leader === this.leader) return
    this._role = role
    this.leader = leader
    this.emit({ type: 'became', role, term: this._term, leader })
    if (losesLeadership) this._stepDown()
  }

  /** Restarts the election timeout: with a random duration, or for a first election with one by the replica's rank. */
  public resetElectionTimer (): void {
    const { electionMinMs, electionMaxMs, firstElectionMs } = this.timing
    this.electionDueMs = this.nowMs + (this.isFirstElection && firstElectionMs !== undefined
      ? firstElectionMs * (2 * this._rank() + 1)
      : electionMinMs + (electionMaxMs - electionMinMs) * this.random.next())
  }

  /** True until the first message from a leader since the start, if the timing sets `firstElectionMs`. */
  public get isFirstElection (): boolean {
    return this.lastLeaderContactMs === undefined && this.timing.firstElectionMs !== undefined
  }

  /**
   * Records which proposal of the host an entry belongs to.
   * @param index Index of the entry.
   * @param id The host's id for the proposal.
   * @param bytes Bytes of its data.
   */
  public trackProposal (index: number, id: number, bytes: number): void {
    this._proposals.set(index, id)
    this._openProposalBytes += bytes
  }

  /**
   * Advances the commit index and emits a `commit` action for each entry.
   * @param index New commit index; a lower one changes nothing.
   */
  public commitTo (index: number): void {
    while (this._commitIndex < index) {
      this._commitIndex++
      const entry = this.log.entryAt(this._commitIndex)!
      const id = this._proposals.get(entry.index)
      if (this._proposals.delete(entry.index)) this._openProposalBytes -= entry.data.length
      this.emit(id === undefined ? { type: 'commit', entry } : { type: 'commit', entry, id })
    }
  }

  /**
   * Installs a snapshot and has the host restore its state machine from it.
   * @param snapshot Snapshot from the leader, beyond the commit index.
   */
  public restore (snapshot: Snapshot): void {
    this._install(snapshot)
    this._commitIndex = snapshot.index
    this.emit({ type: 'restore', snapshot })
  }

  /**
   * Sets the members of a new group. Its leader may have been elected, and its first entries committed, before this
   * replica has learned of the group; these entries and the state of the host are kept.
   */
  public setFirstMembers (members: readonly ReplicaId[]): void {
    this._install({ index: 0, term: 0, members, data: new Uint8Array(0) })
  }

  /**
   * Rejects a request of the host.
   * @param id The host's id for the request.
   * @param state What is certain about it; see the `rejected` action.
   */
  public reject (id: number, state: 'not-run' | 'unknown'): void {
    this.emit({ type: 'rejected', id, state, leader: this.leader })
  }

  private _install (snapshot: Snapshot): void {
    const keepsLaterEntries = this.log.installSnapshot(snapshot)
    this.persist(keepsLaterEntries ? { snapshot } : { snapshot, truncateFrom: snapshot.index + 1 })
  }

  /** Number of members whose ids sort before that of this replica. */
  private _rank (): number {
    return this.log.members.filter(member => member < this.id).length
  }

  private _stepDown (): void {
    this.resetElectionTimer()
    for (const id of this._proposals.values()) this.reject(id, 'unknown')
    this._proposals.clear()
    this._openProposalBytes = 0
    this._stepDownListeners.forEach(listener => listener())
  }
}
