import type { AgreementAction, LogEntry, Snapshot } from '../../src/parts/agreement/Types.js'
import type { ReplicaId } from '../../src/parts/Types.js'

/** Thrown when a schedule shows a broken promise. */
export class InvariantViolation extends Error {
  /**
   * @param invariant Name of the promise.
   * @param detail What was seen.
   */
  public constructor (public readonly invariant: string, detail: string) {
    super(`${invariant}: ${detail}`)
    this.name = 'InvariantViolation'
  }
}

const DECODER = new TextDecoder()

/** What must hold after every step, over all replicas of one run. */
export class GroupInvariants {
  private readonly _leaders = new Map<number, ReplicaId>()
  private readonly _committed = new Map<number, LogEntry>()
  private readonly _states = new Map<number, string>([[0, '']])
  private readonly _notRunTexts = new Set<string>()
  private readonly _minReadIndexes = new Map<number, number>()
  private readonly _committedTexts = new Set<string>()
  private _acknowledged = 0

  /** Highest index that a proposer was told is committed. */
  public get acknowledged (): number {
    return this._acknowledged
  }

  /** One leader in each term. */
  public recordLeader (replica: ReplicaId, term: number): void {
    const other = this._leaders.get(term)
    if (other !== undefined && other !== replica) {
      throw new InvariantViolation('one leader a term', `${other} and ${replica} lead term ${term}`)
    }
    this._leaders.set(term, replica)
  }

  /** Committed entries stay and are the same everywhere; state machines agree. Returns the state after it. */
  public recordCommit (replica: ReplicaId, before: string, entry: LogEntry): string {
    const known = this._committed.get(entry.index)
    const text = DECODER.decode(entry.data)
    const same = known === undefined || (known.term === entry.term && DECODER.decode(known.data) === text)
    if (!same) {
      throw new InvariantViolation('committed entries stay',
        `${replica} commits ${entry.index}@${entry.term} "${text}" over @${known.term} "${DECODER.decode(known.data)}"`)
    }
    if (entry.kind === 'command' && this._notRunTexts.has(text)) {
      throw new InvariantViolation('not-run is true', `"${text}" commits at ${entry.index}`)
    }
    this._committed.set(entry.index, entry)
    this._committedTexts.add(text)
    return this._checkState(replica, entry.index, `${before.slice(-60)}|${entry.term}:${text}`)
  }

  /** A snapshot holds the state of its index. */
  public recordRestore (replica: ReplicaId, snapshot: Snapshot, applied: number): string {
    if (snapshot.index < applied) {
      throw new InvariantViolation('state never goes back', `${replica} restores ${snapshot.index} over ${applied}`)
    }
    return this._checkState(replica, snapshot.index, DECODER.decode(snapshot.data))
  }

  /** Notes what a proposer is told. */
  public recordProposalResult (action: Extract<AgreementAction, { type: 'commit' | 'rejected' }>, text: string | undefined): void {
    if (action.type === 'commit') {
      this._acknowledged = Math.max(this._acknowledged, action.entry.index)
      return
    }
    if (text === undefined || action.state !== 'not-run') return
    if (this._committedTexts.has(text)) throw new InvariantViolation('not-run is true', `"${text}" was committed`)
    this._notRunTexts.add(text)
  }

  /** Notes what a read that begins now must at least see. */
  public recordReadStart (id: number): void {
    this._minReadIndexes.set(id, this._acknowledged)
  }

  /** Reads are not older than the last commit acknowledged before they began. */
  public checkRead (replica: ReplicaId, id: number, index: number, applied: number): void {
    const minIndex = this._minReadIndexes.get(id) ?? 0
    if (index < minIndex || applied < index) {
      throw new InvariantViolation('reads are linearizable', `${replica} serves ${index} (applied ${applied}) under ${minIndex}`)
    }
  }

  private _checkState (replica: ReplicaId, index: number, state: string): string {
    const known = this._states.get(index)
    if (known !== undefined && known !== state) {
      throw new InvariantViolation('state machines agree', `${replica} at ${index}: "${state}" against "${known}"`)
    }
    this._states.set(index, state)
    return state
  }
}
