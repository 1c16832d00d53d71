import type { Disposition, Incarnation, NodeId, Reason, ServiceName } from '../Types.js'

/** Identifies one at-most-once request: the caller's Idempotency-Key within a service. */
export interface RecordKey {
  readonly service: ServiceName
  readonly key: string
}

/**
 * The call that holds the permission to run a request. Later commands for the record take effect only when they carry
 * the same holder (fencing).
 */
export interface PermitHolder {
  readonly node: NodeId
  readonly incarnation: Incarnation
  /** Id of the call within the node's incarnation. */
  readonly call: number
}

/** A complete answer, stored so that a retry with the same key receives the answer of the first run. */
export interface StoredAnswer {
  readonly status: number
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
  /** True when headers and body were not stored, because they were too large; such an answer can't be replayed. */
  readonly truncated: boolean
}

/** Commands that control replicas apply in log order. Each log entry also carries the leader's group time. */
export type RecordCommand =
  /** Requests the permission to run the request for at most `runForMs`. */
  | { readonly type: 'begin', readonly record: RecordKey, readonly fingerprint: string, readonly holder: PermitHolder, readonly runForMs: number }
  /** The run ended with this answer. */
  | { readonly type: 'finish', readonly record: RecordKey, readonly holder: PermitHolder, readonly answer: StoredAnswer }
  /** The request may or may not have run, and its outcome will never be known. */
  | { readonly type: 'lose', readonly record: RecordKey, readonly holder: PermitHolder }
  /** The holder has proof that the upstream did not run the request; the key may be granted again. */
  | { readonly type: 'abandon', readonly record: RecordKey, readonly holder: PermitHolder }

/** Reply to a command. */
export type RecordReply =
  /** The holder may run the request. */
  | { readonly type: 'granted' }
  /** An earlier run ended with this answer. */
  | { readonly type: 'answered', readonly answer: StoredAnswer }
  /** Another holder is running the request. */
  | { readonly type: 'inProgress', readonly retryAfterMs: number }
  /** The outcome of an earlier run is not known. */
  | { readonly type: 'unknown' }
  /** The outcome is stored. */
  | { readonly type: 'recorded' }
  /** The call does not hold the record, or the request can't be accepted; this call did not run it. */
  | { readonly type: 'refused', readonly reason: Reason, readonly retryAfterMs: number }

/** Limits of the ledger. They are replicated state, so all replicas of a group must start with the same values. */
export interface LedgerLimits {
  /** Most records kept; further keys are refused with `records-full`. */
  readonly maxRecords: number
  /** Most bytes of the headers and body of one answer; a larger answer is stored without them. */
  readonly maxAnswerBytes: number
  /** Most bytes of all stored answers; answers that do not fit are stored without headers and body. */
  readonly maxAnswersBytes: number
  /** How long a key is kept after the end of its run time, in milliseconds of group time. */
  readonly horizonMs: number
}

/** State of a record. A record that is `running` after its run time has passed counts as `lost`. */
export type RecordState = 'running' | 'answered' | 'lost'

/** A record, also in the form that is written to a snapshot. */
export interface StoredRecord {
  readonly record: RecordKey
  readonly fingerprint: string
  readonly holder: PermitHolder
  readonly state: RecordState
  /** Group time at which the run time ends, in milliseconds. */
  readonly runUntilMs: number
  readonly answer?: StoredAnswer
}

/** Replicated state of the ledger, in the form that is written to a snapshot. */
export interface LedgerSnapshot {
  readonly format: 1
  readonly limits: LedgerLimits
  /** Group time of the last applied entry in milliseconds. */
  readonly atMs: number
  /** In order of their grants, the oldest first. */
  readonly records: readonly StoredRecord[]
  /** Tombstones of holders that gave up or were refused and may not be granted any more, the oldest first. */
  readonly spent: ReadonlyArray<{ readonly holder: PermitHolder, readonly atMs: number }>
}

/** The at-most-once request that an execution permit is for. */
export interface PermitRequest {
  readonly record: RecordKey
  /** Fingerprint of the request, which detects a key that is reused for another request. */
  readonly fingerprint: string
  readonly holder: PermitHolder
  /** When the caller stops waiting, in milliseconds on the node's monotonic clock. */
  readonly deadlineAtMs: number
  /** How long the run may take, in milliseconds; at least the time to the deadline. */
  readonly runForMs: number
}

/**
 * States of an execution permit. `asking` waits for the permission and `dispatched` for the upstream. In `answering`,
 * `losing` and `giving-back` (the grant is abandoned) the caller has been answered and the outcome is still to be
 * recorded; in `done` nothing is left to do.
 */
export type PermitState = 'new' | 'asking' | 'dispatched' | 'answering' | 'losing' | 'giving-back' | 'done'

/** Events of an execution permit. */
export type PermitEvent =
  | { readonly type: 'start' }
  /** The leader replied to the command that was sent with this sequence. */
  | { readonly type: 'reply', readonly sequence: number, readonly reply: RecordReply }
  /** No reply will come; the command may or may not have been applied (no leader, leader change, lost connection). */
  | { readonly type: 'unanswered', readonly sequence: number }
  /** The upstream gave a complete answer. */
  | { readonly type: 'answered', readonly answer: StoredAnswer }
  /** The upstream may have run the request, and no answer will come. */
  | { readonly type: 'upstreamLost' }
  /** Proof that the upstream did not run it: no byte was written, or it shed the request. */
  | { readonly type: 'notRun', readonly reason: Reason, readonly retryAfterMs: number }
  /** The caller cancelled the call or disconnected. */
  | { readonly type: 'callerGone' }
  | { readonly type: 'tick' }

/** Actions of an execution permit. */
export type PermitAction =
  /** Sends a command to the leader of the record's shard. */
  | { readonly type: 'send', readonly sequence: number, readonly command: RecordCommand }
  /** Sends the request to the upstream; emitted at most once. */
  | { readonly type: 'dispatch' }
  /** Answers the caller. `isReplayed` is true for the stored answer of an earlier run. */
  | { readonly type: 'answer', readonly answer: StoredAnswer, readonly isReplayed: boolean }
  /** Refuses the call. `firstStatus` is the status of an earlier run whose answer was too large to store. */
  | {
    readonly type: 'refuse',
    readonly disposition: Disposition,
    readonly reason: Reason,
    readonly retryAfterMs: number,
    readonly firstStatus?: number
  }
  /** Requests a `tick` at this time. */
  | { readonly type: 'wake', readonly atMs: number }
  /** The outcome is recorded or given up; the host may drop the permit. A graceful shutdown waits for this. */
  | { readonly type: 'done' }
