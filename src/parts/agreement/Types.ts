import type { ReplicaId } from '../Types.js'

/** One log entry. `data` is an encoded command; empty for the entry that a new leader writes. */
export interface LogEntry {
  readonly index: number
  readonly term: number
  readonly kind: 'command' | 'members' | 'empty'
  readonly data: Uint8Array
}

/** Term and vote, synced before any message that depends on them. */
export interface HardState {
  readonly term: number
  readonly votedFor: ReplicaId | undefined
}

/** State of the group up to an index. */
export interface Snapshot {
  readonly index: number
  readonly term: number
  readonly members: readonly ReplicaId[]
  readonly data: Uint8Array
}

/** Role of a replica. A `recovering` replica neither votes nor acknowledges. */
export type Role = 'recovering' | 'follower' | 'candidate' | 'leader'

/** Events of a replica of the control group. */
export type AgreementEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'message', readonly from: ReplicaId, readonly message: AgreementMessage }
  | { readonly type: 'propose', readonly id: number, readonly data: Uint8Array }
  | { readonly type: 'read', readonly id: number }
  /** All that was handed out in `persist` up to this number is synced. */
  | { readonly type: 'persisted', readonly sequence: number }
  | { readonly type: 'changeMembers', readonly id: number, readonly members: readonly ReplicaId[] }
  /** The host has a snapshot of the applied state; the log before it may go. */
  | { readonly type: 'snapshotTaken', readonly index: number, readonly data: Uint8Array }

/** Messages between replicas; the part that owns them defines the variants. */
export type AgreementMessage = { readonly type: string, readonly term: number } & Readonly<Record<string, unknown>>

/** Actions of a replica. */
export type AgreementAction =
  | { readonly type: 'send', readonly to: ReplicaId, readonly message: AgreementMessage }
  /** Must be synced in order; then the host sends `persisted`. Messages that depend on it come only after. */
  | {
    readonly type: 'persist',
    readonly sequence: number,
    readonly hard?: HardState,
    readonly truncateFrom?: number,
    readonly entries: readonly LogEntry[],
    readonly snapshot?: Snapshot
  }
  | { readonly type: 'commit', readonly entry: LogEntry, readonly id?: number }
  | { readonly type: 'restore', readonly snapshot: Snapshot }
  /** `state` says what is proved: `not-run` (never in the log) or `unknown` (may commit later). */
  | { readonly type: 'rejected', readonly id: number, readonly state: 'not-run' | 'unknown', readonly leader: ReplicaId | undefined }
  | { readonly type: 'readable', readonly id: number, readonly index: number }
  | { readonly type: 'became', readonly role: Role, readonly term: number, readonly leader: ReplicaId | undefined }
