import type { Random } from '../Types.js'
import { StorageFault } from './StorageFault.js'
import type { Disk } from './Types.js'

/** A change of a file that was not synced: bytes at an offset, or a new length. */
type FileChange =
  | { readonly type: 'write', readonly offset: number, readonly bytes: Uint8Array }
  | { readonly type: 'cut', readonly length: number }

/** Bytes of a file as written, those that a power cut leaves for certain, and the changes between the two. */
interface MemoryFile {
  written: Uint8Array
  synced: Uint8Array
  changes: FileChange[]
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
    change(target, { type: 'write', offset: target.written.length, bytes: bytes.slice(0, writable) })
    if (writable < bytes.length) throw new StorageFault('full', file, 'no space left on the disk')
  }

  public write (file: string, bytes: Uint8Array): void {
    change(this._getOrCreate(file), { type: 'cut', length: 0 })
    this.append(file, bytes)
  }

  public truncate (file: string, length: number): void {
    change(this._get(file), { type: 'cut', length })
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
    target.changes = []
  }

  public syncFolder (): void {
    if (this.faults.syncFails) throw new StorageFault('sync-failed', '.', 'sync failed by the injected fault')
    this._syncedNames = new Map(this._files)
  }

  /**
   * Simulates a power cut. Each name that changed since the last folder sync stays or reverts, independently of the
   * others. Of the changes of a file since its last sync each is kept, missing or torn, or all of them are lost.
   * @param random Decides what is lost.
   */
  public crash (random: Random): void {
    const names = new Set([...this._files.keys(), ...this._syncedNames.keys()])
    const revertsAll = random.next() < 0.3
    const kept = new Map<string, MemoryFile>()
    for (const name of names) {
      const reverts = revertsAll || random.next() < 0.5
      const file = (reverts ? this._syncedNames : this._files).get(name)
      // A file that was renamed has one name; the copy stands for the name that did not come through.
      if (file !== undefined) kept.set(name, { ...file })
    }
    this._files = kept
    for (const file of kept.values()) {
      file.written = bytesAfterPowerCut(file, random)
      file.synced = file.written
      file.changes = []
    }
    this._syncedNames = new Map(kept)
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
    const found = this._files.get(file) ??
      { written: new Uint8Array(0), synced: new Uint8Array(0), changes: [] }
    this._files.set(file, found)
    return found
  }

  private _get (file: string): MemoryFile {
    const found = this._files.get(file)
    if (found === undefined) throw new StorageFault('io', file, 'the file does not exist')
    return found
  }
}

/** Applies a change to the written bytes and remembers it until the next sync. */
function change (file: MemoryFile, fileChange: FileChange): void {
  file.written = apply(file.written, fileChange)
  file.changes.push(fileChange)
}

function apply (bytes: Uint8Array, fileChange: FileChange): Uint8Array {
  if (fileChange.type === 'cut') return bytes.slice(0, fileChange.length)
  const { offset, bytes: added } = fileChange
  const result = new Uint8Array(Math.max(bytes.length, offset + added.length))
  result.set(bytes)
  result.set(added, offset)
  return result
}

/** Returns the bytes of a file after a power cut. */
function bytesAfterPowerCut ({ synced, changes }: MemoryFile, random: Random): Uint8Array {
  if (random.next() < 0.2) return synced
  let bytes = synced
  for (const fileChange of changes) {
    const fate = random.next()
    if (fate < 0.25) continue
    bytes = apply(bytes, fate < 0.6 ? fileChange : tear(fileChange, random))
  }
  return bytes
}

/** A torn write lacks its end, or has zeros in its place. */
function tear (fileChange: FileChange, random: Random): FileChange {
  if (fileChange.type === 'cut') return fileChange
  const keptLength = Math.floor(random.next() * (fileChange.bytes.length + 1))
  if (random.next() < 0.5) return { ...fileChange, bytes: fileChange.bytes.slice(0, keptLength) }
  const bytes = fileChange.bytes.slice()
  bytes.fill(0, keptLength)
  return { ...fileChange, bytes }
}
