import type { DeclineReason, GateLoad } from '../parts/gate/Types.js'
import type { InstanceIncarnation, InstanceLimit } from '../parts/instances/Types.js'
import type { QuotaRefusalReason } from '../parts/quota/Types.js'
import type { Route, RouteKind } from '../parts/routing/Types.js'
import type { CallId, ServiceName } from '../parts/Types.js'

/** Header names and values, alternating, as received. */
export type RawHeaders = readonly string[]

/** Names of the headers that callers, instances and nodes exchange; all in lower case. */
export interface HeaderNames {
  /** Id of one attempt of a caller; an instance repeats it in its answer. */
  readonly requestId: string
  /** Milliseconds that the sender will still wait for an answer. */
  readonly deadlineMs: string
  /** Id of the only instance that may run the request. */
  readonly targetInstance: string
  /** Id of the instance that answers. */
  readonly instanceId: string
  /** Present in an answer when the instance proves that it did not run the request. */
  readonly notExecuted: string
  /** Load of the instance; see `parseLoadHeader` for the format. */
  readonly load: string
  /** Service of the VM where the request originates. */
  readonly callerService: string
  /** Signature that proves that an answer comes from an instance. */
  readonly signature: string
  /** Requests a second that the instance takes from all nodes together, while its answers name it. */
  readonly requestLimit: string
  /** Present in an answer when the instance is about to stop. */
  readonly leaving: string
  /** API key of the caller; never forwarded. */
  readonly apiKey: string
  /** Name of the workspace that holds the caller's API key. */
  readonly workspace: string
  /** How long the instance stays cold, in milliseconds; in answers to health checks. */
  readonly coldMs: string
}

/**
 * Kind of an attempt: the first, a retry (`repeat`) that replaces a failed attempt, or a hedge sent beside a slow first
 * attempt. Nested calls have the kind of the attempt whose run makes them.
 */
export type AttemptKind = 'first' | 'repeat' | 'hedge'

/** Status of an instance that its node attaches to all that it replies. */
export interface InstanceStatus extends GateLoad {
  /** Absent while the instance names no limit. */
  readonly requestLimit?: InstanceLimit
  /** The instance, once it takes no new calls for good. */
  readonly leaving?: InstanceIncarnation
}

/** One attempt of a request, as it is sent to the node of an instance; "call" means such an attempt in this folder. */
export interface RoutedCall {
  readonly id: CallId
  readonly service: ServiceName
  readonly method: string
  readonly target: string
  readonly headers: RawHeaders
  readonly body: Uint8Array
  /** Size of a body that follows once the call has a slot, while `body` is empty; absent when `body` holds it. */
  readonly bodyBytes?: number
  /** Id of the caller's attempt; it is logged, and the instance must repeat it in its answer. */
  readonly requestId: string
  /** Name of the route. Run times are estimated for each route, since its calls take similar times. */
  readonly work: string
  readonly kind: RouteKind
  /** True when an instance makes the call while it runs a request. */
  readonly nested: boolean
  /** 0 is the most urgent. */
  readonly priority: number
  /** Milliseconds that the caller will still wait. */
  readonly leftMs: number
  /** Milliseconds until the latency objective of the request; negative when that has passed. */
  readonly objectiveLeftMs: number
  /** See `GateCall.moveMs`. When undefined, a decline is final: the request goes to no other instance. */
  readonly moveMs: number | undefined
  readonly attempt: AttemptKind
  /** Name of the caller's workspace; absent without one. A nested call has the workspace of its parent. */
  readonly workspace?: string
  /** Goes before `priority`; absent without a workspace. */
  readonly workspacePriority?: number
  /**
   * Share of its quota that the workspace has used over all nodes, or of its usual traffic where it has no quota; 0 to
   * 1, rounded to eighths. Absent when it is not known.
   */
  readonly shareUsed?: number
  /** Limit that the instance has named to the sender; the node beside the instance may have lost it in a restart. */
  readonly knownLimit?: InstanceLimit
  /** Requests a second for a cold instance, as its node may have no configuration yet; absent without a limit. */
  readonly coldPerS?: number
}

/** A complete answer of an instance. */
export interface RoutedAnswer {
  readonly status: number
  /** Without hop-by-hop headers and Content-Length, which follows from `body`. */
  readonly headers: RawHeaders
  readonly body: Uint8Array
}

/**
 * What is known of the execution of a call that got no answer: `unsent` means that no byte was sent to the instance,
 * `rejected` that the instance proved that it did not run the call, and `unknown` that the call may have run.
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
  | 'request-invalid'
  | 'link-lost'
  | 'body-stalled'
  | 'timeout'

/** Why the node of an instance turned a call away that has not run; `request-invalid`: HTTP can't express it. */
export type RefusalReason = DeclineReason | 'quarantined' | 'body-memory' | 'request-invalid'

/** Receives the outcome of one call: exactly one of the first three methods is called, exactly once. */
export interface RoutedCallListener {
  onAnswer (answer: RoutedAnswer, load: InstanceStatus): void
  /** The node of the instance turned the call away, which has not run. */
  onDeclined (reason: RefusalReason, retryAfterMs: number, load: InstanceStatus): void
  onFailed (proof: FailureProof, reason: FailureReason, load: InstanceStatus | undefined): void
  /** The node of the instance does not answer pings. The call may still end in any way. */
  onUnresponsive? (): void
  /** The call has a slot, and its body is expected by `supplyBody`; only called for a call with `bodyBytes`. */
  onBodyWanted? (): void
}

/** A call that was started and can be cancelled. */
export interface RoutedCallHandle {
  /** Cancels the call, since nobody waits for it any more. The listener is not called after this. */
  cancel (): void
  /** Returns whether the call is certain not to have run, and not to run when it is cancelled now; absent: it may. */
  isUnsent? (): boolean
  /**
   * Passes the body of a call with `bodyBytes`, after `onBodyWanted`.
   * @param body The whole body, or undefined when its sender has stalled.
   */
  supplyBody? (body: Uint8Array | undefined): void
}

/** Destination of calls: the proxy of the instance on this VM, or a link to another node. */
export interface RoutedCallTarget {
  start (call: RoutedCall, listener: RoutedCallListener): RoutedCallHandle
}

/**
 * Frames that move a body in either direction. Every chunk is acknowledged, in the order of arrival; see
 * `ChunkWindow`. The chunks of a body follow each other in order, and its size was announced before.
 */
export type BodyFrame =
  | { readonly type: 'bodyChunk', readonly id: CallId, readonly body: Uint8Array }
  | { readonly type: 'chunkAck' }

/** Frames from the node that sends calls to the node of the instance that runs them. */
export type CallClientFrame =
  | BodyFrame
  | { readonly type: 'callHello', readonly node: string }
  | { readonly type: 'call', readonly call: RoutedCall }
  | { readonly type: 'cancel', readonly id: CallId }
  | { readonly type: 'ping' }

/** Frames from the node of the instance back to the node that sent the calls. */
export type CallServerFrame =
  | BodyFrame
  /** The call has a slot: its body is to be sent. */
  | { readonly type: 'sendBody', readonly id: CallId }
  | {
    readonly type: 'answer',
    readonly id: CallId,
    readonly answer: RoutedAnswer,
    /** Size of the answer's body when it follows in chunks, while that of `answer` is empty. */
    readonly bodyBytes?: number,
    readonly load: InstanceStatus
  }
  | {
    readonly type: 'turnedAway',
    readonly id: CallId,
    readonly reason: RefusalReason,
    readonly retryAfterMs: number,
    readonly load: InstanceStatus
  }
  | {
    readonly type: 'failed',
    readonly id: CallId,
    readonly proof: FailureProof,
    readonly reason: FailureReason,
    /** Absent when the call did not reach the proxy of the instance. */
    readonly load?: InstanceStatus
  }
  /** The node is shutting down: it finishes the calls that it has and should get no new ones. */
  | { readonly type: 'stopping' }
  | { readonly type: 'pong' }

/** Limit on the requests of a workspace over all nodes together. */
export interface WorkspaceQuota {
  /** Requests a second; above 0. */
  readonly ratePerS: number
  /** Requests beyond the rate. */
  readonly burst: number
}

/** What a node keeps of the workspace of a request while it is served. */
export interface CallerWorkspace {
  readonly name: string
  /** Goes before the priority of the route; 0 is the most urgent. */
  readonly priority: number
  /** Absent for a workspace without a quota, and for nested calls. */
  readonly quota?: WorkspaceQuota
  /** See `RoutedCall.shareUsed`; when the request arrived. */
  readonly shareUsed?: number
}

/** A request of a caller that was read completely and routed. */
export interface GatewayRequest {
  readonly requestId: string
  readonly method: string
  readonly target: string
  readonly headers: RawHeaders
  readonly body: Uint8Array
  readonly route: Route
  readonly service: ServiceName
  /** Version of the routing configuration by which the request was routed. */
  readonly version: number
  /** Kind of the attempt whose run makes this nested call on this VM; undefined for any other request. */
  readonly parentAttemptKind: AttemptKind | undefined
  /** Workspace of the caller, or of the parent of a nested call; undefined without one. */
  readonly workspace: CallerWorkspace | undefined
  /** Milliseconds that the caller waits, counted from `arrivedAtMs`. */
  readonly deadlineMs: number
  /** When the request arrived, in monotonic milliseconds. */
  readonly arrivedAtMs: number
  /** When the latency objective ends, in monotonic milliseconds; it is counted from the caller's first attempt. */
  readonly objectiveAtMs: number
  /** Expected size of the request and its answer together, in bytes. */
  readonly expectedBytes: number
}

/** Why a request was refused before it was routed. */
export type RoutingRefusalReason = 'no-configuration' | 'no-route' | 'body-too-large' | 'unknown-key' | 'body-late' | 'stopping'

/** Why the node answered in place of an instance. */
export type GatewayReason =
  | FailureReason
  | RefusalReason
  | RoutingRefusalReason
  | QuotaRefusalReason
  | 'no-instance'
  | 'zones-evacuated'
  | 'retry-budget'
  | 'caller-gone'

/** Result that the caller receives. */
export type GatewayResult =
  | { readonly type: 'answer', readonly answer: RoutedAnswer }
  /** The request is proved not to have run. */
  | { readonly type: 'refused', readonly reason: GatewayReason, readonly retryAfterMs: number }
  /** The workspace of the request has no credit; the request has not run. */
  | { readonly type: 'limited', readonly reason: QuotaRefusalReason, readonly retryAfterMs: number }
  /** The request may have run. */
  | { readonly type: 'failed', readonly reason: GatewayReason, readonly timedOut: boolean }
