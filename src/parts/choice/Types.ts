import type { CallId, CallKind, InstanceId, LoadEvidence, Place, Reason } from '../Types.js'

/** State in which a node announces its upstream. */
export type CandidateState = 'starting' | 'serving' | 'draining'

/** One instance that a chooser may pick. */
export interface Candidate {
  readonly instance: InstanceId
  readonly place: Place
  readonly state: CandidateState
  /** Slots that the upstream announces. */
  readonly slots: number
}

/** How an attempt at an instance ended, seen from the ingress side. */
export type AttemptOutcome = 'ok' | 'error' | 'refused' | 'unreachable' | 'cancelled'

/** Events of the upstream chooser, one chooser for each service and ingress node. */
export type ChoiceEvent =
  /** All members now. A new one counts as linked until `linkDown`, so the host repeats that for dead links. */
  | { readonly type: 'members', readonly candidates: readonly Candidate[] }
  /** `kind` is lookup when left out; only lookups are held against the usual latency. */
  | {
    readonly type: 'choose',
    readonly call: CallId,
    readonly excluded: readonly InstanceId[],
    readonly kind?: CallKind
  }
  | {
    readonly type: 'answered',
    readonly call: CallId,
    readonly instance: InstanceId,
    readonly outcome: AttemptOutcome,
    readonly latencyMs: number,
    readonly evidence?: LoadEvidence
  }
  | { readonly type: 'evidence', readonly instance: InstanceId, readonly evidence: LoadEvidence }
  | { readonly type: 'linkDown', readonly instance: InstanceId }
  | { readonly type: 'linkUp', readonly instance: InstanceId }
  | { readonly type: 'tick' }

/** Actions of the upstream chooser. */
export type ChoiceAction =
  | { readonly type: 'chosen', readonly call: CallId, readonly instance: InstanceId }
  | { readonly type: 'noneAvailable', readonly call: CallId, readonly reason: Reason, readonly retryAfterMs: number }
  | { readonly type: 'probe', readonly instance: InstanceId }
  | { readonly type: 'ejected', readonly instance: InstanceId, readonly untilMs: number }
  | { readonly type: 'restored', readonly instance: InstanceId }
