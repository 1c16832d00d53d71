import type { ProposalOutcome } from '../control/ReplicaHost.js'
import type { ReplicaToReplica } from '../control/Types.js'
import type { ReplicaView } from '../parts/agreement/Replica.js'
import { quorumSize } from '../parts/agreement/Members.js'
import { VoterContact } from '../parts/agreement/VoterContact.js'
import { REPLACE_SILENT_AFTER_MS, type VoterChange, VoterPlanner } from '../parts/agreement/VoterPlanner.js'
import type { ReplicaId } from '../parts/Types.js'
import type { Clock, Disposable, Log } from '../runtime/Types.js'
import {
  GONE_AFTER_MS, JOIN_INTERVAL_MS, LEADERLESS_JOIN_MS, LEAVE_INTERVAL_MS, LEAVE_REPLY_TIMEOUT_MS, MEMBERSHIP_TICK_MS
} from './Constants.js'
import type { LeaveState } from './Types.js'

/** The replica whose group is looked after. */
export interface VoterGroup {
  readonly id: ReplicaId
  readonly view: ReplicaView
  /** True when a member has named other members although this replica takes itself for one. */
  readonly isExcluded: boolean
  changeMembers (members: readonly ReplicaId[]): Promise<ProposalOutcome<unknown>>
  /** Sends the log to replicas outside the group while this replica leads. */
  setLearners (learners: readonly ReplicaId[]): void
  /** For how long nothing has listened at the address of a replica, in milliseconds; 0 when that is not known. */
  refusedMs (replica: ReplicaId): number
  /** Sends a frame to another replica; it may be dropped. */
  send (to: ReplicaId, frame: ReplicaToReplica): void
  /** Sends a frame to all other replicas; each may be dropped. */
  broadcast (frame: ReplicaToReplica): void
}

/** How a stop went; a replica that is no voter has nothing to give up. */
type LeaveOutcome = Exclude<LeaveState, 'pending'> | 'no voter' | 'no reply' | 'time is over'

/**
 * Keeps the voters of the group those that it needs: at the leader by changes of the members, elsewhere by asking to
 * join. A replica that stops for good asks to leave first, so that its vote ends before its process does.
 *
 * Memory: the time of the last frame of each replica, and the silent voters.
 */
export class VoterHost implements Disposable {
  private readonly _planner: VoterPlanner
  private readonly _contact: VoterContact
  private _timer: NodeJS.Timeout | undefined
  private _askedToJoinMs = -Infinity
  /** Silent voters that have been logged. */
  private _loggedSilent: readonly ReplicaId[] = []
  private _isLeaderlessLogged = false
  private _isChanging = false
  private _isLeaving = false
  private _receiveLeaveState: (state: LeaveState) => void = () => {}

  /**
   * @param toleratedLosses Replicas that may fail at the same time; the group needs two voters for each, plus one.
   */
  public constructor (
    private readonly _group: VoterGroup,
    toleratedLosses: number,
    private readonly _clock: Clock,
    private readonly _log: Log
  ) {
    this._planner = new VoterPlanner(2 * toleratedLosses + 1)
    this._contact = new VoterContact(_clock.nowMs())
  }

  /** Starts the checks. */
  public start (): void {
    this._timer = setInterval(() => this._check(), MEMBERSHIP_TICK_MS)
  }

  /** True when no leader has been known for longer than elections take. */
  public get isLeaderless (): boolean {
    return this._contact.leaderlessMs(this._clock.nowMs()) > LEADERLESS_JOIN_MS
  }

  /**
   * Voters that the leader has not heard for longer than it takes to be replaced, or that a voter has not heard which
   * has known no leader for longer than elections take; 0 at other replicas.
   */
  public get silentVoters (): number {
    return this._silentVoters().length
  }

  /** Records that a frame was received from a replica. */
  public recordFrame (from: ReplicaId): void {
    this._contact.recordFrame(from, this._clock.nowMs())
  }

  /** Records that a replica asks to join the group. */
  public recordJoinRequest (replica: ReplicaId): void {
    this._planner.recordJoinRequest(replica, this._clock.nowMs())
  }

  /** Records that a replica is about to stop; the leader tells it whether to wait. */
  public recordLeaveRequest (replica: ReplicaId): void {
    this._planner.recordLeaveRequest(replica, this._clock.nowMs())
    if (this._group.view.role !== 'leader') return
    this._group.send(replica, { type: 'leaveReply', state: this._leaveState(replica) })
    this._adjust()
  }

  /** Receives the leader's reply to this replica's request to leave. */
  public receiveLeaveReply (state: LeaveState): void {
    this._receiveLeaveState(state)
  }

  /** Asks to join at once when this replica is outside the group: a connection to another replica has opened. */
  public handleLinkOpen (): void {
    if (!this._isMember && this._timer !== undefined) this._askToJoin()
  }

  /**
   * Asks the group to replace this voter. Resolves once it is no voter any more, or when it has no successor: the
   * process is then restarted with its disk, or its successor starts later. Resolves as well when no leader replies.
   * @param limitMs Longest duration in milliseconds.
   */
  public async leave (limitMs: number): Promise<void> {
    this._isLeaving = true
    const startedMs = this._clock.nowMs()
    const before = this._group.view.members
    const outcome = this._isMember ? await this._awaitRemoval(startedMs + limitMs) : this._cancelJoin()
    const durationMs = Math.round(this._clock.nowMs() - startedMs)
    this._log.info({ outcome, durationMs, before, members: this._group.view.members }, 'left the group')
  }

  public dispose (): void {
    clearInterval(this._timer)
    this._timer = undefined
    this._receiveLeaveState('alone')
  }

  private get _isMember (): boolean {
    return this._group.view.members.includes(this._group.id)
  }

  private _cancelJoin (): LeaveOutcome {
    this._group.broadcast({ type: 'leave' })
    return 'no voter'
  }

  private async _awaitRemoval (untilMs: number): Promise<LeaveOutcome> {
    let repliedMs = this._clock.nowMs()
    for (;;) {
      const state = await this._askToLeave()
      const nowMs = this._clock.nowMs()
      if (state === 'left' || state === 'alone') return state
      if (state === 'pending') repliedMs = nowMs
      if (nowMs - repliedMs >= LEAVE_REPLY_TIMEOUT_MS) return 'no reply'
      if (nowMs >= untilMs) return 'time is over'
    }
  }

  /** Asks once, and resolves with a final reply, or after `LEAVE_INTERVAL_MS` with the last one. */
  private async _askToLeave (): Promise<LeaveState | undefined> {
    const { id, view } = this._group
    if (view.role === 'leader') this._planner.recordLeaveRequest(id, this._clock.nowMs())
    if (view.role === 'leader' || this._isRemoved(id)) {
      const state = this._leaveState(id)
      if (state !== 'pending') return state
      this._adjust()
    }
    this._group.broadcast({ type: 'leave' })
    return await new Promise(resolve => {
      let last: LeaveState | undefined = view.role === 'leader' ? 'pending' : undefined
      const timer = setTimeout(() => resolve(last), LEAVE_INTERVAL_MS)
      this._receiveLeaveState = state => {
        last = state
        if (state === 'pending') return
        clearTimeout(timer)
        resolve(state)
      }
    })
  }

  private _leaveState (replica: ReplicaId): LeaveState {
    const { members } = this._group.view
    if (!members.includes(replica)) return this._isRemoved(replica) ? 'left' : 'pending'
    return this._planner.canReplace(members, this._clock.nowMs()) ? 'pending' : 'alone'
  }

  /** Until the removal is committed, the removed replica may hold the only log that can win an election. */
  private _isRemoved (replica: ReplicaId): boolean {
    const { members, membersIndex, commitIndex } = this._group.view
    return !members.includes(replica) && membersIndex <= commitIndex
  }

  private _check (): void {
    const nowMs = this._clock.nowMs()
    const { role, leader } = this._group.view
    this._contact.check(this._group.id, role, leader, nowMs)
    this._logSilence()
    if (this._contact.isLeading) {
      this._group.setLearners(this._planner.learners(this._group.view.members, nowMs))
      return this._adjust()
    }
    const isOutside = !this._isMember || this._group.isExcluded || this.isLeaderless
    if (isOutside && nowMs - this._askedToJoinMs >= JOIN_INTERVAL_MS) this._askToJoin()
  }

  private _silentVoters (): ReplicaId[] {
    const nowMs = this._clock.nowMs()
    const { id, view: { members } } = this._group
    const others = members.filter(member => member !== id)
    if (this._contact.isLeading) {
      return others.filter(member => this._contact.silenceMs(member, nowMs) > REPLACE_SILENT_AFTER_MS)
    }
    if (!this.isLeaderless || !this._isMember) return []
    return others.filter(member => this._contact.unheardMs(member, nowMs) > LEADERLESS_JOIN_MS)
  }

  /** Logs each voter that falls silent, and once that a voter can't find a leader. */
  private _logSilence (): void {
    const { members } = this._group.view
    const silent = this._silentVoters()
    const isLeading = this._contact.isLeading
    const fallen = isLeading ? silent.filter(voter => !this._loggedSilent.includes(voter)) : []
    for (const voter of fallen) {
      const silenceMs = Math.round(this._contact.silenceMs(voter, this._clock.nowMs()))
      this._log.warn({ voter, silenceMs, members }, 'voter is silent')
    }
    this._loggedSilent = isLeading ? silent : []
    const isLost = !isLeading && this._isMember && this.isLeaderless
    if (isLost && !this._isLeaderlessLogged) {
      const quorum = quorumSize(members)
      this._log.warn({ members, silent, heard: members.length - silent.length, quorum }, 'no leader is found')
    }
    this._isLeaderlessLogged = isLost
  }

  private _askToJoin (): void {
    if (this._isLeaving) return
    this._askedToJoinMs = this._clock.nowMs()
    this._group.broadcast({ type: 'join', replica: this._group.id })
  }

  private _adjust (): void {
    if (this._isChanging || this._timer === undefined || this._group.view.role !== 'leader') return
    const nowMs = this._clock.nowMs()
    const { id: self, view: { members } } = this._group
    const silenceMs = (member: ReplicaId): number => this._contact.silenceMs(member, nowMs)
    const isGone = (member: ReplicaId): boolean => this._isGone(member, nowMs)
    const change = this._planner.nextChange({ self, members, isGone, silenceMs }, nowMs)
    if (change !== undefined) this._changeMembers(change)
  }

  /** A process that refuses connections may still be ending, so nothing must have been heard of it either. */
  private _isGone (member: ReplicaId, nowMs: number): boolean {
    return Math.min(this._group.refusedMs(member), this._contact.unheardMs(member, nowMs)) >= GONE_AFTER_MS
  }

  private _changeMembers (change: VoterChange): void {
    const { members, reason, replica, replaced } = change
    const before = this._group.view.members
    const nowMs = this._clock.nowMs()
    const silenceMs = replaced === undefined ? undefined : Math.round(this._contact.silenceMs(replaced, nowMs))
    const refusedMs = replaced === undefined ? undefined : Math.round(this._group.refusedMs(replaced))
    this._isChanging = true
    this._log.info({ reason, replica, replaced, silenceMs, refusedMs, before, members }, 'changing the members')
    this._group.changeMembers(members).then(outcome => {
      this._log.info({ reason, replica, replaced, members, outcome: outcome.type }, 'members change ended')
      this._isChanging = false
      if (outcome.type === 'applied') this._adjust()
      else if (members.includes(replica)) this._planner.forgetJoinRequest(replica)
    }).catch((error: Error) => {
      this._isChanging = false
      this._log.error({ error: error.message }, 'members change failed')
    })
  }
}
