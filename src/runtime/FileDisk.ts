import {
  closeSync, existsSync, fdatasyncSync, fsyncSync, ftruncateSync, mkdirSync, openSync, readdirSync, readFileSync,
  renameSync, rmSync, writeSync
} from 'node:fs'
import { join } from 'node:path'
import { StorageFault } from '../parts/storage/StorageFault.js'
import type { Disk, StorageFailure } from '../parts/storage/Types.js'
import type { Disposable } from './Types.js'

/** System error codes that mean that the disk, the quota or the maximum file size is exhausted. */
const DISK_FULL_CODES: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT', 'EFBIG'])

/**
 * Reads and writes the files of one folder with synchronous calls: control records are small and are written together
 * in one turn of the event loop. Keeps one descriptor open for each file that it has changed.
 */
export class FileDisk implements Disk, Disposable {
  private readonly _descriptors = new Map<string, number>()

  /**
   * @param _folder The data folder; created when it is missing.
   * @throws StorageFault when it can't be created.
   */
  public constructor (private readonly _folder: string) {
    this._wrapErrors('io', '.', () => mkdirSync(_folder, { recursive: true }))
  }

  public list (): string[] {
    return this._wrapErrors('io', '.', () => readdirSync(this._folder))
  }

  public read (file: string): Uint8Array {
    return this._wrapErrors('io', file, () => readFileSync(join(this._folder, file)))
  }

  public append (file: string, bytes: Uint8Array): void {
    this._wrapErrors('io', file, () => this._writeAll(this._descriptor(file), bytes))
  }

  public write (file: string, bytes: Uint8Array): void {
    const descriptor = this._descriptor(file)
    this._wrapErrors('io', file, () => {
      ftruncateSync(descriptor, 0)
      this._writeAll(descriptor, bytes)
    })
  }

  public truncate (file: string, length: number): void {
    this._wrapErrors('io', file, () => ftruncateSync(this._descriptor(file), length))
  }

  public rename (from: string, to: string): void {
    this._wrapErrors('io', from, () => renameSync(join(this._folder, from), join(this._folder, to)))
    const descriptor = this._descriptors.get(from)
    if (descriptor === undefined) return
    this._descriptors.delete(from)
    this._descriptors.set(to, descriptor)
  }

  public remove (file: string): void {
    this._closeFile(file)
    this._wrapErrors('io', file, () => rmSync(join(this._folder, file), { force: true }))
  }

  public sync (file: string): void {
    this._wrapErrors('sync-failed', file, () => fdatasyncSync(this._descriptor(file)))
  }

  public syncFolder (): void {
    this._wrapErrors('sync-failed', '.', () => {
      const descriptor = openSync(this._folder, 'r')
      try {
        fsyncSync(descriptor)
      } finally {
        closeSync(descriptor)
      }
    })
  }

  /** Closes all open files. */
  public dispose (): void {
    [...this._descriptors.keys()].forEach(file => this._closeFile(file))
  }

  private _descriptor (file: string): number {
    const known = this._descriptors.get(file)
    if (known !== undefined) return known
    const descriptor = this._wrapErrors('io', file, () => openSync(join(this._folder, file), 'a+'))
    this._descriptors.set(file, descriptor)
    return descriptor
  }

  private _writeAll (descriptor: number, bytes: Uint8Array): void {
    let written = 0
    while (written < bytes.length) written += writeSync(descriptor, bytes, written)
  }

  private _closeFile (file: string): void {
    const descriptor = this._descriptors.get(file)
    if (descriptor === undefined) return
    this._descriptors.delete(file)
    closeSync(descriptor)
  }

  /** Runs an action and turns what it throws into a `StorageFault` that names the file. */
  private _wrapErrors<Result> (failure: StorageFailure, file: string, action: () => Result): Result {
    try {
      return action()
    } catch (error) {
      if (error instanceof StorageFault) throw error
      const code = (error as NodeJS.ErrnoException).code ?? ''
      const kind = failure === 'io' && DISK_FULL_CODES.has(code) ? 'full' : failure
      throw new StorageFault(kind, join(this._folder, file), (error as Error).message)
    }
  }
}

/**
 * Returns whether a folder exists and is not empty.
 * @param folder Path of the folder.
 */
export function isNonEmptyFolder (folder: string): boolean {
  return existsSync(folder) && readdirSync(folder).length > 0
}
