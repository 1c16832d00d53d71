import type { ReplicaId } from '../Types.js'
import { quorumSize } from './Members.js'
import type { ReplicaState } from './ReplicaState.js'
import type { PreVoteReply, PreVoteRequest, VoteReply, VoteRequest } from './Types.js'

/** Phase of an election: none, asking for pre-votes, or asking for votes. */
type ElectionPhase = 'idle' | 'preVote' | 'vote'

/**
 * Raft leader election with pre-vote: a replica starts an election in a new term only after a quorum has granted it a
 * pre-vote, which replicas with a live leader refuse. A vote is counted and sent only once it is synced.
 */
export class Election {
  private _phase: ElectionPhase = 'idle'
  private _votes = new Set<ReplicaId>()
  private _ownVoteSequence = 0

  /**
   * @param _state State shared by the modules of the replica.
   * @param _onWon Called when this replica has won an election.
   */
  public constructor (
    private readonly _state: ReplicaState,
    private readonly _onWon: () => void
  ) {}

  /** Starts an election when the election timeout has passed. */
  public tick (): void {
    const state = this._state
    if (state.role === 'recovering') return this._forgetSilentLeader()
    if (state.nowMs < state.electionDueMs) return
    if (state.electionDueMs === 0) return state.resetElectionTimer()
    this._startPreVote()
  }

  /** Cancels the running election, because another replica leads or the term has changed. */
  public stop (): void {
    this._phase = 'idle'
  }

  /** Counts this replica's own vote once it is synced. */
  public onPersisted (sequence: number): void {
    if (this._phase !== 'vote' || sequence < this._ownVoteSequence) return
    this._countVote(this._state.id)
  }

  /**
   * Answers a pre-vote request. Two candidates would split the votes, so a replica that grants a pre-vote withdraws its
   * own request for them in favour of a member with a lower id. In a first election it puts its own candidacy off too.
   */
  public onPreVote (from: ReplicaId, message: PreVoteRequest): void {
    const state = this._state
    const granted = state.role !== 'recovering' &&
      message.term > state.term &&
      !this.hasRecentLeader() &&
      this._isUpToDate(message)
    const isPreferred = granted && from < state.id
    if (isPreferred && this._phase === 'preVote') this._phase = 'idle'
    const isPutOff = granted && state.isFirstElection && (isPreferred || this._phase === 'idle')
    if (isPutOff) state.resetElectionTimer()
    state.send(from, { type: 'preVoteReply', term: granted ? message.term : state.term, granted })
  }

  /** Counts a pre-vote; a quorum of pre-votes starts the actual election. */
  public onPreVoteReply (from: ReplicaId, message: PreVoteReply): void {
    const state = this._state
    if (this._phase !== 'preVote' || !message.granted || message.term !== state.term + 1) return
    this._votes.add(from)
    if (this._hasQuorum()) this._startVote()
  }

  /** Votes at most once per term, only for a candidate whose log holds every entry that may be committed. */
  public onVote (from: ReplicaId, message: VoteRequest): void {
    const state = this._state
    const canVote = state.votedFor === undefined || state.votedFor === from
    const granted = state.role !== 'recovering' &&
      message.term === state.term &&
      canVote &&
      this._isUpToDate(message)
    if (granted && state.votedFor === undefined) state.castVote(state.term, from)
    if (granted) state.resetElectionTimer()
    state.send(from, { type: 'voteReply', term: state.term, granted })
  }

  /** Counts a granted vote; a quorum of votes makes this replica the leader. */
  public onVoteReply (from: ReplicaId, message: VoteReply): void {
    if (this._phase !== 'vote' || !message.granted || message.term !== this._state.term) return
    this._countVote(from)
  }

  /** True if this replica leads or has received a message from a leader within the minimum election timeout. */
  public hasRecentLeader (): boolean {
    const { role, lastLeaderContactMs, nowMs, timing } = this._state
    if (role === 'leader') return true
    return lastLeaderContactMs !== undefined && nowMs - lastLeaderContactMs < timing.electionMinMs
  }

  /** A learner takes part in no election, and must not send calls to a leader that is lost. */
  private _forgetSilentLeader (): void {
    if (this._state.leader !== undefined && !this.hasRecentLeader()) this._state.setRole('recovering', undefined)
  }

  private _startPreVote (): void {
    const state = this._state
    state.resetElectionTimer()
    this._phase = 'preVote'
    this._votes = new Set([state.id])
    state.setRole('candidate', undefined)
    if (this._hasQuorum()) return this._startVote()
    this._requestVotes('preVote', state.term + 1)
  }

  private _startVote (): void {
    const state = this._state
    this._phase = 'vote'
    this._votes = new Set()
    state.castVote(state.term + 1, state.id)
    this._ownVoteSequence = state.sequence
    // The short timeout of a first election would end the vote before a slow disk has synced it.
    if (state.isFirstElection) state.electionDueMs = state.nowMs + state.timing.electionMinMs
    this._requestVotes('vote', state.term)
  }

  private _requestVotes (type: 'preVote' | 'vote', term: number): void {
    const { log, peers } = this._state
    for (const peer of peers) {
      this._state.send(peer, { type, term, lastIndex: log.lastIndex, lastTerm: log.lastTerm })
    }
  }

  private _countVote (from: ReplicaId): void {
    this._votes.add(from)
    if (!this._hasQuorum()) return
    this._phase = 'idle'
    this._onWon()
  }

  private _hasQuorum (): boolean {
    const { members } = this._state.log
    const votes = members.filter(member => this._votes.has(member))
    return votes.length >= quorumSize(members)
  }

  private _isUpToDate (candidate: { readonly lastIndex: number, readonly lastTerm: number }): boolean {
    const { log } = this._state
    if (candidate.lastTerm !== log.lastTerm) return candidate.lastTerm > log.lastTerm
    return candidate.lastIndex >= log.lastIndex
  }
}
