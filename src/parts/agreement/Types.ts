import type { Random, ReplicaId } from '../Types.js'

/**
 * One entry of the replicated log. `data` is the encoded command or member list; it is empty for the entry that a new
 * leader appends.
 */
export interface LogEntry {
  readonly index: number
  readonly term: number
  readonly kind: 'command' | 'members' | 'empty'
  readonly data: Uint8Array
}

/** Raft hard state: current term and vote, synced before any message that depends on them. */
export interface HardState {
  readonly term: number
  readonly votedFor: ReplicaId | undefined
}

/** State machine and membership as of a log index; replaces the entries up to that index. */
export interface Snapshot {
  readonly index: number
  readonly term: number
  readonly members: readonly ReplicaId[]
  readonly data: Uint8Array
}

/**
 * Role of a replica. A `recovering` replica is not a member of the group or has a corrupt log; it does not vote and
 * counts towards no quorum.
 */
export type Role = 'recovering' | 'follower' | 'candidate' | 'leader'

/** Events that the host passes to a replica. The host chooses `id`; the action that ends the request carries it. */
export type AgreementEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'message', readonly from: ReplicaId, readonly message: AgreementMessage }
  | { readonly type: 'propose', readonly id: number, readonly data: Uint8Array }
  | { readonly type: 'read', readonly id: number }
  /** All `persist` actions up to this sequence number are synced. */
  | { readonly type: 'persisted', readonly sequence: number }
  | { readonly type: 'changeMembers', readonly id: number, readonly members: readonly ReplicaId[] }
  /** Replicas outside the group that receive the log from now on while this replica leads, in place of earlier ones. */
  | { readonly type: 'setLearners', readonly learners: readonly ReplicaId[] }
  /** The host can't store what this replica decides: a leader steps down, unless the group has no other member. */
  | { readonly type: 'resign' }
  /** Forms a group with these members; ignored by a replica that belongs to a group or is damaged. */
  | { readonly type: 'form', readonly members: readonly ReplicaId[] }
  /** The host has taken a snapshot of the state applied up to `index`; the log before it may be compacted. */
  | { readonly type: 'snapshotTaken', readonly index: number, readonly data: Uint8Array }

/** Timing of a replica in milliseconds. */
export interface ReplicaTiming {
  /** Interval between heartbeats of a leader. */
  readonly heartbeatMs: number
  /** Minimum election timeout: silence of the leader after which a replica starts an election. */
  readonly electionMinMs: number
  /** Maximum election timeout; the actual one is drawn at random between the two. */
  readonly electionMaxMs: number
  /**
   * Election timeout of the member with the lowest id until the first message from a leader since its start; that of
   * each following member is longer by twice as much. A group whose replicas all restart has no leader to wait for, and
   * members that are candidates at the same time split the votes. If undefined, the usual timeouts apply.
   */
  readonly firstElectionMs?: number
  /** A leader steps down when no quorum has answered it for this long; must be below `electionMinMs`. */
  readonly leaseMs: number
  /** Time that a new replica has to catch up before its addition is abandoned. */
  readonly catchUpTimeoutMs: number
  /** Silence of a new replica after which its addition is abandoned; if undefined, only the time to catch up counts. */
  readonly catchUpSilenceMs?: number
}

/** Bounds on the memory and messages of a replica. */
export interface ReplicaLimits {
  /** Proposals beyond this many uncommitted bytes are rejected. */
  readonly maxUncommittedBytes: number
  readonly maxUncommittedEntries: number
  /** Proposals are rejected while the log in memory is larger; it shrinks when the host takes a snapshot. */
  readonly maxLogBytes: number
  readonly maxAppendBytes: number
  readonly maxAppendEntries: number
  /** Unanswered appends in flight to one follower. */
  readonly maxAppendsInFlight: number
  /** Reads that may wait for a quorum at once; further ones are rejected. */
  readonly maxReads: number
  readonly snapshotChunkBytes: number
  /** A follower ignores a leader's snapshot that is larger. */
  readonly maxSnapshotBytes: number
  /** Most entries before the snapshot that stay in memory for followers that lag slightly behind. */
  readonly retainedEntries: number
  /** Most bytes of these entries; must leave room below `maxLogBytes` for the entries until the next snapshot. */
  readonly retainedBytes: number
  /** A new replica has caught up when it lacks at most this many entries. */
  readonly catchUpSlackEntries: number
}

/** State that storage recovered at start. */
export interface RecoveredState {
  readonly hard: HardState
  /** Index 0 with the members of the first group if no snapshot was ever taken. */
  readonly snapshot: Snapshot
  /** Entries after the snapshot, without gaps. */
  readonly entries: readonly LogEntry[]
}

/** Identity, recovered state, timing and limits of a replica. */
export interface ReplicaOptions {
  readonly id: ReplicaId
  readonly random: Random
  readonly recovered: RecoveredState
  /** True if storage was found corrupt: the replica then takes no part in the group. */
  readonly damaged?: boolean
  readonly timing?: Partial<ReplicaTiming>
  readonly limits?: Partial<ReplicaLimits>
}

/** Raft pre-vote request: asks whether the receiver would vote for the sender in `term`. Changes no state there. */
export interface PreVoteRequest {
  readonly type: 'preVote'
  readonly term: number
  readonly lastIndex: number
  readonly lastTerm: number
}

/** Reply to a pre-vote request; `term` is the requested term if granted, otherwise the receiver's own. */
export interface PreVoteReply {
  readonly type: 'preVoteReply'
  readonly term: number
  readonly granted: boolean
}

/** Raft vote request: asks for the receiver's vote in `term`. */
export interface VoteRequest {
  readonly type: 'vote'
  readonly term: number
  readonly lastIndex: number
  readonly lastTerm: number
}

/** Reply to a vote request, sent only after the vote is synced. */
export interface VoteReply {
  readonly type: 'voteReply'
  readonly term: number
  readonly granted: boolean
}

/** Raft append request with the entries after `prevIndex`; a heartbeat if there are none. */
export interface AppendRequest {
  readonly type: 'append'
  readonly term: number
  readonly prevIndex: number
  readonly prevTerm: number
  readonly entries: readonly LogEntry[]
  readonly commit: number
  /** Number of the leader's read round; the reply echoes it. */
  readonly round: number
  /** The leader's monotonic time of sending in milliseconds; the reply echoes it. */
  readonly sentAtMs: number
}

/** Reply to an append or to the last chunk of a snapshot, sent only after the entries or the snapshot are synced. */
export interface AppendReply {
  readonly type: 'appendReply'
  readonly term: number
  readonly success: boolean
  /** Highest index up to which the log is known to match the leader's; 0 on failure. */
  readonly match: number
  /** On failure, the first index at which the logs may differ. */
  readonly conflictIndex: number
  /** On failure, the follower's term at `prevIndex`; -1 if its log is too short. */
  readonly conflictTerm: number
  readonly round: number
  readonly sentAtMs: number
}

/** One chunk of a snapshot; an empty chunk asks which offset the receiver needs next. */
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

/** Reports to the leader the byte offset of the snapshot that the follower needs next. */
export interface SnapshotReply {
  readonly type: 'snapshotReply'
  readonly term: number
  readonly index: number
  readonly offset: number
  readonly round: number
  readonly sentAtMs: number
}

/** Messages between the replicas of a group. */
export type AgreementMessage =
  | PreVoteRequest
  | PreVoteReply
  | VoteRequest
  | VoteReply
  | AppendRequest
  | AppendReply
  | SnapshotChunk
  | SnapshotReply

/** Actions that the host carries out for a replica. */
export type AgreementAction =
  | { readonly type: 'send', readonly to: ReplicaId, readonly message: AgreementMessage }
  /** Must be synced in order; the host then sends `persisted`. Messages that depend on it are emitted only then. */
  | {
    readonly type: 'persist',
    readonly sequence: number,
    readonly hard?: HardState,
    readonly truncateFrom?: number,
    readonly entries: readonly LogEntry[],
    readonly snapshot?: Snapshot
  }
  /** The entry is committed, and the host applies it. `id` is set if it was proposed at this replica. */
  | { readonly type: 'commit', readonly entry: LogEntry, readonly id?: number }
  /** The host replaces the state of its state machine by that of the snapshot. */
  | { readonly type: 'restore', readonly snapshot: Snapshot }
  /** `state` is what is certain: `not-run` (it will never be in the log) or `unknown` (it may still commit). */
  | { readonly type: 'rejected', readonly id: number, readonly state: 'not-run' | 'unknown', readonly leader: ReplicaId | undefined }
  /** The host may answer the read once it has applied the entry at `index`. */
  | { readonly type: 'readable', readonly id: number, readonly index: number }
  /** The role or the leader has changed. */
  | { readonly type: 'became', readonly role: Role, readonly term: number, readonly leader: ReplicaId | undefined }
