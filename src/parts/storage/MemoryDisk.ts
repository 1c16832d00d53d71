import type { Random } from '../Types.js'
import { StorageFault } from './StorageFault.js'
import type { Disk } from './Types.js'

/** Bytes of a file as written, and the part of them that a power cut leaves for certain. */
interface MemoryFile {
  written: Uint8Array
  synced: Uint8Array
}

/** Faults that a test can inject. */
export interface DiskFaults {
  /** Bytes that can still be written before the disk is full. */
  freeBytes: number
  /** Every sync fails. */
  syncFails: boolean
}

/**
 * Disk in memory, for tests and for trying the library out. It tracks synced bytes separately from written ones, and
 * `crash` loses unsynced bytes as a real disk may at a power cut.
 */
export class MemoryDisk implements Disk {
  public readonly faults: DiskFaults = { freeBytes: Infinity, syncFails: false }
  private _files = new Map<string, MemoryFile>()
  /** Files by name as of the last folder sync. */
  private _syncedNames = new Map<string, MemoryFile>()

  public list (): string[] {
    return [...this._files.keys()]
  }

  public read (file: string): Uint8Array {
    return this._get(file).written.slice()
  }

  public append (file: string, bytes: Uint8Array): void {
    const target = this._getOrCreate(file)
    const writable = Math.min(bytes.length, this.faults.freeBytes)
    this.faults.freeBytes -= writable
    target.written = concat(target.written, bytes.subarray(0, writable))
    if (writable < bytes.length) throw new StorageFault('full', file, 'no space left on the disk')
  }

  public write (file: string, bytes: Uint8Array): void {
    this._getOrCreate(file).written = new Uint8Array(0)
    this.append(file, bytes)
  }

  public truncate (file: string, length: number): void {
    const target = this._get(file)
    target.written = target.written.slice(0, length)
  }

  public rename (from: string, to: string): void {
    const target = this._get(from)
    this._files.delete(from)
    this._files.set(to, target)
  }

  public remove (file: string): void {
    this._files.delete(file)
  }

  public sync (file: string): void {
    if (this.faults.syncFails) throw new StorageFault('sync-failed', file, 'sync failed by the injected fault')
    const target = this._get(file)
    target.synced = target.written
  }

  public syncFolder (): void {
    if (this.faults.syncFails) throw new StorageFault('sync-failed', '.', 'sync failed by the injected fault')
    this._syncedNames = new Map(this._files)
  }

  /**
   * Simulates a power cut. File names either stay or revert to those of the last folder sync. Of the bytes appended to
   * a file since its last sync a prefix of any length stays, in some cases with zeros in place of its end.
   * @param random Decides what is lost.
   */
  public crash (random: Random): void {
    if (random.next() < 0.5) this._files = new Map(this._syncedNames)
    for (const file of this._files.values()) {
      file.written = bytesAfterPowerCut(file, random)
      file.synced = file.written
    }
    this._syncedNames = new Map(this._files)
  }

  /** Removes all files, as the loss of the disk does. */
  public wipe (): void {
    this._files.clear()
    this._syncedNames.clear()
  }

  /**
   * Flips one bit of a file.
   * @param file Name of the file.
   * @param offset Offset of the byte.
   * @param bit Number of the bit, 0 to 7.
   */
  public flipBit (file: string, offset: number, bit: number): void {
    const target = this._get(file)
    target.written = target.written.slice()
    target.written[offset]! ^= 1 << bit
  }

  private _getOrCreate (file: string): MemoryFile {
    const found = this._files.get(file) ?? { written: new Uint8Array(0), synced: new Uint8Array(0) }
    this._files.set(file, found)
    return found
  }

  private _get (file: string): MemoryFile {
    const found = this._files.get(file)
    if (found === undefined) throw new StorageFault('io', file, 'the file does not exist')
    return found
  }
}

/** Returns the bytes of a file after a power cut; a file that was rewritten holds either its old or its new bytes. */
function bytesAfterPowerCut (file: MemoryFile, random: Random): Uint8Array {
  const { written, synced } = file
  const isAppendOnly = written.length >= synced.length && synced.every((byte, index) => byte === written[index])
  if (!isAppendOnly) return random.next() < 0.5 ? written : synced
  const keptLength = synced.length + Math.floor(random.next() * (written.length - synced.length + 1))
  const bytes = written.slice(0, keptLength)
  const damagedLength = Math.floor(random.next() * (keptLength - synced.length + 1))
  if (random.next() < 0.3) bytes.fill(0, keptLength - damagedLength)
  return bytes
}

function concat (first: Uint8Array, second: Uint8Array): Uint8Array {
  const joined = new Uint8Array(first.length + second.length)
  joined.set(first)
  joined.set(second, first.length)
  return joined
}
