import type { Snapshot } from '../agreement/Types.js'
import { SNAPSHOT_MAGIC, SNAPSHOT_PART_BYTES, TEMPORARY_SUFFIX } from './Constants.js'
import { encodeHeader, encodeRecord } from './RecordFormat.js'
import type { Disk, SnapshotRecord } from './Types.js'

/** Digits of a file's number, so that file names sort by number. */
const FILE_NUMBER_DIGITS = 15

/**
 * Writes one snapshot to a temporary file, in parts that are synced one by one. `finish` renames the file; until then
 * it does not count as a snapshot.
 */
export class SnapshotWriter {
  /** Name of the file once the snapshot is complete. */
  public readonly file: string
  private readonly _temporaryFile: string
  private _bytes = 0
  /** Length of the temporary file up to the last complete record. */
  private _fileLength: number
  private _stage: 'open' | 'ended' | 'renamed' = 'open'

  /**
   * @param _disk Disk that the file is written to.
   * @param index Log index that the snapshot covers.
   */
  public constructor (
    private readonly _disk: Disk,
    public readonly index: number
  ) {
    this.file = `snapshot-${formatFileNumber(index)}`
    this._temporaryFile = this.file + TEMPORARY_SUFFIX
    const header = encodeHeader(SNAPSHOT_MAGIC)
    this._disk.write(this._temporaryFile, header)
    this._fileLength = header.length
  }

  /** Bytes of the state written so far. */
  public get bytes (): number {
    return this._bytes
  }

  /**
   * Writes and syncs the next part of the state.
   * @param data Next bytes of the state.
   */
  public add (data: Uint8Array): void {
    for (let offset = 0; offset < data.length; offset += SNAPSHOT_PART_BYTES) {
      this._append({ type: 'part', data: data.subarray(offset, offset + SNAPSHOT_PART_BYTES) })
    }
    this._bytes += data.length
    this._disk.sync(this._temporaryFile)
  }

  /**
   * Completes the file and renames it. May be called again after a full disk, and goes on where it failed.
   * @param snapshot The snapshot whose state was added.
   * @param identity Id of the replica that the disk belongs to.
   */
  public finish ({ index, term, members }: Snapshot, identity: string): void {
    if (this._stage === 'open') {
      this._append({ type: 'end', identity, index, term, members, bytes: this._bytes })
      this._stage = 'ended'
    }
    if (this._stage === 'renamed') return
    this._disk.sync(this._temporaryFile)
    this._disk.rename(this._temporaryFile, this.file)
    this._stage = 'renamed'
    this._disk.syncFolder()
  }

  /** Removes the temporary file. */
  public abort (): void {
    this._disk.remove(this._temporaryFile)
  }

  private _append (record: SnapshotRecord): void {
    const bytes = encodeRecord(record, 0)
    try {
      this._disk.append(this._temporaryFile, bytes)
    } catch (error) {
      this._disk.truncate(this._temporaryFile, this._fileLength)
      throw error
    }
    this._fileLength += bytes.length
  }
}

/**
 * Formats a number for a file name, padded so that names sort by number.
 * @param number The number.
 */
export function formatFileNumber (number: number): string {
  return String(number).padStart(FILE_NUMBER_DIGITS, '0')
}
