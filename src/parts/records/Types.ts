import type { Incarnation, NodeId, Reason, ServiceName } from '../Types.js'

/** Names one guarded request: the caller's Idempotency-Key within a service. */
export interface RecordKey {
  readonly service: ServiceName
  readonly key: string
}

/** The run that holds permission; fences every later effect on the record. */
export interface Holder {
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
  | { readonly type: 'begin', readonly record: RecordKey, readonly fingerprint: string, readonly holder: Holder, readonly runForMs: number }
  | { readonly type: 'finish', readonly record: RecordKey, readonly holder: Holder, readonly answer: StoredAnswer }
  /** The run may or may not have happened and will never be known. */
  | { readonly type: 'lose', readonly record: RecordKey, readonly holder: Holder }
  /** The holder proves that the upstream never saw the request; the key may run again. */
  | { readonly type: 'abandon', readonly record: RecordKey, readonly holder: Holder }

/** What a command is answered with. */
export type RecordReply =
  | { readonly type: 'granted' }
  | { readonly type: 'answered', readonly answer: StoredAnswer }
  | { readonly type: 'inProgress', readonly retryAfterMs: number }
  | { readonly type: 'unknown' }
  | { readonly type: 'recorded' }
  /** The holder no longer holds the record, or the request can't be taken; it was not run by this call. */
  | { readonly type: 'refused', readonly reason: Reason, readonly retryAfterMs: number }
