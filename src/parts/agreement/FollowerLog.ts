import type { ReplicaId } from '../Types.js'
import type { ReplicaState } from './ReplicaState.js'
import type { AppendRequest, LogEntry } from './Types.js'

/** The follower's side of Raft log matching: accepts entries only if its log holds the leader's entry before them. */
export class FollowerLog {
  /**
   * @param _state State shared by the modules of the replica.
   */
  public constructor (private readonly _state: ReplicaState) {}

  /**
   * Handles a leader's append; the reply is sent once the entries are synced.
   * @param from The leader.
   * @param message An append of the current term.
   */
  public onAppend (from: ReplicaId, message: AppendRequest): void {
    const { log, commitIndex } = this._state
    const match = message.prevIndex + message.entries.length
    if (match <= commitIndex) return this._replySuccess(from, message, commitIndex)
    const prevMatches = message.prevIndex <= commitIndex || log.termAt(message.prevIndex) === message.prevTerm
    if (!prevMatches) return this._replyConflict(from, message)
    this._store(message.entries.filter(entry => entry.index > commitIndex))
    this._state.commitTo(Math.min(message.commit, match))
    this._state.setRole(this._state.isMember ? 'follower' : 'recovering', from)
    this._replySuccess(from, message, match)
  }

  private _store (entries: readonly LogEntry[]): void {
    const { log } = this._state
    const firstNew = entries.findIndex(entry => log.termAt(entry.index) !== entry.term)
    if (firstNew < 0) return
    const newEntries = entries.slice(firstNew)
    const from = newEntries[0]!.index
    const hasConflict = from <= log.lastIndex
    if (hasConflict) log.truncate(from)
    newEntries.forEach(entry => log.append(entry))
    this._state.persist(hasConflict ? { truncateFrom: from, entries: newEntries } : { entries: newEntries })
  }

  private _replySuccess (to: ReplicaId, { round, sentAtMs }: AppendRequest, match: number): void {
    const { term } = this._state
    this._state.send(to, {
      type: 'appendReply', term, success: true, match, conflictIndex: 0, conflictTerm: -1, round, sentAtMs
    })
  }

  private _replyConflict (to: ReplicaId, { prevIndex, round, sentAtMs }: AppendRequest): void {
    const { log, term, commitIndex } = this._state
    const conflictTerm = log.termAt(prevIndex) ?? -1
    const conflictIndex = conflictTerm < 0 ? log.lastIndex + 1 : log.firstIndexOfTerm(prevIndex, commitIndex + 1)
    this._state.send(to, {
      type: 'appendReply', term, success: false, match: 0, conflictIndex, conflictTerm, round, sentAtMs
    })
  }
}
