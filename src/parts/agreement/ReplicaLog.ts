import type { ReplicaId } from '../Types.js'
import { ENTRY_OVERHEAD_BYTES } from './Constants.js'
import { decodeMembers } from './Members.js'
import type { LogEntry, RecoveredState, Snapshot } from './Types.js'

/** Membership that takes effect at an index of the log. */
interface IndexedMembers {
  readonly index: number
  readonly members: readonly ReplicaId[]
}

/**
 * The log of a replica in memory: a base position and the entries after it, with the newest
 * snapshot beside it. Memory is the snapshot plus the entries since it plus the retained ones.
 */
export class ReplicaLog {
  private _snapshot: Snapshot
  private _baseIndex: number
  private _baseTerm: number
  private _entries: LogEntry[]
  private _bytes = 0
  private _memberships: IndexedMembers[]

  /**
   * @param recovered What storage found.
   */
  public constructor (recovered: RecoveredState) {
    this._snapshot = recovered.snapshot
    this._baseIndex = recovered.snapshot.index
    this._baseTerm = recovered.snapshot.term
    this._entries = []
    this._memberships = [{ index: recovered.snapshot.index, members: recovered.snapshot.members }]
    recovered.entries.forEach(entry => this.append(entry))
  }

  /** Newest snapshot. */
  public get snapshot (): Snapshot {
    return this._snapshot
  }

  /** Index before the first entry in memory. */
  public get baseIndex (): number {
    return this._baseIndex
  }

  /** Index of the last entry. */
  public get lastIndex (): number {
    return this._baseIndex + this._entries.length
  }

  /** Term of the last entry. */
  public get lastTerm (): number {
    return this._entries.at(-1)?.term ?? this._baseTerm
  }

  /** Bytes of the entries in memory. */
  public get bytes (): number {
    return this._bytes
  }

  /** Members in force: those of the newest membership entry, committed or not. */
  public get members (): readonly ReplicaId[] {
    return this._memberships.at(-1)?.members ?? []
  }

  /** Index of the newest membership entry. */
  public get membersIndex (): number {
    return this._memberships.at(-1)?.index ?? 0
  }

  /**
   * Returns the members in force at an index.
   * @param index An index at or after the snapshot.
   */
  public membersAt (index: number): readonly ReplicaId[] {
    return this._memberships.findLast(item => item.index <= index)?.members ?? []
  }

  /**
   * Returns the term at an index, or undefined when it is not in memory.
   * @param index Index asked for.
   */
  public termAt (index: number): number | undefined {
    if (index === this._baseIndex) return this._baseTerm
    return this.entryAt(index)?.term
  }

  /**
   * Returns the entry at an index, if it is in memory.
   * @param index Index asked for.
   */
  public entryAt (index: number): LogEntry | undefined {
    return index > this._baseIndex ? this._entries[index - this._baseIndex - 1] : undefined
  }

  /**
   * Returns entries from an index on, within limits; at least one when there is any.
   * @param from First index.
   * @param maxEntries Most entries.
   * @param maxBytes Most bytes, but for a first entry that is larger.
   */
  public slice (from: number, maxEntries: number, maxBytes: number): LogEntry[] {
    const entries: LogEntry[] = []
    let bytes = 0
    for (let index = from; index <= this.lastIndex && entries.length < maxEntries; index++) {
      const entry = this.entryAt(index)!
      bytes += entryBytes(entry)
      if (entries.length > 0 && bytes > maxBytes) break
      entries.push(entry)
    }
    return entries
  }

  /**
   * Appends the entry that follows the last one.
   * @param entry The entry.
   * @throws Error when its index does not follow.
   */
  public append (entry: LogEntry): void {
    if (entry.index !== this.lastIndex + 1) {
      throw new Error(`entry ${entry.index} does not follow ${this.lastIndex}`)
    }
    this._entries.push(entry)
    this._bytes += entryBytes(entry)
    if (entry.kind === 'members') {
      this._memberships.push({ index: entry.index, members: decodeMembers(entry.data) })
    }
  }

  /**
   * Removes the entries from an index on.
   * @param from First index that goes.
   */
  public truncate (from: number): void {
    const removed = this._entries.splice(Math.max(0, from - this._baseIndex - 1))
    removed.forEach(entry => { this._bytes -= entryBytes(entry) })
    while (this._memberships.length > 1 && this._memberships.at(-1)!.index >= from) {
      this._memberships.pop()
    }
  }

  /**
   * Puts a snapshot of the own state in force and drops the entries before it, but for some.
   * @param snapshot The snapshot; its index is in the log.
   * @param retained Entries before it that stay in memory.
   */
  public compact (snapshot: Snapshot, retainedEntries: number): void {
    this._snapshot = snapshot
    this._memberships = [
      { index: snapshot.index, members: snapshot.members },
      ...this._memberships.filter(item => item.index > snapshot.index)
    ]
    const base = Math.max(this._baseIndex, snapshot.index - retainedEntries)
    const term = this.termAt(base)!
    const removed = this._entries.splice(0, base - this._baseIndex)
    removed.forEach(entry => { this._bytes -= entryBytes(entry) })
    this._baseIndex = base
    this._baseTerm = term
  }

  /**
   * Puts a leader's snapshot in force. Entries after it stay only when the log holds its last entry.
   * @param snapshot The snapshot.
   * @returns True when the entries after it were kept.
   */
  public installSnapshot (snapshot: Snapshot): boolean {
    const holdsLastEntry = this.termAt(snapshot.index) === snapshot.term
    if (holdsLastEntry) {
      this.compact(snapshot, 0)
      return true
    }
    this._snapshot = snapshot
    this._entries = []
    this._bytes = 0
    this._baseIndex = snapshot.index
    this._baseTerm = snapshot.term
    this._memberships = [{ index: snapshot.index, members: snapshot.members }]
    return false
  }

  /**
   * Returns the first index, not before `floor`, of the run of entries that share the term at `index`.
   * @param index An index in memory.
   * @param floor Lowest index to return.
   */
  public firstIndexOfTerm (index: number, floor: number): number {
    const term = this.termAt(index)
    let first = index
    while (first > floor && first - 1 > this._baseIndex && this.termAt(first - 1) === term) first--
    return Math.max(first, floor)
  }

  /**
   * Returns the last index at or before `from` whose term is at most `term`; one before the log in memory
   * when there is none.
   * @param from Where the search starts.
   * @param term The term.
   */
  public lastIndexUpToTerm (from: number, term: number): number {
    let index = Math.min(from, this.lastIndex)
    while (index >= this._baseIndex && this.termAt(index)! > term) index--
    return index
  }
}

/**
 * Returns the bytes that an entry counts for in the limits.
 * @param entry The entry.
 */
export function entryBytes (entry: LogEntry): number {
  return entry.data.length + ENTRY_OVERHEAD_BYTES
}
