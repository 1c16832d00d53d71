import type { HardState, LogEntry, Snapshot } from '../agreement/Types.js'
import { FILE_HEADER_BYTES, SEGMENT_MAGIC, SNAPSHOT_MAGIC, SYNCED_LENGTH_FILE, TEMPORARY_SUFFIX } from './Constants.js'
import { checkHeader, decodeRecord, hasLaterBatch } from './RecordFormat.js'
import type { Corruption, Disk, LogRecord, SnapshotRecord } from './Types.js'

/** Length in bytes up to which a segment is known to be synced. */
export interface SyncedLength {
  readonly file: string
  readonly length: number
  /** Identity of the log, as a file of the same name may be that of an earlier log. */
  readonly identity: string
}

/** Content of a segment. */
export interface Segment {
  readonly file: string
  readonly base: Extract<LogRecord, { type: 'base' }>
  /** Latest term and vote. */
  readonly hard: HardState
  readonly entries: readonly LogEntry[]
  /** Bytes up to the end of the last valid record. */
  readonly length: number
  /** Bytes of the torn write after that, which was never synced. */
  readonly tornBytes: number
  /** Number of the last valid record's batch. */
  readonly batch: number
}

/** Content of a file, or the corruption found in it. */
export type ReadResult<Content> =
  | { readonly type: 'read', readonly content: Content }
  | { readonly type: 'corrupt', readonly corruption: Corruption }

const SNAPSHOT_FILE_PATTERN = /^snapshot-\d+$/
const SEGMENT_FILE_PATTERN = /^log-\d+$/

/**
 * Reads the files of a durable log. An invalid record in a segment is a torn write when it was never synced, and
 * corruption when the synced length or a later batch proves that it was.
 */
export class LogReader {
  /**
   * @param _disk Disk that holds the files of the log.
   */
  public constructor (private readonly _disk: Disk) {}

  /** Returns the newest snapshot file, if any. */
  public newestSnapshot (): string | undefined {
    return this._disk.list().filter(file => SNAPSHOT_FILE_PATTERN.test(file)).sort().at(-1)
  }

  /** Returns the newest segment file, if any. */
  public newestSegment (): string | undefined {
    return this._disk.list().filter(file => SEGMENT_FILE_PATTERN.test(file)).sort().at(-1)
  }

  /** Returns temporary files and files of earlier snapshots and segments, which an interrupted change leaves behind. */
  public obsoleteFiles (): string[] {
    const current = [this.newestSnapshot(), this.newestSegment(), SYNCED_LENGTH_FILE]
    return this._disk.list().filter(file => !current.includes(file)).filter(file =>
      file.endsWith(TEMPORARY_SUFFIX) || SNAPSHOT_FILE_PATTERN.test(file) || SEGMENT_FILE_PATTERN.test(file))
  }

  /**
   * Reads a snapshot.
   * @param file Name of the file.
   */
  public readSnapshot (file: string): ReadResult<Snapshot> {
    const bytes = this._disk.read(file)
    const problem = checkHeader(bytes, SNAPSHOT_MAGIC)
    if (problem !== undefined) return corruptResult(file, 0, problem)
    const parts: Uint8Array[] = []
    let offset = FILE_HEADER_BYTES
    for (;;) {
      const record = decodeRecord<SnapshotRecord>(bytes, offset)
      if (record === undefined) return corruptResult(file, offset, 'incomplete record or wrong checksum')
      const { body } = record
      offset = record.end
      if (body.type === 'part') parts.push(body.data)
      else return assembleSnapshot(file, body, parts, bytes.length - offset)
    }
  }

  /**
   * Reads a segment.
   * @param file Name of the file.
   */
  public readSegment (file: string): ReadResult<Segment> {
    const bytes = this._disk.read(file)
    const problem = checkHeader(bytes, SEGMENT_MAGIC)
    if (problem !== undefined) return corruptResult(file, 0, problem)
    const first = decodeRecord<LogRecord>(bytes, FILE_HEADER_BYTES)
    if (first?.body.type !== 'base') return corruptResult(file, FILE_HEADER_BYTES, 'invalid or missing base record')
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
        if (body.entry.index !== expected) return corruptResult(file, offset, `entry ${body.entry.index} instead of ${expected}`)
        entries.push(body.entry)
      }
      batch = record.batch
      offset = record.end
    }
    const corruption = this._findCorruption(file, base, bytes, offset, batch)
    if (corruption !== undefined) return corruptResult(file, offset, corruption)
    const content = { file, base, hard, entries, length: offset, tornBytes: bytes.length - offset, batch }
    return { type: 'read', content }
  }

  private _findCorruption (
    file: string, { identity }: Segment['base'], bytes: Uint8Array, offset: number, batch: number
  ): string | undefined {
    const synced = this._readSyncedLength()
    if (synced?.file === file && synced.identity === identity && offset < synced.length) {
      return `invalid record, although the log was synced up to offset ${synced.length}`
    }
    return hasLaterBatch(bytes, offset, batch) ? 'invalid record, followed by records of later batches' : undefined
  }

  /** Returns nothing for a file that is missing or invalid: it proves nothing about the segment. */
  private _readSyncedLength (): SyncedLength | undefined {
    if (!this._disk.list().includes(SYNCED_LENGTH_FILE)) return undefined
    return decodeRecord<SyncedLength>(this._disk.read(SYNCED_LENGTH_FILE), 0)?.body
  }
}

/**
 * Returns whether a segment continues from a snapshot. An older segment does not when the snapshot, received from the
 * leader, replaced the log.
 * @param segment The segment.
 * @param snapshot The newest snapshot.
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
  if (data.length !== end.bytes || bytesAfter > 0) return corruptResult(file, 0, 'length differs from the end record')
  const { index, term, members } = end
  return { type: 'read', content: { index, term, members, data } }
}

function corruptResult (file: string, offset: number, problem: string): { type: 'corrupt', corruption: Corruption } {
  return { type: 'corrupt', corruption: { file, offset, problem } }
}
