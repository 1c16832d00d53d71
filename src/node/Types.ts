import type {
  CallId, CallKind, Disposition, Incarnation, LoadEvidence, Reason, ServiceName
} from '../parts/Types.js'

/** Alternating header names and values, as received. */
export type RawHeaders = readonly string[]

/** One attempt of a call, as it is sent to an upstream's node. */
export interface CallRequest {
  readonly id: CallId
  /** Incarnation of the ingress node's process; together with `id` it identifies the call across restarts. */
  readonly from: Incarnation
  readonly service: ServiceName
  readonly method: string
  /** Path and query. */
  readonly target: string
  readonly headers: RawHeaders
  readonly body: Uint8Array
  /** Milliseconds left until the deadline when the call was sent. */
  readonly deadlineMs: number
  /** Number of calls in the chain that led to this nested call; 0 for a call from outside. */
  readonly depth: number
  readonly kind: CallKind
  /** The caller's Idempotency-Key; at-most-once calls always have one. */
  readonly key?: string
  /** Hash that identifies the request; see `RequestFingerprint`. */
  readonly fingerprint: string
  /** Configuration version under which the ingress side classified the call. */
  readonly version: number
}

/** Status and headers of an upstream's answer. */
export interface AnswerHead {
  readonly status: number
  readonly headers: RawHeaders
}

/** Final answer made by the system instead of an upstream. */
export interface Refusal {
  readonly disposition: Disposition
  readonly reason: Reason
  readonly retryAfterMs: number
  /** Status of the stored answer to an at-most-once request that was sent again, if its body was not stored. */
  readonly firstStatus?: number
}

/** Receives the answer to a call. `onAnswer`, `onEnd`, `onRefused` and `onAbort` are final: nothing follows them. */
export interface CallListener {
  /** A complete short answer. */
  onAnswer (head: AnswerHead, body: Uint8Array, evidence: LoadEvidence): void
  /** The head of a long answer; its body is streamed with `onBody` and ends with `onEnd` or `onAbort`. */
  onHead (head: AnswerHead, evidence: LoadEvidence): void
  onBody (bytes: Uint8Array): void
  onEnd (): void
  onRefused (refusal: Refusal, evidence: LoadEvidence | undefined): void
  /** The answer was interrupted after its head. */
  onAbort (reason: string): void
}

/** Controls a call that was started. */
export interface CallHandle {
  /** Cancels the call: its caller disconnected, or its deadline passed. The listener receives nothing more. */
  cancel (): void
  /** Grants flow-control credit: this many more bytes of the answer's body may be sent. */
  grant (bytes: number): void
}

/** Destination of calls: a link to another node, or the local upstream side. */
export interface CallTarget {
  start (request: CallRequest, listener: CallListener): CallHandle
}
