import type { ReplicaId } from '../Types.js'
import { ENTRY_OVERHEAD_BYTES } from './Constants.js'
import { decodeMembers } from './Members.js'
import type { LogEntry, RecoveredState, Snapshot } from './Types.js'

/** Members of the group from an index of the log on. */
interface IndexedMembers {
  readonly index: number
  readonly members: readonly ReplicaId[]
}

/**
 * In-memory log of a replica: a base position, the entries after it, and the newest snapshot.
 *
 * Memory: the snapshot, the entries since it and the retained entries before it.
 */
export class ReplicaLog {
  private _snapshot: Snapshot
  private _baseIndex: number
  private _baseTerm: number
  private _entries: LogEntry[]
  private _bytes = 0
  private _memberships: IndexedMembers[]

  /**
   * @param recovered State that storage recovered.
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

  /** Index just before the first entry in memory. */
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

  /** Current members: those of the newest membership entry, committed or not. */
  public get members (): readonly ReplicaId[] {
    return this._memberships.at(-1)?.members ?? []
  }

  /** Index of the newest membership entry. */
  public get membersIndex (): number {
    return this._memberships.at(-1)?.index ?? 0
  }

  /**
   * Returns the members of the group as of an index.
   * @param index An index at or after the snapshot.
   */
  public membersAt (index: number): readonly ReplicaId[] {
    return this._memberships.findLast(item => item.index <= index)?.members ?? []
  }

  /** Returns the term at an index, or undefined if it is not in memory. */
  public termAt (index: number): number | undefined {
    if (index === this._baseIndex) return this._baseTerm
    return this.entryAt(index)?.term
  }

  /** Returns the entry at an index, or undefined if it is not in memory. */
  public entryAt (index: number): LogEntry | undefined {
    return index > this._baseIndex ? this._entries[index - this._baseIndex - 1] : undefined
  }

  /**
   * Returns the entries from an index on, within limits; at least one if there is any.
   * @param from First index.
   * @param maxEntries Maximum number of entries.
   * @param maxBytes Maximum size of all entries in bytes; a first entry that is larger is returned alone.
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
   * Appends the next entry.
   * @param entry Entry with the index after the last one.
   * @throws Error if its index is another one.
   */
  public append (entry: LogEntry): void {
    if (entry.index !== this.lastIndex + 1) {
      throw new Error(`log entry ${entry.index} cannot be appended after entry ${this.lastIndex}`)
    }
    this._entries.push(entry)
    this._bytes += entryBytes(entry)
    if (entry.kind === 'members') {
      this._memberships.push({ index: entry.index, members: decodeMembers(entry.data) })
    }
  }

  /**
   * Removes the entries from an index on.
   * @param from First index to remove.
   */
  public truncate (from: number): void {
    const removed = this._entries.splice(Math.max(0, from - this._baseIndex - 1))
    removed.forEach(entry => { this._bytes -= entryBytes(entry) })
    while (this._memberships.length > 1 && this._memberships.at(-1)!.index >= from) {
      this._memberships.pop()
    }
  }

  /**
   * Sets a snapshot of this replica's own state as the newest one and drops the entries before it, except the last
   * ones.
   * @param snapshot Snapshot whose index is in the log.
   * @param retainedEntries Most entries before it that stay in memory.
   * @param retainedBytes Most bytes of these entries.
   */
  public compact (snapshot: Snapshot, retainedEntries: number, retainedBytes: number): void {
    this._snapshot = snapshot
    this._memberships = [
      { index: snapshot.index, members: snapshot.members },
      ...this._memberships.filter(item => item.index > snapshot.index)
    ]
    const base = this._retainedBase(snapshot.index, retainedEntries, retainedBytes)
    const term = this.termAt(base)!
    const removed = this._entries.splice(0, base - this._baseIndex)
    removed.forEach(entry => { this._bytes -= entryBytes(entry) })
    this._baseIndex = base
    this._baseTerm = term
  }

  /**
   * Installs a snapshot from the leader. Entries after it are kept only if the log holds its last entry.
   * @returns True if the entries after it were kept.
   */
  public installSnapshot (snapshot: Snapshot): boolean {
    const holdsLastEntry = this.termAt(snapshot.index) === snapshot.term
    if (holdsLastEntry) {
      this.compact(snapshot, 0, 0)
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
   * Returns the first index, not before `floor`, of the consecutive entries that share the term at `index`.
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
   * Returns the last index at or before `from` whose term is at most `term`, or `baseIndex - 1` if there is none.
   * @param from Index at which the backward search starts.
   * @param term Highest term.
   */
  public lastIndexUpToTerm (from: number, term: number): number {
    let index = Math.min(from, this.lastIndex)
    while (index >= this._baseIndex && this.termAt(index)! > term) index--
    return index
  }

  /** Returns the index just before the entries that stay in memory before a snapshot. */
  private _retainedBase (snapshotIndex: number, retainedEntries: number, retainedBytes: number): number {
    const lowest = Math.max(this._baseIndex, snapshotIndex - retainedEntries)
    let base = snapshotIndex
    let bytes = 0
    while (base > lowest) {
      bytes += entryBytes(this.entryAt(base)!)
      if (bytes > retainedBytes) break
      base--
    }
    return base
  }
}

/** Returns the size in bytes at which an entry counts against the limits. */
export function entryBytes (entry: LogEntry): number {
  return entry.data.length + ENTRY_OVERHEAD_BYTES
}
