import type { CallId, Disposition, Reason } from '../Types.js'

/** Events of the retry policy, one for each service and ingress node. */
export type RetryEvent =
  /** A first attempt starts. `retriesAbove` is true when a layer nearer to the caller may retry it. */
  | {
    readonly type: 'begin',
    readonly call: CallId,
    readonly idempotent: boolean,
    readonly deadlineAtMs: number,
    readonly retriesAbove: boolean
  }
  | {
    readonly type: 'failed',
    readonly call: CallId,
    readonly disposition: Disposition,
    readonly reason: Reason,
    readonly retryAfterMs: number,
    readonly responseStarted: boolean
  }
  | { readonly type: 'succeeded', readonly call: CallId, readonly latencyMs: number }
  | { readonly type: 'ended', readonly call: CallId }
  | { readonly type: 'tick' }

/** Actions of the retry policy. */
export type RetryAction =
  | { readonly type: 'retry', readonly call: CallId, readonly attempt: number }
  /** The answer goes to the caller at once. */
  | { readonly type: 'giveUp', readonly call: CallId, readonly reason: Reason, readonly retryAfterMs: number }
  | { readonly type: 'hedge', readonly call: CallId, readonly attempt: number }
  | { readonly type: 'wake', readonly atMs: number }
