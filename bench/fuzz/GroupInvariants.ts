import type { AgreementAction, LogEntry, Snapshot } from '../../src/parts/agreement/Types.js'
import type { ReplicaId } from '../../src/parts/Types.js'

/** Thrown when a schedule violates an invariant. */
export class InvariantViolation extends Error {
  /**
   * @param invariant Name of the invariant.
   * @param detail Replicas and values that violate it.
   */
  public constructor (public readonly invariant: string, detail: string) {
    super(`${invariant}: ${detail}`)
    this.name = 'InvariantViolation'
  }
}

const DECODER = new TextDecoder()

/** Checks the safety properties of the agreement over all replicas of one run, after every step. */
export class GroupInvariants {
  private readonly _leaders = new Map<number, ReplicaId>()
  private readonly _committed = new Map<number, LogEntry>()
  private readonly _states = new Map<number, string>([[0, '']])
  private readonly _notRunTexts = new Set<string>()
  private readonly _minReadIndexes = new Map<number, number>()
  private readonly _committedTexts = new Set<string>()
  private _acknowledged = 0

  /** Highest index whose commit was reported to a proposer. */
  public get acknowledged (): number {
    return this._acknowledged
  }

  /** Checks that each term has at most one leader. */
  public recordLeader (replica: ReplicaId, term: number): void {
    const other = this._leaders.get(term)
    if (other !== undefined && other !== replica) {
      throw new InvariantViolation('at most one leader per term', `${other} and ${replica} lead term ${term}`)
    }
    this._leaders.set(term, replica)
  }

  /**
   * Checks that a committed entry never changes, is the same at all replicas, and leads to the same state everywhere.
   * Returns that state.
   */
  public recordCommit (replica: ReplicaId, before: string, entry: LogEntry): string {
    const known = this._committed.get(entry.index)
    const text = DECODER.decode(entry.data)
    const same = known === undefined || (known.term === entry.term && DECODER.decode(known.data) === text)
    if (!same) {
      throw new InvariantViolation('committed entries never change',
        `${replica} commits ${entry.index}@${entry.term} "${text}" over @${known.term} "${DECODER.decode(known.data)}"`)
    }
    if (entry.kind === 'command' && this._notRunTexts.has(text)) {
      throw new InvariantViolation('not-run proposals never commit', `"${text}" commits at ${entry.index}`)
    }
    this._committed.set(entry.index, entry)
    this._committedTexts.add(text)
    return this._checkState(replica, entry.index, `${before.slice(-60)}|${entry.term}:${text}`)
  }

  /** Checks that a restored snapshot is not older than the state and has the state of its index. */
  public recordRestore (replica: ReplicaId, snapshot: Snapshot, applied: number): string {
    if (snapshot.index < applied) {
      throw new InvariantViolation('applied state never gets older', `${replica} restores ${snapshot.index} over ${applied}`)
    }
    return this._checkState(replica, snapshot.index, DECODER.decode(snapshot.data))
  }

  /** Records the result that a proposer receives; checks that a proposal reported as not-run never commits. */
  public recordProposalResult (action: Extract<AgreementAction, { type: 'commit' | 'rejected' }>, text: string | undefined): void {
    if (action.type === 'commit') {
      this._acknowledged = Math.max(this._acknowledged, action.entry.index)
      return
    }
    if (text === undefined || action.state !== 'not-run') return
    if (this._committedTexts.has(text)) throw new InvariantViolation('not-run proposals never commit', `"${text}" was committed`)
    this._notRunTexts.add(text)
  }

  /** Records the lowest index that a read may return when it starts now. */
  public recordReadStart (id: number): void {
    this._minReadIndexes.set(id, this._acknowledged)
  }

  /** Checks that a read is not older than the last commit acknowledged before it started. */
  public checkRead (replica: ReplicaId, id: number, index: number, applied: number): void {
    const minIndex = this._minReadIndexes.get(id) ?? 0
    if (index < minIndex || applied < index) {
      throw new InvariantViolation('reads are linearizable', `${replica} serves ${index} (applied ${applied}) below ${minIndex}`)
    }
  }

  private _checkState (replica: ReplicaId, index: number, state: string): string {
    const known = this._states.get(index)
    if (known !== undefined && known !== state) {
      throw new InvariantViolation('state machines agree', `${replica} at ${index}: "${state}" instead of "${known}"`)
    }
    this._states.set(index, state)
    return state
  }
}
