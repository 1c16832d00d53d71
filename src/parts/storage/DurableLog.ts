import type { HardState, LogEntry, Snapshot } from '../agreement/Types.js'
import { ASIDE_SUFFIX, LOG_MAGIC, SNAPSHOT_MAGIC, SYNC_MARK_FILE } from './Constants.js'
import { entriesAfter, LogReader, type Segment } from './LogReader.js'
import { encodeHeader, encodeRecord } from './RecordFormat.js'
import { StorageFault } from './StorageFault.js'
import type { Corruption, Disk, Opened, Persistence, StoredRecord } from './Types.js'

const FILE_NUMBER_DIGITS = 15
const EMPTY_SNAPSHOT: Snapshot = { index: 0, term: 0, members: [], data: new Uint8Array(0) }

/**
 * Write-ahead log with snapshots over a disk. Records are staged, then written and synced together by
 * `flush` (group commit). A snapshot is written aside and renamed; then a new segment with what follows
 * it replaces the old one.
 *
 * Memory: the entries since the newest snapshot, which the replica holds anyway, and the staged bytes.
 *
 * Every method throws `StorageFault`. After `full` the staged records stay and `flush` may be tried
 * again; after `sync-failed` nothing works any more and the process must stop.
 */
export class DurableLog {
  private readonly _reader: LogReader
  private _identity = ''
  private _hard: HardState = { term: 0, votedFor: undefined }
  private _entries: LogEntry[] = []
  private _file = ''
  private _number = 0
  private _length = 0
  private _batch = 0
  private _staged: Uint8Array[] = []
  private _stagedSequence = 0
  private _flushedSequence = 0
  private _fault: StorageFault | undefined

  /**
   * @param _disk Where the files are.
   */
  public constructor (private readonly _disk: Disk) {
    this._reader = new LogReader(_disk)
  }

  /** Bytes of the segment in force; a host takes a snapshot when it has grown. */
  public get segmentBytes (): number {
    return this._length
  }

  /** True when something waits for `flush`. */
  public get hasStaged (): boolean {
    return this._stagedSequence > this._flushedSequence
  }

  /**
   * Reads what the disk holds. A tail that was never synced is cut; other damage is told with its place,
   * and then nothing is changed.
   */
  public open (): Opened {
    const snapshotFile = this._reader.newestSnapshot()
    const logFile = this._reader.newestLog()
    if (snapshotFile === undefined && logFile === undefined) return { type: 'empty' }
    if (snapshotFile === undefined) return corrupted({ file: logFile!, offset: 0, problem: 'its snapshot is missing' })
    if (logFile === undefined) return corrupted({ file: snapshotFile, offset: 0, problem: 'its log is missing' })
    const stored = this._reader.readSnapshot(snapshotFile)
    const segment = this._reader.readLog(logFile)
    const corruptions = [stored, segment].flatMap(item => item.type === 'corrupt' ? [item.corruption] : [])
    if (stored.type === 'corrupt' || segment.type === 'corrupt') return corrupted(...corruptions)
    if (segment.content.base.index > stored.content.snapshot.index) {
      return corrupted({ file: logFile, offset: 0, problem: 'it follows a snapshot that is missing' })
    }
    return this._recover(segment.content, stored.content.snapshot)
  }

  /**
   * Starts an empty log under a new identity.
   * @param identity Unique name of this disk's replica; lost with the disk.
   */
  public create (identity: string): void {
    this._identity = identity
    this._replace(EMPTY_SNAPSHOT, [])
  }

  /**
   * Takes what must be kept; nothing is kept before `flush` has returned. A snapshot is written at once.
   * @param what Parts that changed.
   */
  public stage (what: Persistence): void {
    this._check()
    if (what.hard !== undefined) this._stageHard(what.hard)
    if (what.snapshot !== undefined) this._stageSnapshot(what.snapshot, what.truncateFrom)
    else if (what.truncateFrom !== undefined) this._stageTruncation(what.truncateFrom)
    for (const entry of what.entries) {
      this._entries.push(entry)
      this._stageRecord({ type: 'entry', entry })
    }
    this._stagedSequence = what.sequence
  }

  /**
   * Writes and syncs what was staged.
   * @returns Sequence up to which all is kept.
   */
  public flush (): number {
    this._check()
    if (this._staged.length > 0) this._writeStaged()
    this._flushedSequence = this._stagedSequence
    return this._flushedSequence
  }

  private _stageHard (hard: HardState): void {
    this._hard = hard
    this._stageRecord({ type: 'hard', hard })
  }

  private _stageTruncation (from: number): void {
    this._entries = this._entries.filter(entry => entry.index < from)
    this._stageRecord({ type: 'truncate', from })
  }

  private _stageSnapshot (snapshot: Snapshot, truncateFrom = Infinity): void {
    if (this._staged.length > 0) this._writeStaged()
    this._replace(snapshot, this._entries.filter(entry => entry.index > snapshot.index && entry.index < truncateFrom))
  }

  private _stageRecord (record: StoredRecord): void {
    this._staged.push(encodeRecord(record, this._batch + 1))
  }

  private _writeStaged (): void {
    const bytes = Buffer.concat(this._staged)
    this._attempt(() => this._disk.append(this._file, bytes), () => this._disk.truncate(this._file, this._length))
    this._sync(() => this._disk.sync(this._file))
    this._staged = []
    this._batch++
    this._length += bytes.length
    this._writeMark()
  }

  /** Writes a snapshot and a segment that follows it, then drops the old ones. */
  private _replace (snapshot: Snapshot, entries: LogEntry[]): void {
    const snapshotFile = `snapshot-${fileNumber(snapshot.index)}`
    const body = { identity: this._identity, snapshot }
    this._writeAside(snapshotFile, [encodeHeader(SNAPSHOT_MAGIC), encodeRecord(body, 0)])
    const number = this._number + 1
    const file = `log-${fileNumber(number)}`
    const base: StoredRecord = { type: 'base', index: snapshot.index, term: snapshot.term, identity: this._identity }
    const records: StoredRecord[] = [base, { type: 'hard', hard: this._hard }]
    entries.forEach(entry => records.push({ type: 'entry', entry }))
    const batch = this._batch + 1
    const written = this._writeAside(file, [encodeHeader(LOG_MAGIC), ...records.map(item => encodeRecord(item, batch))])
    this._entries = entries
    this._file = file
    this._number = number
    this._batch = batch
    this._length = written
    this._removeLeftovers()
    this._writeMark()
  }

  private _writeAside (file: string, parts: readonly Uint8Array[]): number {
    const aside = file + ASIDE_SUFFIX
    const bytes = Buffer.concat(parts)
    this._attempt(() => this._disk.write(aside, bytes), () => this._disk.remove(aside))
    this._sync(() => this._disk.sync(aside))
    this._disk.rename(aside, file)
    this._sync(() => this._disk.syncFolder())
    return bytes.length
  }

  /** The mark is not synced: it proves damage after a restart of the process, and may lag after a power cut. */
  private _writeMark (): void {
    const mark = encodeRecord({ file: this._file, length: this._length }, 0)
    try {
      this._disk.write(SYNC_MARK_FILE, mark)
    } catch {
      // Without a mark only damage before the last batch is told from a torn tail.
    }
  }

  private _recover (segment: Segment, snapshot: Snapshot): Opened {
    const entries = entriesAfter(segment, snapshot)
    this._identity = segment.base.identity
    this._hard = segment.hard
    this._entries = entries
    this._file = segment.file
    this._number = Number(segment.file.slice('log-'.length))
    this._length = segment.length
    this._batch = segment.batch
    this._removeLeftovers()
    if (segment.tornBytes > 0) this._cut(segment)
    if (segment.base.index !== snapshot.index) this._replace(snapshot, entries)
    const state = { hard: this._hard, snapshot, entries: [...entries] }
    return { type: 'recovered', identity: this._identity, state, cutBytes: segment.tornBytes }
  }

  private _cut (segment: Segment): void {
    this._disk.truncate(segment.file, segment.length)
    this._sync(() => this._disk.sync(segment.file))
  }

  private _removeLeftovers (): void {
    this._reader.leftovers().forEach(file => this._disk.remove(file))
  }

  private _attempt (write: () => void, undo: () => void): void {
    try {
      write()
    } catch (error) {
      undo()
      throw error
    }
  }

  private _sync (action: () => void): void {
    try {
      action()
    } catch (error) {
      this._fault = error instanceof StorageFault
        ? error
        : new StorageFault('sync-failed', this._file, String(error))
      throw this._fault
    }
  }

  private _check (): void {
    if (this._fault !== undefined) throw this._fault
  }
}

function corrupted (...corruptions: Corruption[]): Opened {
  return { type: 'corrupt', corruptions }
}

function fileNumber (number: number): string {
  return String(number).padStart(FILE_NUMBER_DIGITS, '0')
}
