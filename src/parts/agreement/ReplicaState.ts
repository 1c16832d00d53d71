import type { Random, ReplicaId } from '../Types.js'
import { DEFAULT_LIMITS, DEFAULT_TIMING } from './Constants.js'
import { ReplicaLog } from './ReplicaLog.js'
import type {
  AgreementAction, AgreementMessage, HardState, LogEntry, ReplicaLimits, ReplicaOptions, ReplicaTiming, Role, Snapshot
} from './Types.js'

/** A message that waits until what it depends on is synced. */
interface DeferredMessage {
  readonly sequence: number
  readonly to: ReplicaId
  readonly message: AgreementMessage
}

/** What one `persist` action carries. */
interface PersistRequest {
  readonly hard?: HardState
  readonly truncateFrom?: number
  readonly entries?: readonly LogEntry[]
  readonly snapshot?: Snapshot
}

/**
 * State that the modules of a replica share: term, vote, role, log, commit index, and the actions of
 * the step that runs. Every message goes out only after all that was handed out for syncing before it,
 * unless it is sent by `sendNow`.
 */
export class ReplicaState {
  public readonly id: ReplicaId
  public readonly random: Random
  public readonly timing: ReplicaTiming
  public readonly limits: ReplicaLimits
  public readonly log: ReplicaLog
  public nowMs = 0
  public leader: ReplicaId | undefined
  /** When the leader was last heard, or undefined before that. */
  public lastLeaderContactMs: number | undefined
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
   * @param options What the replica is built with.
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

  /** Whom this replica voted for in the current term. */
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

  /** Number of the last `persist` handed out. */
  public get sequence (): number {
    return this._sequence
  }

  /**
   * True while this replica is a member, or was one as of the last commit: until its removal is committed
   * it may hold the only log that can win an election.
   */
  public get isMember (): boolean {
    return this.log.members.includes(this.id) || this.log.membersAt(this._commitIndex).includes(this.id)
  }

  /** The other members in force. */
  public get peers (): ReplicaId[] {
    return this.log.members.filter(member => member !== this.id)
  }

  /** Entries proposed here that are not yet committed. */
  public get openProposals (): number {
    return this._proposals.size
  }

  /** Bytes of those entries. */
  public get openProposalBytes (): number {
    return this._openProposalBytes
  }

  /**
   * Registers what must happen when this replica stops leading.
   * @param listener Called during the step.
   */
  public onSteppedDown (listener: () => void): void {
    this._stepDownListeners.push(listener)
  }

  /** Returns the actions of this step and starts the next. */
  public takeActions (): AgreementAction[] {
    const actions = this._actions
    this._actions = []
    return actions
  }

  /**
   * Adds an action to this step.
   * @param action The action.
   */
  public emit (action: AgreementAction): void {
    this._actions.push(action)
  }

  /**
   * Sends a message once all that was handed out for syncing is synced.
   * @param to Receiver.
   * @param message The message.
   */
  public send (to: ReplicaId, message: AgreementMessage): void {
    if (this._persistedSequence >= this._sequence) this.sendNow(to, message)
    else this._deferred.push({ sequence: this._sequence, to, message })
  }

  /**
   * Sends a message that depends on nothing unsynced.
   * @param to Receiver.
   * @param message The message.
   */
  public sendNow (to: ReplicaId, message: AgreementMessage): void {
    this.emit({ type: 'send', to, message })
  }

  /**
   * Hands out what must be synced.
   * @param what Parts that changed.
   */
  public persist (request: PersistRequest): void {
    this._sequence++
    this.emit({ type: 'persist', sequence: this._sequence, entries: [], ...request })
  }

  /**
   * Releases the messages that waited for a sync.
   * @param sequence All up to this number is synced.
   */
  public onPersisted (sequence: number): void {
    this._persistedSequence = Math.max(this._persistedSequence, sequence)
    const firstWaiting = this._deferred.findIndex(item => item.sequence > this._persistedSequence)
    const released = this._deferred.splice(0, firstWaiting < 0 ? this._deferred.length : firstWaiting)
    released.forEach(item => this.sendNow(item.to, item.message))
  }

  /**
   * Votes in a term; durable before any message that follows.
   * @param term The term.
   * @param candidate Whom the vote is for.
   */
  public castVote (term: number, candidate: ReplicaId): void {
    this._term = term
    this._votedFor = candidate
    this.persist({ hard: { term, votedFor: candidate } })
  }

  /**
   * Follows, in this or a later term.
   * @param term Term to be in.
   * @param leader Its leader, when known.
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
   * Takes a role and tells the host when anything changed.
   * @param role The role.
   * @param leader The leader, when known.
   */
  public setRole (role: Role, leader: ReplicaId | undefined): void {
    const wasLeader = this._role === 'leader' && role !== 'leader'
    if (role === this._role && leader === this.leader) return
    this._role = role
    this.leader = leader
    this.emit({ type: 'became', role, term: this._term, leader })
    if (wasLeader) this._stepDown()
  }

  /** Draws the time of the next election. */
  public resetElectionTimer (): void {
    const { electionMinMs, electionMaxMs, firstElectionMs } = this.timing
    const isFirst = this.lastLeaderContactMs === undefined && firstElectionMs !== undefined
    const [minMs, maxMs] = isFirst ? [firstElectionMs / 2, firstElectionMs] : [electionMinMs, electionMaxMs]
    this.electionDueMs = this.nowMs + minMs + (maxMs - minMs) * this.random.next()
  }

  /**
   * Remembers whose proposal an entry is.
   * @param index Index of the entry.
   * @param id The host's id.
   * @param bytes Bytes of its data.
   */
  public trackProposal (index: number, id: number, bytes: number): void {
    this._proposals.set(index, id)
    this._openProposalBytes += bytes
  }

  /**
   * Hands out entries as committed.
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
   * Puts a leader's snapshot in force.
   * @param snapshot The snapshot.
   */
  public restore (snapshot: Snapshot): void {
    const keepsLaterEntries = this.log.installSnapshot(snapshot)
    this._commitIndex = Math.max(this._commitIndex, snapshot.index)
    this.persist(keepsLaterEntries ? { snapshot } : { snapshot, truncateFrom: snapshot.index + 1 })
    this.emit({ type: 'restore', snapshot })
  }

  /**
   * Refuses a request of the host.
   * @param id The host's id.
   * @param state What is proved about it.
   */
  public reject (id: number, state: 'not-run' | 'unknown'): void {
    this.emit({ type: 'rejected', id, state, leader: this.leader })
  }

  private _stepDown (): void {
    this.resetElectionTimer()
    for (const id of this._proposals.values()) this.reject(id, 'unknown')
    this._proposals.clear()
    this._openProposalBytes = 0
    this._stepDownListeners.forEach(listener => listener())
  }
}
