import type { CallId, Disposition, Reason } from '../Types.js'

/** Events of the retry policy, one for each service and ingress node. */
export type RetryEvent =
  /** A first attempt starts. `retriesAbove` is true when a layer nearer to the caller may retry it. */
  | {
    readonly type: 'begin',
    readonly call: CallId,
    readonly idempotent: boolean,
    readonly deadlineAtMs: number,
    readonly retriesAbove: boolean,
    /** False for work that must not be started twice for the sake of speed; true when left out. */
    readonly hedge?: boolean
  }
  | {
    readonly type: 'failed',
    readonly call: CallId,
    readonly disposition: Disposition,
    readonly reason: Reason,
    readonly retryAfterMs: number,
    readonly responseStarted: boolean
  }
  /** The call has its answer; `attempt` names the attempt that gave it, the first when left out. */
  | { readonly type: 'succeeded', readonly call: CallId, readonly latencyMs: number, readonly attempt?: number }
  | { readonly type: 'ended', readonly call: CallId }
  | { readonly type: 'tick' }

/** Actions of the retry policy. */
export type RetryAction =
  | { readonly type: 'retry', readonly call: CallId, readonly attempt: number }
  /** The answer goes to the caller at once. */
  | { readonly type: 'giveUp', readonly call: CallId, readonly reason: Reason, readonly retryAfterMs: number }
  | { readonly type: 'hedge', readonly call: CallId, readonly attempt: number }
  /** Attempts still in flight after the call has its answer; the host cancels them. */
  | { readonly type: 'cancelAttempts', readonly call: CallId, readonly except: number }
  | { readonly type: 'wake', readonly atMs: number }

/** Options of the retry policy. */
export interface RetryOptions {
  /** Retries and hedges as a share of first attempts, 0 to 1. */
  readonly retryShare: number
  /** Retries that a quiet service may make, in each second. */
  readonly floorPerSecond: number
  /** Retries that may be saved up. */
  readonly burst: number
  /** Attempts of one call at most, the first and hedges counted. */
  readonly maxAttempts: number
  /** Whether slow idempotent calls get a second attempt beside the first. */
  readonly hedging: boolean
  /** Share of calls that are answered before a hedge would be sent, 0 to 1. */
  readonly hedgeQuantile: number
  readonly initialLatencyMs: number
  /** Shortest delay before a hedge in milliseconds. */
  readonly minHedgeDelayMs: number
  /** Calls known at once at most; a call beyond them is not retried. */
  readonly maxCalls: number
}
