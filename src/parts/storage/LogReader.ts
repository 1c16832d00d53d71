import type { HardState, LogEntry, Snapshot } from '../agreement/Types.js'
import { FILE_HEADER_BYTES, SEGMENT_MAGIC, SNAPSHOT_MAGIC, SYNCED_LENGTH_FILE, TEMPORARY_SUFFIX } from './Constants.js'
import { checkHeader, decodeRecord, hasLaterBatch } from './RecordFormat.js'
import type { Corruption, Disk, LogRecord, SnapshotRecord } from './Types.js'

/** Length up to which a segment was synced, as far as is known. */
export interface SyncedLength {
  readonly file: string
  readonly length: number
}

/** What a segment holds. */
export interface Segment {
  readonly file: string
  readonly base: Extract<LogRecord, { type: 'base' }>
  readonly hard: HardState
  readonly entries: readonly LogEntry[]
  /** Bytes up to the end of the last sound record. */
  readonly length: number
  /** Bytes after that, which were never synced. */
  readonly tornBytes: number
  readonly batch: number
}

/** A file's content or what is wrong with it. */
export type ReadResult<Content> =
  | { readonly type: 'read', readonly content: Content }
  | { readonly type: 'corrupt', readonly corruption: Corruption }

const SNAPSHOT_FILE_PATTERN = /^snapshot-\d+$/
const SEGMENT_FILE_PATTERN = /^log-\d+$/

/** Reads the files of a durable log and tells a torn tail from damage. */
export class LogReader {
  /**
   * @param _disk Where the files are.
   */
  public constructor (private readonly _disk: Disk) {}

  /** Newest snapshot file, if any. */
  public newestSnapshot (): string | undefined {
    return this._disk.list().filter(file => SNAPSHOT_FILE_PATTERN.test(file)).sort().at(-1)
  }

  /** Newest segment file, if any. */
  public newestSegment (): string | undefined {
    return this._disk.list().filter(file => SEGMENT_FILE_PATTERN.test(file)).sort().at(-1)
  }

  /** Files that an interrupted change left behind. */
  public obsoleteFiles (): string[] {
    const current = [this.newestSnapshot(), this.newestSegment(), SYNCED_LENGTH_FILE]
    return this._disk.list().filter(file => !current.includes(file)).filter(file =>
      file.endsWith(TEMPORARY_SUFFIX) || SNAPSHOT_FILE_PATTERN.test(file) || SEGMENT_FILE_PATTERN.test(file))
  }

  /**
   * Reads a snapshot.
   * @param file Its file.
   */
  public readSnapshot (file: string): ReadResult<Snapshot> {
    const bytes = this._disk.read(file)
    const problem = checkHeader(bytes, SNAPSHOT_MAGIC)
    if (problem !== undefined) return corruptResult(file, 0, problem)
    const parts: Uint8Array[] = []
    let offset = FILE_HEADER_BYTES
    for (;;) {
      const record = decodeRecord<SnapshotRecord>(bytes, offset)
      if (record === undefined) return corruptResult(file, offset, 'the record does not match its checksum')
      const { body } = record
      offset = record.end
      if (body.type === 'part') parts.push(body.data)
      else return assembleSnapshot(file, body, parts, bytes.length - offset)
    }
  }

  /**
   * Reads a segment.
   * @param file Its file.
   */
  public readSegment (file: string): ReadResult<Segment> {
    const bytes = this._disk.read(file)
    const problem = checkHeader(bytes, SEGMENT_MAGIC)
    if (problem !== undefined) return corruptResult(file, 0, problem)
    const first = decodeRecord<LogRecord>(bytes, FILE_HEADER_BYTES)
    if (first?.body.type !== 'base') return corruptResult(file, FILE_HEADER_BYTES, 'the first record is not sound')
    return this._readRecords(file, bytes, first.body)
  }

  private _readRecords (file: string, bytes: Uint8Array, base: Segment['base']): ReadResult<Segment> {
    let hard: HardState = { term: 0, votedFor: undefined }
    let entries: LogEntry[] = []
    let offset = FILE_HEADER_BYTES
    let batch = 0
    for (;;) {
      const record = decodeRecord<LogRecord>(bytes, offset)
      if (record === undefined) break
      const { body } = record
      if (body.type === 'hard') hard = { term: body.hard.term, votedFor: body.hard.votedFor ?? undefined }
      if (body.type === 'truncate') entries = entries.filter(entry => entry.index < body.from)
      if (body.type === 'entry') {
        const expected = (entries.at(-1)?.index ?? base.index) + 1
        if (body.entry.index !== expected) return corruptResult(file, offset, `entry ${body.entry.index} in place of ${expected}`)
        entries.push(body.entry)
      }
      batch = record.batch
      offset = record.end
    }
    const corruption = this._findCorruption(file, bytes, offset, batch)
    if (corruption !== undefined) return corruptResult(file, offset, corruption)
    const content = { file, base, hard, entries, length: offset, tornBytes: bytes.length - offset, batch }
    return { type: 'read', content }
  }

  private _findCorruption (file: string, bytes: Uint8Array, offset: number, batch: number): string | undefined {
    const synced = this._readSyncedLength()
    if (synced?.file === file && offset < synced.length) {
      return `the record is not sound, though the log was synced up to ${synced.length}`
    }
    return hasLaterBatch(bytes, offset, batch) ? 'the record is not sound, and later batches follow it' : undefined
  }

  /** A mark that can't be read proves nothing and is left out. */
  private _readSyncedLength (): SyncedLength | undefined {
    if (!this._disk.list().includes(SYNCED_LENGTH_FILE)) return undefined
    return decodeRecord<SyncedLength>(this._disk.read(SYNCED_LENGTH_FILE), 0)?.body
  }
}

/**
 * Tells whether a segment goes on from a snapshot; one from before a snapshot that replaced the log does not.
 * @param segment The segment.
 * @param snapshot The snapshot in force.
 */
export function followsSnapshot (segment: Segment, snapshot: Snapshot): boolean {
  return segment.base.index === snapshot.index ||
    segment.entries.some(entry => entry.index === snapshot.index && entry.term === snapshot.term)
}

function assembleSnapshot (
  file: string,
  end: Extract<SnapshotRecord, { type: 'end' }>,
  parts: readonly Uint8Array[],
  bytesAfter: number
): ReadResult<Snapshot> {
  const data = Buffer.concat(parts)
  if (data.length !== end.bytes || bytesAfter > 0) return corruptResult(file, 0, 'the file is not of the length that it tells')
  const { index, term, members } = end
  return { type: 'read', content: { index, term, members, data } }
}

function corruptResult (file: string, offset: number, problem: string): { type: 'corrupt', corruption: Corruption } {
  return { type: 'corrupt', corruption: { file, offset, problem } }
}
