import type { CallId, Disposition, Reason } from '../Types.js'

/** Events of the retry policy; there is one policy for each service and ingress node. */
export type RetryEvent =
  /** The first attempt of a call starts. `retriesAbove` is true when a layer nearer to the caller may retry it. */
  | {
    readonly type: 'begin',
    readonly call: CallId,
    readonly idempotent: boolean,
    readonly deadlineAtMs: number,
    readonly retriesAbove: boolean,
    /** False for work that must not be duplicated to lower its latency; true when left out. */
    readonly hedge?: boolean
  }
  /** An attempt failed. `responseStarted` is true when a part of an answer already went to the caller. */
  | {
    readonly type: 'failed',
    readonly call: CallId,
    readonly disposition: Disposition,
    readonly reason: Reason,
    readonly retryAfterMs: number,
    readonly responseStarted: boolean
  }
  /**
   * The call has its answer. `attempt` is the number of the attempt that gave it, the first when left out, and
   * `latencyMs` is the latency of that attempt.
   */
  | { readonly type: 'succeeded', readonly call: CallId, readonly latencyMs: number, readonly attempt?: number }
  /** The call ended, for example because its caller disconnected; the policy forgets it. */
  | { readonly type: 'ended', readonly call: CallId }
  | { readonly type: 'tick' }

/** Actions of the retry policy. */
export type RetryAction =
  /** The host sends the call to another instance, as attempt number `attempt`. */
  | { readonly type: 'retry', readonly call: CallId, readonly attempt: number }
  /** The call is not retried: the host answers the caller at once with `reason`. */
  | { readonly type: 'giveUp', readonly call: CallId, readonly reason: Reason, readonly retryAfterMs: number }
  /** The host sends the call to a second instance while the first attempt is in flight. */
  | { readonly type: 'hedge', readonly call: CallId, readonly attempt: number }
  /** The call has its answer: the host cancels all attempts still in flight except attempt number `except`. */
  | { readonly type: 'cancelAttempts', readonly call: CallId, readonly except: number }
  /** The host sends a `tick` at this time. */
  | { readonly type: 'wake', readonly atMs: number }

/** Options of the retry policy. */
export interface RetryOptions {
  /** Retries and hedges as a share of first attempts, 0 to 1. */
  readonly retryShare: number
  /** Retries per second that are allowed in addition to that share. */
  readonly floorPerSecond: number
  /** Largest number of unused retries that accumulate. */
  readonly burst: number
  /** Most attempts of one call, including the first and hedges. */
  readonly maxAttempts: number
  /** Whether slow idempotent calls are hedged. */
  readonly hedging: boolean
  /** Quantile of the latency after which a hedge is sent, 0 to 1. */
  readonly hedgeQuantile: number
  /** Estimate of that quantile before the first answer, in milliseconds. */
  readonly initialLatencyMs: number
  /** Shortest delay before a hedge in milliseconds. */
  readonly minHedgeDelayMs: number
  /** Most calls tracked at once; a call beyond them is neither retried nor hedged. */
  readonly maxCalls: number
}
