import type { CallId, CallKind, InstanceId, LoadEvidence, ProcessLocation, Reason } from '../Types.js'

/** State of an upstream that its node announces. */
export type CandidateState = 'starting' | 'serving' | 'draining'

/** One instance that a chooser may choose. */
export interface Candidate {
  readonly instance: InstanceId
  readonly place: ProcessLocation
  readonly state: CandidateState
  /** Calls that the upstream may run at once, as announced. */
  readonly slots: number
}

/** Outcome of an attempt at an instance, as observed by the ingress node. */
export type AttemptOutcome = 'ok' | 'error' | 'refused' | 'unreachable' | 'cancelled'

/** Events of the upstream chooser; there is one chooser for each service and ingress node. */
export type ChoiceEvent =
  /**
   * All instances of the service. The link to a new one counts as up until `linkDown`, so the host sends `linkDown`
   * again for lost links.
   */
  | { readonly type: 'members', readonly candidates: readonly Candidate[] }
  /** Asks for an instance. `kind` is lookup when left out; only the latency of lookups counts as slowness. */
  | {
    readonly type: 'choose',
    readonly call: CallId,
    readonly excluded: readonly InstanceId[],
    readonly kind?: CallKind
  }
  /** An attempt ended. */
  | {
    readonly type: 'answered',
    readonly call: CallId,
    readonly instance: InstanceId,
    readonly outcome: AttemptOutcome,
    readonly latencyMs: number,
    readonly evidence?: LoadEvidence
  }
  /** Load evidence that arrived without an answer. */
  | { readonly type: 'evidence', readonly instance: InstanceId, readonly evidence: LoadEvidence }
  | { readonly type: 'linkDown', readonly instance: InstanceId }
  | { readonly type: 'linkUp', readonly instance: InstanceId }
  | { readonly type: 'tick' }

/** Actions of the upstream chooser. */
export type ChoiceAction =
  | { readonly type: 'chosen', readonly call: CallId, readonly instance: InstanceId }
  | { readonly type: 'noneAvailable', readonly call: CallId, readonly reason: Reason, readonly retryAfterMs: number }
  /** The host asks the instance's node for load evidence. */
  | { readonly type: 'probe', readonly instance: InstanceId }
  /** The instance receives calls only if no other is left, until `untilMs`. */
  | { readonly type: 'ejected', readonly instance: InstanceId, readonly untilMs: number }
  | { readonly type: 'restored', readonly instance: InstanceId }
