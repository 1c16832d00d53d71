import type { Snapshot } from '../agreement/Types.js'
import { SNAPSHOT_MAGIC, SNAPSHOT_PART_BYTES, TEMPORARY_SUFFIX } from './Constants.js'
import { encodeHeader, encodeRecord } from './RecordFormat.js'
import type { Disk, SnapshotRecord } from './Types.js'

const FILE_NUMBER_DIGITS = 15

/** Writes one snapshot aside, in parts that are synced one by one. It is not in force before `finish`. */
export class SnapshotWriter {
  public readonly file: string
  private readonly _temporaryFile: string
  private _bytes = 0

  /**
   * @param _disk Where the file goes.
   * @param index Index of the snapshot.
   */
  public constructor (
    private readonly _disk: Disk,
    public readonly index: number
  ) {
    this.file = `snapshot-${formatFileNumber(index)}`
    this._temporaryFile = this.file + TEMPORARY_SUFFIX
    this._disk.write(this._temporaryFile, encodeHeader(SNAPSHOT_MAGIC))
  }

  /** Bytes of the state written so far. */
  public get bytes (): number {
    return this._bytes
  }

  /**
   * Writes and syncs some of the state.
   * @param data The next bytes of it.
   */
  public add (data: Uint8Array): void {
    for (let offset = 0; offset < data.length; offset += SNAPSHOT_PART_BYTES) {
      this._append({ type: 'part', data: data.subarray(offset, offset + SNAPSHOT_PART_BYTES) })
    }
    this._bytes += data.length
    this._disk.sync(this._temporaryFile)
  }

  /**
   * Ends the file and puts it in force.
   * @param snapshot The snapshot whose state was added.
   * @param identity Whose disk this is.
   */
  public finish ({ index, term, members }: Snapshot, identity: string): void {
    this._append({ type: 'end', identity, index, term, members, bytes: this._bytes })
    this._disk.sync(this._temporaryFile)
    this._disk.rename(this._temporaryFile, this.file)
    this._disk.syncFolder()
  }

  /** Drops what was written. */
  public abort (): void {
    this._disk.remove(this._temporaryFile)
  }

  private _append (record: SnapshotRecord): void {
    this._disk.append(this._temporaryFile, encodeRecord(record, 0))
  }
}

/**
 * Returns a number as it stands in file names, so that names sort by it.
 * @param number The number.
 */
export function formatFileNumber (number: number): string {
  return String(number).padStart(FILE_NUMBER_DIGITS, '0')
}
