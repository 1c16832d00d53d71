import type { HardState, LogEntry, RecoveredState, Snapshot } from '../agreement/Types.js'

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

/** One record of the log's segment. */
export type LogRecord =
  /** First of a segment: the snapshot that it follows, and whose disk this is. */
  | { readonly type: 'base', readonly index: number, readonly term: number, readonly identity: string }
  | { readonly type: 'hard', readonly hard: HardState }
  | { readonly type: 'entry', readonly entry: LogEntry }
  | { readonly type: 'truncate', readonly from: number }

/** One record of a snapshot file: parts in order, then the end. */
export type SnapshotRecord =
  | { readonly type: 'part', readonly data: Uint8Array }
  | {
    readonly type: 'end',
    readonly identity: string,
    readonly index: number,
    readonly term: number,
    readonly members: Snapshot['members'],
    readonly bytes: number
  }

/** What must be kept; the shape of the replica's `persist` action. */
export interface PersistRequest {
  readonly sequence: number
  readonly hard?: HardState
  readonly snapshot?: Snapshot
  readonly truncateFrom?: number
  readonly entries: readonly LogEntry[]
}

/** What opening the log found. */
export type OpenResult =
  | { readonly type: 'empty' }
  | { readonly type: 'recovered', readonly identity: string, readonly state: RecoveredState, readonly cutBytes: number }
  /** The replica must not vote; the files are left as they are. */
  | { readonly type: 'corrupt', readonly corruptions: readonly Corruption[] }
