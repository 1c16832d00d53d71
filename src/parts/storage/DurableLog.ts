import type { HardState, LogEntry, Snapshot } from '../agreement/Types.js'
import { ASIDE_SUFFIX, LOG_MAGIC, SYNC_MARK_FILE } from './Constants.js'
import { continues, LogReader, type Segment } from './LogReader.js'
import { encodeHeader, encodeRecord } from './RecordFormat.js'
import { fileNumber, SnapshotWriter } from './SnapshotWriter.js'
import { StorageFault } from './StorageFault.js'
import type { Corruption, Disk, Opened, Persistence, StoredRecord } from './Types.js'

/** A snapshot that is being written while the log goes on. */
interface PreparedSnapshot {
  readonly writer: SnapshotWriter
  /** What the next segment starts with, as of the beginning; the rest is copied from the old one. */
  readonly head: readonly StoredRecord[]
  /** Length of the segment at the beginning. */
  readonly offset: number
  readonly batch: number
}

const EMPTY_SNAPSHOT: Snapshot = { index: 0, term: 0, members: [], data: new Uint8Array(0) }

/**
 * Write-ahead log with snapshots over a disk. Records are staged, then written and synced together by
 * `flush` (group commit). A snapshot is written aside and renamed; then a new segment with what follows
 * it replaces the old one.
 *
 * Memory: references to the entries since the newest snapshot, which the replica holds anyway, and the staged bytes.
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
  private _prepared: PreparedSnapshot | undefined
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
    if (segment.content.base.index > stored.content.index) {
      return corrupted({ file: logFile, offset: 0, problem: 'it follows a snapshot that is missing' })
    }
    return this._recover(segment.content, stored.content)
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

  /**
   * Starts to write a snapshot while the log goes on; it comes into force when it is staged.
   * @param index Index that it will have.
   */
  public beginSnapshot (index: number): void {
    this._check()
    this.abortSnapshot()
    if (this._staged.length > 0) this._writeStaged()
    const head: StoredRecord[] = [{ type: 'hard', hard: this._hard }]
    this._entries.filter(entry => entry.index > index).forEach(entry => head.push({ type: 'entry', entry }))
    const writer = this._guard(() => new SnapshotWriter(this._disk, index))
    this._prepared = { writer, head, offset: this._length, batch: this._batch }
  }

  /**
   * Writes the next bytes of the snapshot that was begun.
   * @param data Bytes of the state.
   */
  public addSnapshotPart (data: Uint8Array): void {
    this._check()
    this._guard(() => this._prepared?.writer.add(data))
  }

  /** Drops the snapshot that was begun, if there is one. */
  public abortSnapshot (): void {
    this._prepared?.writer.abort()
    this._prepared = undefined
  }

  private _stageHard (hard: HardState): void {
    this._hard = hard
    this._stageRecord({ type: 'hard', hard })
  }

  private _stageTruncation (from: number): void {
    this._entries = this._entries.filter(entry => entry.index < from)
    this._stageRecord({ type: 'truncate', from })
  }

  private _stageSnapshot (snapshot: Snapshot, truncateFrom?: number): void {
    if (this._staged.length > 0) this._writeStaged()
    const { index, bytes } = this._prepared?.writer ?? {}
    const ready = index === snapshot.index && bytes === snapshot.data.length && truncateFrom === undefined
    if (ready) return this._adopt(this._prepared!, snapshot)
    this.abortSnapshot()
    const until = truncateFrom ?? Infinity
    this._replace(snapshot, this._entries.filter(entry => entry.index > snapshot.index && entry.index < until))
  }

  private _stageRecord (record: StoredRecord): void {
    this._staged.push(encodeRecord(record, this._batch + 1))
  }

  private _writeStaged (): void {
    const bytes = Buffer.concat(this._staged)
    this._guard(() => this._appendWhole(bytes))
    this._guard(() => this._disk.sync(this._file))
    this._staged = []
    this._batch++
    this._length += bytes.length
    this._writeMark()
  }

  /** Appends all or, on a full disk, nothing. */
  private _appendWhole (bytes: Uint8Array): void {
    try {
      this._disk.append(this._file, bytes)
    } catch (error) {
      this._disk.truncate(this._file, this._length)
      throw error
    }
  }

  /** Puts a snapshot in force that was written beforehand; the segment's end is copied as it is. */
  private _adopt (prepared: PreparedSnapshot, snapshot: Snapshot): void {
    const { writer, head, offset, batch } = prepared
    this._guard(() => writer.finish(snapshot, this._identity))
    const tail = this._disk.read(this._file).subarray(offset, this._length)
    this._startSegment(snapshot, head, batch, tail)
    this._entries = this._entries.filter(entry => entry.index > snapshot.index)
    this._prepared = undefined
  }

  /** Writes a snapshot and a segment that follows it, then drops the old ones. */
  private _replace (snapshot: Snapshot, entries: LogEntry[]): void {
    this._guard(() => {
      const writer = new SnapshotWriter(this._disk, snapshot.index)
      writer.add(snapshot.data)
      writer.finish(snapshot, this._identity)
    })
    const head: StoredRecord[] = [{ type: 'hard', hard: this._hard }]
    entries.forEach(entry => head.push({ type: 'entry', entry }))
    this._batch++
    this._startSegment(snapshot, head, this._batch, new Uint8Array(0))
    this._entries = entries
  }

  private _startSegment (
    { index, term }: Snapshot,
    head: readonly StoredRecord[],
    batch: number,
    tail: Uint8Array
  ): void {
    const number = this._number + 1
    const file = `log-${fileNumber(number)}`
    const base: StoredRecord = { type: 'base', index, term, identity: this._identity }
    const records = [base, ...head].map(record => encodeRecord(record, batch))
    const length = this._writeAside(file, [encodeHeader(LOG_MAGIC), ...records, tail])
    this._file = file
    this._number = number
    this._length = length
    this._removeLeftovers()
    this._writeMark()
  }

  private _writeAside (file: string, parts: readonly Uint8Array[]): number {
    const aside = file + ASIDE_SUFFIX
    const bytes = Buffer.concat(parts)
    this._guard(() => {
      this._disk.write(aside, bytes)
      this._disk.sync(aside)
      this._disk.rename(aside, file)
      this._disk.syncFolder()
    })
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
    const usable = continues(segment, snapshot)
    const entries = usable ? segment.entries.filter(entry => entry.index > snapshot.index) : []
    this._identity = segment.base.identity
    this._hard = segment.hard
    this._entries = entries
    this._file = segment.file
    this._number = Number(segment.file.slice('log-'.length))
    this._length = segment.length
    this._batch = segment.batch
    this._removeLeftovers()
    if (segment.tornBytes > 0) this._cut(segment)
    if (!usable) this._replace(snapshot, entries)
    const state = { hard: this._hard, snapshot, entries: [...entries] }
    return { type: 'recovered', identity: this._identity, state, cutBytes: segment.tornBytes }
  }

  private _cut (segment: Segment): void {
    this._disk.truncate(segment.file, segment.length)
    this._guard(() => this._disk.sync(segment.file))
  }

  private _removeLeftovers (): void {
    this._reader.leftovers().forEach(file => this._disk.remove(file))
  }

  /** A disk that is full may be tried again; after any other failure nothing is sure any more. */
  private _guard<Result> (action: () => Result): Result {
    try {
      return action()
    } catch (error) {
      const fault = error instanceof StorageFault ? error : new StorageFault('io', this._file, String(error))
      if (fault.failure !== 'full') this._fault = fault
      throw fault
    }
  }

  private _check (): void {
    if (this._fault !== undefined) throw this._fault
  }
}

function corrupted (...corruptions: Corruption[]): Opened {
  return { type: 'corrupt', corruptions }
}
