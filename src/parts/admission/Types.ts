import type { CallId, CallKind, LoadEvidence, Reason } from '../Types.js'

/**
 * How a started call ended: `shed` when the upstream rejected it without running it, `lost` when no complete answer
 * came.
 */
export type RunOutcome = 'ok' | 'error' | 'shed' | 'cancelled' | 'lost'

/** Events of the admission controller. The node of each upstream holds one. */
export type AdmissionEvent =
  /** The upstream announced how many calls it runs at once. */
  | { readonly type: 'capacity', readonly slots: number }
  | { readonly type: 'arrive', readonly call: CallId, readonly kind: CallKind, readonly deadlineAtMs: number }
  | { readonly type: 'finish', readonly call: CallId, readonly outcome: RunOutcome, readonly serviceMs: number }
  /** The caller disconnected: a queued call is refused, a started one keeps its slot until it finishes. */
  | { readonly type: 'cancel', readonly call: CallId }
  | { readonly type: 'drain' }
  | { readonly type: 'resume' }
  | { readonly type: 'tick' }

/** Actions of the admission controller. */
export type AdmissionAction =
  | { readonly type: 'start', readonly call: CallId }
  | { readonly type: 'refuse', readonly call: CallId, readonly reason: Reason, readonly retryAfterMs: number }
  /** Requests a `tick` at this time. When several are requested, the host sends one at the earliest time. */
  | { readonly type: 'wake', readonly atMs: number }
  /** After a drain no call is running or queued any more. */
  | { readonly type: 'drained' }

/** Read-only view of the admission controller. */
export interface AdmissionView {
  /** Returns the load evidence to attach to answers. */
  evidence (): LoadEvidence
}

/** Options of the admission controller; durations are in milliseconds. */
export interface AdmissionOptions {
  /** Slots until the upstream announces its own; with 0 every call is refused. */
  readonly slots: number
  /** Most calls queued at once, over all kinds. */
  readonly maxQueued: number
  /** Expected service time of lookups and at-most-once requests until the first one finishes. */
  readonly initialServiceMs: number
  /** Expected service time of downloads until the first one finishes. */
  readonly initialDownloadMs: number
  /** Longest queue delay of lookups and at-most-once requests, as a multiple of their average service time. */
  readonly queueDelayServiceTimes: number
  /** Bounds on the queue delay that results from `queueDelayServiceTimes`. */
  readonly minQueueDelayMs: number
  readonly maxQueueDelayMs: number
  /** Longest queue delay of downloads. */
  readonly maxDownloadQueueDelayMs: number
  /** Share of the concurrency limit that is reserved for lookups and at-most-once requests, 0 to 1. */
  readonly lookupReserveShare: number
  /** Bounds on the Retry-After of refused calls; a cancelled call gets 0. */
  readonly minRetryAfterMs: number
  readonly maxRetryAfterMs: number
}

/** Class of calls that share a queue and a service time: short work (lookups, at-most-once requests) or downloads. */
export type QueueClass = 'short' | 'download'
