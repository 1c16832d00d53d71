import type { HardState, LogEntry, RecoveredState, Snapshot } from '../agreement/Types.js'

/**
 * Files of one folder on a disk. Every call is synchronous and may throw `StorageFault`. Written bytes are durable only
 * after `sync`, and new, renamed or removed files only after `syncFolder`.
 */
export interface Disk {
  /** Returns the names of all files. */
  list (): string[]
  /** Returns the bytes of a whole file. */
  read (file: string): Uint8Array
  /** Appends to a file, which is created when it does not exist. */
  append (file: string, bytes: Uint8Array): void
  /** Replaces the content of a file. Not atomic: to replace a file atomically, write a temporary one and rename it. */
  write (file: string, bytes: Uint8Array): void
  /** Shortens a file to a length in bytes. */
  truncate (file: string, length: number): void
  /** Renames a file, and replaces the one that has the new name. */
  rename (from: string, to: string): void
  remove (file: string): void
  /** Forces a file's bytes to the medium. */
  sync (file: string): void
  /** Forces the folder's entries to the medium. */
  syncFolder (): void
}

/**
 * Kinds of storage failure. After `full` the write may be tried again; after a failed write of any other kind the
 * process must stop. Corruption that is found when the log is opened is not thrown but returned, see `OpenResult`.
 */
export type StorageFailure = 'corrupt' | 'full' | 'sync-failed' | 'io'

/** One corrupt place in a file. */
export interface Corruption {
  readonly file: string
  /** Offset in bytes. */
  readonly offset: number
  readonly problem: string
}

/** One record of a log segment. */
export type LogRecord =
  /**
   * First record of a segment: the snapshot that the segment follows, and the replica that the disk belongs to.
   * `founders` as in `OpenResult`.
   */
  | {
    readonly type: 'base',
    readonly index: number,
    readonly term: number,
    readonly identity: string,
    readonly founders?: readonly string[]
  }
  | { readonly type: 'hard', readonly hard: HardState }
  | { readonly type: 'entry', readonly entry: LogEntry }
  /** Removes the entries from this index on. */
  | { readonly type: 'truncate', readonly from: number }

/** One record of a snapshot file: the parts of the state in order, then the end. */
export type SnapshotRecord =
  | { readonly type: 'part', readonly data: Uint8Array }
  | {
    readonly type: 'end',
    readonly identity: string,
    readonly index: number,
    readonly term: number,
    readonly members: Snapshot['members'],
    /** Bytes of the state, over all parts. */
    readonly bytes: number
  }

/** State to be made durable; has the shape of the replica's `persist` action. */
export interface PersistRequest {
  readonly sequence: number
  readonly hard?: HardState
  readonly snapshot?: Snapshot
  readonly truncateFrom?: number
  readonly entries: readonly LogEntry[]
}

/** Result of opening the log. */
export type OpenResult =
  /** `founders` are those given to a `create` that a kill has interrupted; absent after none. */
  | { readonly type: 'empty', readonly founders?: readonly string[] }
  /**
   * `cutBytes` is the length of the torn write that was truncated. `founders` are the names of the replicas that form
   * the first group with this one, as given to `create`; absent once it belongs to a group.
   */
  | {
    readonly type: 'recovered',
    readonly identity: string,
    readonly state: RecoveredState,
    readonly cutBytes: number,
    readonly founders?: readonly string[]
  }
  /** The replica must not vote; the files are left unchanged. */
  | { readonly type: 'corrupt', readonly corruptions: readonly Corruption[] }
