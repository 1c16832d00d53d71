import type { HardState, LogEntry, Snapshot } from '../agreement/Types.js'
import { ASIDE_SUFFIX, FILE_HEADER_BYTES, LOG_MAGIC, SNAPSHOT_MAGIC, SYNC_MARK_FILE } from './Constants.js'
import { decodeRecord, hasLaterBatch, headerProblem } from './RecordFormat.js'
import type { Corruption, Disk, SnapshotRecord, StoredRecord } from './Types.js'

/** Length up to which a segment was synced, as far as is known. */
export interface SyncMark {
  readonly file: string
  readonly length: number
}

/** What a segment holds. */
export interface Segment {
  readonly file: string
  readonly base: Extract<StoredRecord, { type: 'base' }>
  readonly hard: HardState
  readonly entries: readonly LogEntry[]
  /** Bytes up to the end of the last sound record. */
  readonly length: number
  /** Bytes after that, which were never synced. */
  readonly tornBytes: number
  readonly batch: number
}

/** A file's content or what is wrong with it. */
export type Reading<Content> =
  | { readonly type: 'read', readonly content: Content }
  | { readonly type: 'corrupt', readonly corruption: Corruption }

const SNAPSHOT_FILE = /^snapshot-\d+$/
const LOG_FILE = /^log-\d+$/

/** Reads the files of a durable log and tells a torn tail from damage. */
export class LogReader {
  /**
   * @param _disk Where the files are.
   */
  public constructor (private readonly _disk: Disk) {}

  /** Newest snapshot file, if any. */
  public newestSnapshot (): string | undefined {
    return this._disk.list().filter(file => SNAPSHOT_FILE.test(file)).sort().at(-1)
  }

  /** Newest segment file, if any. */
  public newestLog (): string | undefined {
    return this._disk.list().filter(file => LOG_FILE.test(file)).sort().at(-1)
  }

  /** Files that an interrupted change left behind. */
  public leftovers (): string[] {
    const inForce = [this.newestSnapshot(), this.newestLog(), SYNC_MARK_FILE]
    return this._disk.list().filter(file => !inForce.includes(file)).filter(file =>
      file.endsWith(ASIDE_SUFFIX) || SNAPSHOT_FILE.test(file) || LOG_FILE.test(file))
  }

  /**
   * Reads a snapshot.
   * @param file Its file.
   */
  public readSnapshot (file: string): Reading<Snapshot> {
    const bytes = this._disk.read(file)
    const problem = headerProblem(bytes, SNAPSHOT_MAGIC)
    if (problem !== undefined) return corrupt(file, 0, problem)
    const parts: Uint8Array[] = []
    let offset = FILE_HEADER_BYTES
    for (;;) {
      const found = decodeRecord<SnapshotRecord>(bytes, offset)
      if (found === undefined) return corrupt(file, offset, 'the record does not match its checksum')
      const { body } = found
      offset = found.end
      if (body.type === 'part') parts.push(body.data)
      else return finishSnapshot(file, body, parts, bytes.length - offset)
    }
  }

  /**
   * Reads a segment.
   * @param file Its file.
   */
  public readLog (file: string): Reading<Segment> {
    const bytes = this._disk.read(file)
    const problem = headerProblem(bytes, LOG_MAGIC)
    if (problem !== undefined) return corrupt(file, 0, problem)
    const first = decodeRecord<StoredRecord>(bytes, FILE_HEADER_BYTES)
    if (first?.body.type !== 'base') return corrupt(file, FILE_HEADER_BYTES, 'the first record is not sound')
    return this._readRecords(file, bytes, first.body)
  }

  private _readRecords (file: string, bytes: Uint8Array, base: Segment['base']): Reading<Segment> {
    let hard: HardState = { term: 0, votedFor: undefined }
    let entries: LogEntry[] = []
    let offset = FILE_HEADER_BYTES
    let batch = 0
    for (;;) {
      const found = decodeRecord<StoredRecord>(bytes, offset)
      if (found === undefined) break
      const { body } = found
      if (body.type === 'hard') hard = { term: body.hard.term, votedFor: body.hard.votedFor ?? undefined }
      if (body.type === 'truncate') entries = entries.filter(entry => entry.index < body.from)
      if (body.type === 'entry') {
        const expected = (entries.at(-1)?.index ?? base.index) + 1
        if (body.entry.index !== expected) return corrupt(file, offset, `entry ${body.entry.index} in place of ${expected}`)
        entries.push(body.entry)
      }
      batch = found.batch
      offset = found.end
    }
    const damage = this._damageAt(file, bytes, offset, batch)
    if (damage !== undefined) return corrupt(file, offset, damage)
    const content = { file, base, hard, entries, length: offset, tornBytes: bytes.length - offset, batch }
    return { type: 'read', content }
  }

  private _damageAt (file: string, bytes: Uint8Array, offset: number, batch: number): string | undefined {
    const mark = this._readMark()
    if (mark?.file === file && offset < mark.length) {
      return `the record is not sound, though the log was synced up to ${mark.length}`
    }
    return hasLaterBatch(bytes, offset, batch) ? 'the record is not sound, and later batches follow it' : undefined
  }

  /** A mark that can't be read proves nothing and is left out. */
  private _readMark (): SyncMark | undefined {
    if (!this._disk.list().includes(SYNC_MARK_FILE)) return undefined
    return decodeRecord<SyncMark>(this._disk.read(SYNC_MARK_FILE), 0)?.body
  }
}

/**
 * Tells whether a segment goes on from a snapshot; one from before a snapshot that replaced the log does not.
 * @param segment The segment.
 * @param snapshot The snapshot in force.
 */
export function continues (segment: Segment, snapshot: Snapshot): boolean {
  return segment.base.index === snapshot.index ||
    segment.entries.some(entry => entry.index === snapshot.index && entry.term === snapshot.term)
}

function finishSnapshot (
  file: string,
  end: Extract<SnapshotRecord, { type: 'end' }>,
  parts: readonly Uint8Array[],
  bytesAfter: number
): Reading<Snapshot> {
  const data = Buffer.concat(parts)
  if (data.length !== end.bytes || bytesAfter > 0) return corrupt(file, 0, 'the file is not of the length that it tells')
  const { index, term, members } = end
  return { type: 'read', content: { index, term, members, data } }
}

function corrupt (file: string, offset: number, problem: string): { type: 'corrupt', corruption: Corruption } {
  return { type: 'corrupt', corruption: { file, offset, problem } }
}
