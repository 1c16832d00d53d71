import type { Disposition, Incarnation, NodeId, Reason, ServiceName } from '../Types.js'

/** Names one guarded request: the caller's Idempotency-Key within a service. */
export interface RecordKey {
  readonly service: ServiceName
  readonly key: string
}

/** The run that holds permission; fences every later effect on the record. */
export interface PermitHolder {
  readonly node: NodeId
  readonly incarnation: Incarnation
  readonly call: number
}

/** A complete answer, kept so that a repeated request gets the first's. */
export interface StoredAnswer {
  readonly status: number
  readonly headers: ReadonlyArray<readonly [string, string]>
  readonly body: Uint8Array
  /** True when the body was longer than the store keeps; such an answer can't be repeated. */
  readonly truncated: boolean
}

/** Commands that control replicas apply in log order. `atMs` is the leader's time, carried in the entry. */
export type RecordCommand =
  | { readonly type: 'begin', readonly record: RecordKey, readonly fingerprint: string, readonly holder: PermitHolder, readonly runForMs: number }
  | { readonly type: 'finish', readonly record: RecordKey, readonly holder: PermitHolder, readonly answer: StoredAnswer }
  /** The run may or may not have happened and will never be known. */
  | { readonly type: 'lose', readonly record: RecordKey, readonly holder: PermitHolder }
  /** The holder proves that the upstream never saw the request; the key may run again. */
  | { readonly type: 'abandon', readonly record: RecordKey, readonly holder: PermitHolder }

/** What a command is answered with. */
export type RecordReply =
  | { readonly type: 'granted' }
  | { readonly type: 'answered', readonly answer: StoredAnswer }
  | { readonly type: 'inProgress', readonly retryAfterMs: number }
  | { readonly type: 'unknown' }
  | { readonly type: 'recorded' }
  /** The holder no longer holds the record, or the request can't be taken; it was not run by this call. */
  | { readonly type: 'refused', readonly reason: Reason, readonly retryAfterMs: number }

/** Limits of the ledger. They are replicated state: all replicas of a group start with the same ones. */
export interface LedgerLimits {
  /** Records kept at once; a further key is refused with `records-full`. */
  readonly maxRecords: number
  /** Bytes of one answer's body and headers; a longer one is kept without its body. */
  readonly maxAnswerBytes: number
  /** Bytes of all kept answers; past it new answers are kept without their body. */
  readonly maxAnswersBytes: number
  /** How long a key is kept after its run time has passed, in milliseconds of group time. */
  readonly horizonMs: number
}

/** State of one record. `running` past its run time counts as `lost`. */
export type RecordState = 'running' | 'answered' | 'lost'

/** One record as it goes into a snapshot. */
export interface StoredRecord {
  readonly record: RecordKey
  readonly fingerprint: string
  readonly holder: PermitHolder
  readonly state: RecordState
  readonly runUntilMs: number
  readonly answer?: StoredAnswer
}

/** Replicated state of the ledger, as it goes into a snapshot. */
export interface LedgerSnapshot {
  readonly format: 1
  readonly limits: LedgerLimits
  /** Group time of the last applied entry. */
  readonly atMs: number
  /** Oldest first. */
  readonly records: readonly StoredRecord[]
  /** Holders that gave up or were refused and may not be granted, oldest first. */
  readonly spent: ReadonlyArray<{ readonly holder: PermitHolder, readonly atMs: number }>
}

/** What a run permit is for. */
export interface PermitRequest {
  readonly record: RecordKey
  /** Hash of method, target and body. */
  readonly fingerprint: string
  readonly holder: PermitHolder
  /** When the caller stops waiting, on the node's monotonic clock. */
  readonly deadlineAtMs: number
  /** How long the run may take once it is granted; at least the time to the deadline. */
  readonly runForMs: number
}

/**
 * States of a run permit. `answering` and `giving-back` have told the caller and still write their record;
 * `done` needs nothing more.
 */
export type PermitState = 'new' | 'asking' | 'dispatched' | 'answering' | 'losing' | 'giving-back' | 'done'

/** Events of a run permit. */
export type PermitEvent =
  | { readonly type: 'start' }
  /** Control answered the command that was sent under this sequence. */
  | { readonly type: 'reply', readonly sequence: number, readonly reply: RecordReply }
  /** The command may or may not have been applied: no leader, leader changed or connection lost. */
  | { readonly type: 'unanswered', readonly sequence: number }
  /** The upstream answered in full. */
  | { readonly type: 'answered', readonly answer: StoredAnswer }
  /** The upstream may have seen the request and will not answer. */
  | { readonly type: 'upstreamLost' }
  /** Proof that the upstream did not run it: no byte was written, or it shed the request. */
  | { readonly type: 'notRun', readonly reason: Reason, readonly retryAfterMs: number }
  /** The caller cancelled or went away. */
  | { readonly type: 'callerGone' }
  | { readonly type: 'tick' }

/** Actions of a run permit. */
export type PermitAction =
  /** Sends a command to the leader of the record's shard. */
  | { readonly type: 'send', readonly sequence: number, readonly command: RecordCommand }
  /** Hands the request to the upstream; happens at most once. */
  | { readonly type: 'dispatch' }
  /** `repeated` is true for the stored answer of an earlier run. */
  | { readonly type: 'answer', readonly answer: StoredAnswer, readonly isReplayed: boolean }
  /** `firstStatus` is there when an earlier run answered with this status and its body was not kept. */
  | {
    readonly type: 'refuse',
    readonly disposition: Disposition,
    readonly reason: Reason,
    readonly retryAfterMs: number,
    readonly firstStatus?: number
  }
  /** The host sends `tick` at this time. */
  | { readonly type: 'wake', readonly atMs: number }
  /** Nothing is left to write; the host may drop the permit. A planned stop waits for this. */
  | { readonly type: 'done' }
