import type {
  CallId, CallKind, Disposition, Incarnation, LoadEvidence, Reason, ServiceName
} from '../parts/Types.js'

/** Header names and values, one after the other, as they stood on the wire. */
export type RawHeaders = readonly string[]

/** One call on its way to an upstream's node. */
export interface CallRequest {
  readonly id: CallId
  /** Incarnation of the ingress node's process; with `id` it names the call for good. */
  readonly from: Incarnation
  readonly service: ServiceName
  readonly method: string
  /** Path with query. */
  readonly target: string
  readonly headers: RawHeaders
  readonly body: Uint8Array
  /** Milliseconds left when the call was sent. */
  readonly deadlineMs: number
  /** Calls above this one in the chain. */
  readonly depth: number
  readonly kind: CallKind
  /** The caller's Idempotency-Key; always there on guarded calls. */
  readonly key?: string
  /** Hash of method, target and body. */
  readonly fingerprint: string
  /** Configuration version under which the ingress side classified the call. */
  readonly version: number
}

/** Status and headers of an upstream's answer. */
export interface AnswerHead {
  readonly status: number
  readonly headers: RawHeaders
}

/** An answer made by the system. */
export interface Refusal {
  readonly disposition: Disposition
  readonly reason: Reason
  readonly retryAfterMs: number
  /** Status of the first answer to a repeated guarded request, when its body was not kept. */
  readonly firstStatus?: number
}

/** Where the answer to a call goes. After `onRefused`, `onAnswer`, `onEnd` or `onAbort` nothing more comes. */
export interface CallSink {
  /** A whole short answer. */
  onAnswer (head: AnswerHead, body: Uint8Array, evidence: LoadEvidence): void
  /** The head of a long answer; its body follows in pieces. */
  onHead (head: AnswerHead, evidence: LoadEvidence): void
  onBody (bytes: Uint8Array): void
  onEnd (): void
  onRefused (refusal: Refusal, evidence: LoadEvidence | undefined): void
  /** The answer broke off after its head. */
  onAbort (reason: string): void
}

/** Holds a call that was started. */
export interface CallHandle {
  /** The caller went away or its deadline passed; the sink hears nothing more. */
  cancel (): void
  /** Allows this many more bytes of the body to be sent. */
  grant (bytes: number): void
}

/** Something that takes calls: a link to another node, or the local upstream side. */
export interface CallTarget {
  start (request: CallRequest, sink: CallSink): CallHandle
}
