import type { ReplicaId } from '../Types.js'
import type { ReplicaState } from './ReplicaState.js'
import type { AppendRequest, LogEntry } from './Types.js'

/** The follower's side of log matching: takes entries only where the one before them is shared. */
export class FollowerLog {
  /**
   * @param _state Shared state.
   */
  public constructor (private readonly _state: ReplicaState) {}

  /**
   * Takes a leader's append; the answer goes out once its entries are synced.
   * @param from The leader.
   * @param message The append, of the current term.
   */
  public onAppend (from: ReplicaId, message: AppendRequest): void {
    const { log, commitIndex } = this._state
    const match = message.prevIndex + message.entries.length
    if (match <= commitIndex) return this._answer(from, message, commitIndex)
    const known = message.prevIndex <= commitIndex || log.termAt(message.prevIndex) === message.prevTerm
    if (!known) return this._refuse(from, message)
    this._store(message.entries.filter(entry => entry.index > commitIndex))
    this._state.commitTo(Math.min(message.commit, match))
    this._state.become(this._state.isMember ? 'follower' : 'recovering', from)
    this._answer(from, message, match)
  }

  private _store (entries: readonly LogEntry[]): void {
    const { log } = this._state
    const first = entries.findIndex(entry => log.termAt(entry.index) !== entry.term)
    if (first < 0) return
    const missing = entries.slice(first)
    const from = missing[0]!.index
    const conflict = from <= log.lastIndex
    if (conflict) log.truncate(from)
    missing.forEach(entry => log.append(entry))
    this._state.persist(conflict ? { truncateFrom: from, entries: missing } : { entries: missing })
  }

  private _answer (to: ReplicaId, { round, sentAtMs }: AppendRequest, match: number): void {
    const { term } = this._state
    this._state.send(to, {
      type: 'appendReply', term, success: true, match, conflictIndex: 0, conflictTerm: -1, round, sentAtMs
    })
  }

  private _refuse (to: ReplicaId, { prevIndex, round, sentAtMs }: AppendRequest): void {
    const { log, term, commitIndex } = this._state
    const conflictTerm = log.termAt(prevIndex) ?? -1
    const conflictIndex = conflictTerm < 0 ? log.lastIndex + 1 : log.firstOfTerm(prevIndex, commitIndex + 1)
    this._state.send(to, {
      type: 'appendReply', term, success: false, match: 0, conflictIndex, conflictTerm, round, sentAtMs
    })
  }
}
