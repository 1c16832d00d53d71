/**
 * The disk as storage sees it: append-only files under one folder. Every call is synchronous towards
 * the part and may throw `StorageFault`; nothing counts as kept until `sync` has returned.
 */
export interface Disk {
  list (): string[]
  read (file: string): Uint8Array
  append (file: string, bytes: Uint8Array): void
  /** Writes a whole file aside; `rename` puts it in force. */
  write (file: string, bytes: Uint8Array): void
  truncate (file: string, length: number): void
  rename (from: string, to: string): void
  remove (file: string): void
  /** Forces a file's bytes to the medium. */
  sync (file: string): void
  /** Forces the folder's entries to the medium. */
  syncFolder (): void
}

/** Kinds of storage failure; `sync-failed` must stop the process. */
export type StorageFailure = 'corrupt' | 'full' | 'sync-failed' | 'io'

/** One corrupt place. */
export interface Corruption {
  readonly file: string
  readonly offset: number
  readonly problem: string
}
