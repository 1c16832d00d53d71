import type { DeclineReason, GateLoad } from '../parts/gate/Types.js'
import type { RouteKind } from '../parts/routing/Types.js'
import type { CallId, ServiceName } from '../parts/Types.js'

/** Names and values, one after the other, as they came. */
export type RawHeaders = readonly string[]

/** Names of the headers that callers, instances and nodes understand; all in lower case. */
export interface HeaderNames {
  /** Names one attempt of a caller; instances repeat it in their answers. */
  readonly requestId: string
  /** Milliseconds that the sender still waits. */
  readonly deadlineMs: string
  /** Id of the instance that alone may run the request. */
  readonly targetInstance: string
  /** Id of the instance that answers. */
  readonly instanceId: string
  /** Present when the instance proves that it did not run the request. */
  readonly notExecuted: string
  /** Running, waiting, slots, and the machine's slowness in percent. */
  readonly load: string
  /** Service of the VM where the request began. */
  readonly callerService: string
  /** Proof that an answer comes from an instance. */
  readonly signature: string
}

/**
 * Which send of a request a run belongs to: the first, one that replaces a failed one, or a duplicate sent in case
 * that the first is slow. Calls that a run makes belong to the same.
 */
export type AttemptKind = 'first' | 'repeat' | 'hedge'

/** One call on its way to an instance. */
export interface RoutedCall {
  readonly id: CallId
  readonly service: ServiceName
  readonly method: string
  readonly target: string
  readonly headers: RawHeaders
  readonly body: Uint8Array
  /** Id of the caller's attempt, for the log. */
  readonly requestId: string
  /** Name of the route; calls of one route take alike long. */
  readonly work: string
  readonly kind: RouteKind
  readonly nested: boolean
  readonly priority: number
  /** Milliseconds that the caller still waits. */
  readonly leftMs: number
  /** Milliseconds within which an answer is worth its full value; negative when it is late. */
  readonly objectiveLeftMs: number
  /** See `GateCall.moveMs`; a gate's answer to a call without it is final. */
  readonly moveMs: number | undefined
  readonly attempt: AttemptKind
}

/** A whole answer of an instance. */
export interface RoutedAnswer {
  readonly status: number
  /** Without those of the connection; the body's length is that of `body`. */
  readonly headers: RawHeaders
  readonly body: Uint8Array
}

/**
 * What is proved of a call that got no answer: `unsent` no byte left for the instance; `rejected` the instance
 * proved that it did not run it; `unknown` it may have run.
 */
export type FailureProof = 'unsent' | 'rejected' | 'unknown'

/** Why a call got no answer. */
export type FailureReason =
  | 'instance-unreachable'
  | 'instance-rejected'
  | 'instance-lost'
  | 'instance-replaced'
  | 'answer-invalid'
  | 'answer-foreign'
  | 'link-lost'
  | 'node-unknown'
  | 'timeout'
  | 'quarantined'

/** Hears how one call ends; exactly one method is called, once. */
export interface RoutedCallListener {
  onAnswer (answer: RoutedAnswer, load: GateLoad): void
  /** The gate did not let the call in: it has not run. */
  onDeclined (reason: DeclineReason, retryAfterMs: number, load: GateLoad): void
  onFailed (proof: FailureProof, reason: FailureReason, load: GateLoad | undefined): void
}

/** A call that was started. */
export interface RoutedCallHandle {
  /** Nobody waits any more; the sink hears nothing after this. */
  cancel (): void
}

/** Where calls go: the gate beside this node, or a link to another. */
export interface RoutedCallTarget {
  start (call: RoutedCall, listener: RoutedCallListener): RoutedCallHandle
}

/** Frames from the node where a call began to the node beside the instance. */
export type CallClientFrame =
  | { readonly type: 'callHello', readonly node: string }
  | { readonly type: 'call', readonly call: RoutedCall }
  | { readonly type: 'cancel', readonly id: CallId }
  | { readonly type: 'ping' }

/** Frames back. */
export type CallServerFrame =
  | { readonly type: 'answer', readonly id: CallId, readonly answer: RoutedAnswer, readonly load: GateLoad }
  | {
    readonly type: 'turnedAway',
    readonly id: CallId,
    readonly reason: DeclineReason,
    readonly retryAfterMs: number,
    readonly load: GateLoad
  }
  | {
    readonly type: 'failed',
    readonly id: CallId,
    readonly proof: FailureProof,
    readonly reason: FailureReason,
    readonly load: GateLoad
  }
  /** The node stops: it finishes what it holds and takes nothing new. */
  | { readonly type: 'stopping' }
  | { readonly type: 'pong' }
