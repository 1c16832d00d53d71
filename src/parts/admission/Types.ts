import type { CallId, CallKind, LoadEvidence, Reason } from '../Types.js'

/** How a started call ended at the upstream. */
export type RunOutcome = 'ok' | 'error' | 'shed' | 'cancelled' | 'lost'

/** Events of the admission controller, one for each upstream and held by its node. */
export type AdmissionEvent =
  | { readonly type: 'capacity', readonly slots: number }
  | { readonly type: 'arrive', readonly call: CallId, readonly kind: CallKind, readonly deadlineAtMs: number }
  | { readonly type: 'finish', readonly call: CallId, readonly outcome: RunOutcome, readonly serviceMs: number }
  /** The caller went away: a waiting call is dropped; a started one keeps its slot until it finishes. */
  | { readonly type: 'cancel', readonly call: CallId }
  | { readonly type: 'drain' }
  | { readonly type: 'resume' }
  | { readonly type: 'tick' }

/** Actions of the admission controller. */
export type AdmissionAction =
  | { readonly type: 'start', readonly call: CallId }
  | { readonly type: 'refuse', readonly call: CallId, readonly reason: Reason, readonly retryAfterMs: number }
  /** The host sends `tick` at this time, the earliest of all that it was given. */
  | { readonly type: 'wake', readonly atMs: number }
  /** Nothing runs and nothing waits any more after a drain. */
  | { readonly type: 'drained' }

/** Read side of the admission controller. */
export interface AdmissionView {
  /** Evidence to attach to answers. */
  evidence (): LoadEvidence
}

/** Options of the admission controller. Durations in milliseconds. */
export interface AdmissionOptions {
  /** Slots before the upstream announces any; with 0 every call is refused. */
  readonly slots: number
  /** Calls that wait at most, over all kinds. */
  readonly maxQueued: number
  readonly initialServiceMs: number
  readonly initialDownloadMs: number
  /** Queue delay allowed for lookups and guarded calls, in service times. */
  readonly queueDelayServiceTimes: number
  readonly minQueueDelayMs: number
  readonly maxQueueDelayMs: number
  readonly maxDownloadQueueDelayMs: number
  /** Share of the limit that downloads never take, 0 to 1. */
  readonly lookupReserveShare: number
  readonly minRetryAfterMs: number
  readonly maxRetryAfterMs: number
}

/** Calls that share a queue: short work (lookups and guarded calls), and downloads. */
export type QueueClass = 'short' | 'download'
