import type { Random, ReplicaId } from '../Types.js'

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
  /** First members of a new group; ignored by a replica that belongs to one or holds any entry. */
  | { readonly type: 'form', readonly members: readonly ReplicaId[] }
  /** The host has a snapshot of the applied state; the log before it may go. */
  | { readonly type: 'snapshotTaken', readonly index: number, readonly data: Uint8Array }

/** Durations of a replica in milliseconds. */
export interface ReplicaTiming {
  /** Pause between heartbeats of a leader. */
  readonly heartbeatMs: number
  /** Least silence of the leader before an election. */
  readonly electionMinMs: number
  /** Longest such silence; the wait is drawn between the two. */
  readonly electionMaxMs: number
  /**
   * Longest wait before an election while no leader was heard since the start; half of it is the least. A group whose
   * replicas all restart has no leader to wait for. Undefined: as long as later.
   */
  readonly firstElectionMs?: number
  /** A leader that no quorum has answered for this long steps down; below `electionMinMs`. */
  readonly leaseMs: number
  /** Longest catch-up of a new replica before its addition is given up. */
  readonly catchUpTimeoutMs: number
}

/** Bounds of a replica's memory and messages. */
export interface ReplicaLimits {
  /** Proposals beyond this many uncommitted bytes are refused. */
  readonly maxUncommittedBytes: number
  readonly maxUncommittedEntries: number
  /** Proposals are refused while the log in memory is larger; the host then takes a snapshot. */
  readonly maxLogBytes: number
  readonly maxAppendBytes: number
  readonly maxAppendEntries: number
  /** Appends sent to one follower before its answers. */
  readonly maxAppendsInFlight: number
  /** Reads that wait for a quorum at once. */
  readonly maxReads: number
  readonly snapshotChunkBytes: number
  /** A larger snapshot of a leader is refused by a follower. */
  readonly maxSnapshotBytes: number
  /** Entries before the snapshot that stay in memory for followers that lag a little. */
  readonly retainedEntries: number
  /** A new replica counts as caught up when it lacks no more entries than this. */
  readonly catchUpSlackEntries: number
}

/** What storage found at start. */
export interface RecoveredState {
  readonly hard: HardState
  /** Index 0 with the founding members when no snapshot was ever taken. */
  readonly snapshot: Snapshot
  /** Entries after the snapshot, without gaps. */
  readonly entries: readonly LogEntry[]
}

/** What a replica is built with. */
export interface ReplicaOptions {
  readonly id: ReplicaId
  readonly random: Random
  readonly recovered: RecoveredState
  /** True when storage was found corrupt: the replica then takes no part at all. */
  readonly damaged?: boolean
  readonly timing?: Partial<ReplicaTiming>
  readonly limits?: Partial<ReplicaLimits>
}

/** Asks whether an election in `term` could be won; changes nothing at the receiver. */
export interface PreVoteRequest {
  readonly type: 'preVote'
  readonly term: number
  readonly lastIndex: number
  readonly lastTerm: number
}

/** Answer to a pre-vote; `term` is the one asked for when granted, otherwise the receiver's own. */
export interface PreVoteReply {
  readonly type: 'preVoteReply'
  readonly term: number
  readonly granted: boolean
}

/** Asks for the receiver's vote in `term`. */
export interface VoteRequest {
  readonly type: 'vote'
  readonly term: number
  readonly lastIndex: number
  readonly lastTerm: number
}

/** Answer to a vote request, sent only after the vote is synced. */
export interface VoteReply {
  readonly type: 'voteReply'
  readonly term: number
  readonly granted: boolean
}

/** Entries after `prevIndex`, or a heartbeat when there are none. */
export interface AppendRequest {
  readonly type: 'append'
  readonly term: number
  readonly prevIndex: number
  readonly prevTerm: number
  readonly entries: readonly LogEntry[]
  readonly commit: number
  /** Number of the leader's read round; the reply repeats it. */
  readonly round: number
  /** The leader's monotonic clock in milliseconds; the reply repeats it. */
  readonly sentAtMs: number
}

/** Answer to an append or to the last part of a snapshot, sent only after the entries are synced. */
export interface AppendReply {
  readonly type: 'appendReply'
  readonly term: number
  readonly success: boolean
  /** Highest index known to equal the leader's; 0 on failure. */
  readonly match: number
  /** On failure, the first index that may differ. */
  readonly conflictIndex: number
  /** On failure, the term found at `prevIndex`; -1 when the log is too short. */
  readonly conflictTerm: number
  readonly round: number
  readonly sentAtMs: number
}

/** One part of a snapshot; an empty part asks how far the receiver has come. */
export interface SnapshotChunk {
  readonly type: 'snapshot'
  readonly term: number
  readonly index: number
  readonly snapshotTerm: number
  readonly members: readonly ReplicaId[]
  readonly offset: number
  readonly totalBytes: number
  readonly data: Uint8Array
  readonly round: number
  readonly sentAtMs: number
}

/** Tells the leader which byte of the snapshot is wanted next. */
export interface SnapshotReply {
  readonly type: 'snapshotReply'
  readonly term: number
  readonly index: number
  readonly offset: number
  readonly round: number
  readonly sentAtMs: number
}

/** Messages between replicas. */
export type AgreementMessage =
  | PreVoteRequest
  | PreVoteReply
  | VoteRequest
  | VoteReply
  | AppendRequest
  | AppendReply
  | SnapshotChunk
  | SnapshotReply

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
