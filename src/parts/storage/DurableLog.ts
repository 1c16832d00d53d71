import type { HardState, LogEntry, Snapshot } from '../agreement/Types.js'
import { SEGMENT_MAGIC, SYNCED_LENGTH_FILE, TEMPORARY_SUFFIX } from './Constants.js'
import { followsSnapshot, LogReader, type Segment } from './LogReader.js'
import { encodeHeader, encodeRecord } from './RecordFormat.js'
import { formatFileNumber, SnapshotWriter } from './SnapshotWriter.js'
import { StorageFault } from './StorageFault.js'
import type { Corruption, Disk, LogRecord, OpenResult, PersistRequest } from './Types.js'

/** A snapshot that is being written while the log accepts further records. */
interface PendingSnapshot {
  readonly writer: SnapshotWriter
  /** First records of the next segment, as of the snapshot's begin; later ones are copied from the current segment. */
  readonly head: readonly LogRecord[]
  /** Length of the current segment when the snapshot was begun. */
  readonly offset: number
  /** Last batch that was written before the snapshot was begun. */
  readonly batch: number
}

const EMPTY_SNAPSHOT: Snapshot = { index: 0, term: 0, members: [], data: new Uint8Array(0) }

/**
 * Write-ahead log with snapshots. Records are staged, then written and synced together by `flush` (group commit).
 * A snapshot is written to a temporary file and renamed; then a new segment with the entries after the snapshot
 * replaces the old segment.
 *
 * Memory: references to the entries since the newest snapshot, which the replica holds anyway, and the staged bytes.
 *
 * Methods that use the disk throw `StorageFault`. After `full` the staged records stay, and `flush` may be called
 * again. After any other failure of a write, such as `sync-failed`, it is unknown which bytes are durable, so every
 * later write fails and the process must stop.
 */
export class DurableLog {
  private readonly _reader: LogReader
  private _identity = ''
  private _founders: readonly string[] = []
  private _hardState: HardState = { term: 0, votedFor: undefined }
  private _entries: LogEntry[] = []
  private _segmentFile = ''
  private _segmentNumber = 0
  private _segmentLength = 0
  private _lastBatch = 0
  private _stagedRecords: Uint8Array[] = []
  private _stagedSequence = 0
  private _flushedSequence = 0
  private _pendingSnapshot: PendingSnapshot | undefined
  private _fault: StorageFault | undefined

  /**
   * @param _disk Disk that holds the files of this log.
   */
  public constructor (private readonly _disk: Disk) {
    this._reader = new LogReader(_disk)
  }

  /** Bytes of the current segment; the host takes a snapshot when it has grown too large. */
  public get segmentBytes (): number {
    return this._segmentLength
  }

  /** True when records are staged that `flush` has not synced yet. */
  public get hasStaged (): boolean {
    return this._stagedSequence > this._flushedSequence
  }

  /**
   * Reads the log from the disk. A torn write at the end, which was never synced, is truncated. Any other corruption is
   * returned with its place, and the files are left unchanged.
   */
  public open (): OpenResult {
    const snapshotFile = this._reader.newestSnapshot()
    const logFile = this._reader.newestSegment()
    if (snapshotFile === undefined && logFile === undefined) return { type: 'empty' }
    if (snapshotFile === undefined) return this._openWithoutSnapshot(logFile!)
    if (logFile === undefined) return corruptResult({ file: snapshotFile, offset: 0, problem: 'missing log segment' })
    const stored = this._reader.readSnapshot(snapshotFile)
    const segment = this._reader.readSegment(logFile)
    const corruptions = [stored, segment].flatMap(item => item.type === 'corrupt' ? [item.corruption] : [])
    if (stored.type === 'corrupt' || segment.type === 'corrupt') return corruptResult(...corruptions)
    if (segment.content.base.index > stored.content.index) {
      return corruptResult({ file: logFile, offset: 0, problem: 'segment of a later snapshot that is missing' })
    }
    return this._recover(segment.content, stored.content)
  }

  /**
   * Creates an empty log with a new identity. The segment is written first: one without content and without a snapshot
   * shows that the process has ended here, before the identity was used.
   * @param identity Id of the replica that the disk belongs to, see `makeReplicaId`; it is lost with the disk.
   * @param founders Names of the replicas that form the first group with this one; empty when it forms none.
   */
  public create (identity: string, founders: readonly string[] = []): void {
    this._identity = identity
    this._founders = founders
    this._lastBatch++
    this._startSegment(EMPTY_SNAPSHOT, [{ type: 'hard', hard: this._hardState }], this._lastBatch, new Uint8Array(0))
    this._attempt(() => this._writeSnapshotFile(EMPTY_SNAPSHOT))
  }

  /**
   * Stages records, which are durable only after `flush` has returned. A snapshot is written and synced at once.
   * @param request State that changed.
   */
  public stage (request: PersistRequest): void {
    this._throwIfFailed()
    if (request.hard !== undefined) this._stageHardState(request.hard)
    if (request.snapshot !== undefined) this._writeSnapshot(request.snapshot, request.truncateFrom)
    else if (request.truncateFrom !== undefined) this._stageTruncation(request.truncateFrom)
    for (const entry of request.entries) {
      this._entries.push(entry)
      this._stageRecord({ type: 'entry', entry })
    }
    this._stagedSequence = request.sequence
  }

  /**
   * Writes and syncs the staged records.
   * @returns Sequence up to which everything is durable.
   */
  public flush (): number {
    this._throwIfFailed()
    if (this._stagedRecords.length > 0) this._writeStaged()
    this._flushedSequence = this._stagedSequence
    return this._flushedSequence
  }

  /**
   * Begins to write a snapshot while the log accepts further records. It takes effect when it is staged.
   * @param index Log index that the snapshot will cover.
   */
  public beginSnapshot (index: number): void {
    this._throwIfFailed()
    this.abortSnapshot()
    if (this._stagedRecords.length > 0) this._writeStaged()
    const head: LogRecord[] = [{ type: 'hard', hard: this._hardState }]
    this._entries.filter(entry => entry.index > index).forEach(entry => head.push({ type: 'entry', entry }))
    const writer = this._attempt(() => new SnapshotWriter(this._disk, index))
    this._pendingSnapshot = { writer, head, offset: this._segmentLength, batch: this._lastBatch }
  }

  /**
   * Writes and syncs the next part of the snapshot that was begun; does nothing when there is none.
   * @param data Bytes of the state.
   */
  public addSnapshotChunk (data: Uint8Array): void {
    this._throwIfFailed()
    this._attempt(() => this._pendingSnapshot?.writer.add(data))
  }

  /** Removes the snapshot that was begun, if there is one. */
  public abortSnapshot (): void {
    this._pendingSnapshot?.writer.abort()
    this._pendingSnapshot = undefined
  }

  private _stageHardState (hard: HardState): void {
    this._hardState = hard
    this._stageRecord({ type: 'hard', hard })
  }

  private _stageTruncation (from: number): void {
    this._entries = this._entries.filter(entry => entry.index < from)
    this._stageRecord({ type: 'truncate', from })
  }

  private _writeSnapshot (snapshot: Snapshot, truncateFrom?: number): void {
    if (this._stagedRecords.length > 0) this._writeStaged()
    const { index, bytes } = this._pendingSnapshot?.writer ?? {}
    const isPendingSnapshot = index === snapshot.index && bytes === snapshot.data.length && truncateFrom === undefined
    if (isPendingSnapshot) return this._finishPendingSnapshot(this._pendingSnapshot!, snapshot)
    this.abortSnapshot()
    const truncateIndex = truncateFrom ?? Infinity
    this._replaceSnapshotAndSegment(
      snapshot,
      this._entries.filter(entry => entry.index > snapshot.index && entry.index < truncateIndex)
    )
  }

  private _stageRecord (record: LogRecord): void {
    this._stagedRecords.push(encodeRecord(record, this._lastBatch + 1))
  }

  private _writeStaged (): void {
    const bytes = Buffer.concat(this._stagedRecords)
    this._attempt(() => this._appendAllOrNothing(bytes))
    this._attempt(() => this._disk.sync(this._segmentFile))
    this._stagedRecords = []
    this._lastBatch++
    this._segmentLength += bytes.length
    this._writeSyncedLength()
  }

  /** Appends all bytes; after a failure, such as a full disk, truncates the file to its earlier length. */
  private _appendAllOrNothing (bytes: Uint8Array): void {
    try {
      this._disk.append(this._segmentFile, bytes)
    } catch (error) {
      this._disk.truncate(this._segmentFile, this._segmentLength)
      throw error
    }
  }

  /** Completes the pending snapshot; records written since it was begun are copied to the new segment byte for byte. */
  private _finishPendingSnapshot (pending: PendingSnapshot, snapshot: Snapshot): void {
    const { writer, head, offset, batch } = pending
    this._attempt(() => writer.finish(snapshot, this._identity))
    const tail = this._disk.read(this._segmentFile).subarray(offset, this._segmentLength)
    this._startSegment(snapshot, head, batch, tail)
    this._entries = this._entries.filter(entry => entry.index > snapshot.index)
    this._pendingSnapshot = undefined
  }

  /** Writes a snapshot and a segment that follows it, then removes the old files. */
  private _replaceSnapshotAndSegment (snapshot: Snapshot, entries: LogEntry[]): void {
    this._attempt(() => this._writeSnapshotFile(snapshot))
    const head: LogRecord[] = [{ type: 'hard', hard: this._hardState }]
    entries.forEach(entry => head.push({ type: 'entry', entry }))
    this._lastBatch++
    this._startSegment(snapshot, head, this._lastBatch, new Uint8Array(0))
    this._entries = entries
  }

  private _writeSnapshotFile (snapshot: Snapshot): void {
    const writer = new SnapshotWriter(this._disk, snapshot.index)
    writer.add(snapshot.data)
    writer.finish(snapshot, this._identity)
  }

  private _startSegment (
    { index, term, members }: Snapshot,
    head: readonly LogRecord[],
    batch: number,
    tail: Uint8Array
  ): void {
    const number = this._segmentNumber + 1
    const file = `log-${formatFileNumber(number)}`
    if (members.length > 0) this._founders = []
    const founders = this._founders.length > 0 ? { founders: this._founders } : {}
    const base: LogRecord = { type: 'base', index, term, identity: this._identity, ...founders }
    const records = [base, ...head].map(record => encodeRecord(record, batch))
    const length = this._writeAndRename(file, [encodeHeader(SEGMENT_MAGIC), ...records, tail])
    this._segmentFile = file
    this._segmentNumber = number
    this._segmentLength = length
    this._removeObsoleteFiles()
    this._writeSyncedLength()
  }

  private _writeAndRename (file: string, parts: readonly Uint8Array[]): number {
    const temporaryFile = file + TEMPORARY_SUFFIX
    const bytes = Buffer.concat(parts)
    this._attempt(() => {
      this._disk.write(temporaryFile, bytes)
      this._disk.sync(temporaryFile)
      this._disk.rename(temporaryFile, file)
      this._disk.syncFolder()
    })
    return bytes.length
  }

  /**
   * Stores the length up to which the segment is synced. The file itself is not synced: after a restart of the process
   * it proves that an invalid record is corrupt rather than torn; after a power cut it may hold an earlier length.
   */
  private _writeSyncedLength (): void {
    const { _segmentFile: file, _segmentLength: length, _identity: identity } = this
    const record = encodeRecord({ file, length, identity }, 0)
    try {
      this._disk.write(SYNCED_LENGTH_FILE, record)
    } catch {
      // Without this file, corruption in the last batch can't be told from a torn write and is truncated.
    }
  }

  /** A segment without content that has no snapshot is what an interrupted `create` leaves behind. */
  private _openWithoutSnapshot (file: string): OpenResult {
    const segment = this._reader.readSegment(file)
    if (segment.type === 'corrupt') return corruptResult(segment.corruption)
    const { base, entries, hard, tornBytes } = segment.content
    const isUnused = base.index === 0 && entries.length === 0 && hard.term === 0 && tornBytes === 0
    const founders = base.founders === undefined ? {} : { founders: base.founders }
    return isUnused ? { type: 'empty', ...founders } : corruptResult({ file, offset: 0, problem: 'missing snapshot' })
  }

  private _recover (segment: Segment, snapshot: Snapshot): OpenResult {
    const isUsable = followsSnapshot(segment, snapshot)
    const entries = isUsable ? segment.entries.filter(entry => entry.index > snapshot.index) : []
    this._identity = segment.base.identity
    this._founders = snapshot.members.length > 0 ? [] : segment.base.founders ?? []
    this._hardState = segment.hard
    this._entries = entries
    this._segmentFile = segment.file
    this._segmentNumber = Number(segment.file.slice('log-'.length))
    this._segmentLength = segment.length
    this._lastBatch = segment.batch
    // A killed process may have renamed a file without a sync of the folder: what it replaces stays until that.
    this._makeDurable(segment)
    this._removeObsoleteFiles()
    if (!isUsable) this._replaceSnapshotAndSegment(snapshot, entries)
    const state = { hard: this._hardState, snapshot, entries: [...entries] }
    const founders = this._founders.length > 0 ? { founders: this._founders } : {}
    return { type: 'recovered', identity: this._identity, state, cutBytes: segment.tornBytes, ...founders }
  }

  /** Cuts a torn write, and syncs what a killed process had only written: the replica will vouch for it from now on. */
  private _makeDurable (segment: Segment): void {
    if (segment.tornBytes > 0) this._disk.truncate(segment.file, segment.length)
    this._attempt(() => {
      this._disk.sync(segment.file)
      this._disk.syncFolder()
    })
  }

  private _removeObsoleteFiles (): void {
    this._reader.obsoleteFiles().forEach(file => this._disk.remove(file))
  }

  /** Remembers every failure but a full disk: after one, it is unknown which bytes are durable. */
  private _attempt<Result> (action: () => Result): Result {
    try {
      return action()
    } catch (error) {
      const fault = error instanceof StorageFault ? error : new StorageFault('io', this._segmentFile, String(error))
      if (fault.failure !== 'full') this._fault = fault
      throw fault
    }
  }

  private _throwIfFailed (): void {
    if (this._fault !== undefined) throw this._fault
  }
}

function corruptResult (...corruptions: Corruption[]): OpenResult {
  return { type: 'corrupt', corruptions }
}
