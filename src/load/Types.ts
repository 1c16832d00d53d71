import type { Disposition } from '../parts/Types.js'
import type { LoadStream } from './LoadPlan.js'

/** One call as it is meant to be sent. */
export interface PlannedCall {
  /** Names the call in `X-Request-Id`, unlike all others of the run. */
  readonly id: string
  readonly number: number
  readonly stream: LoadStream
  /** When it is due, in milliseconds since the start of the run. */
  readonly dueMs: number
  /** Index of the target that is tried first. */
  readonly target: number
  /** Whether the caller sends it twice at once. */
  readonly sentTwice: boolean
}

/**
 * How a call ended for its caller: `ok` with its own whole answer; `wrong` with another's or a cut one;
 * one of the dispositions; `error` with an error of the upstream; `failed` without any answer.
 */
export type CallEnd = 'ok' | 'wrong' | 'error' | 'failed' | Disposition

/** How one attempt ended. */
export interface AttemptResult {
  readonly end: CallEnd
  readonly status: number
  /** Reason that the system gave, or what failed. */
  readonly reason: string
  /** How long the answer asks to wait; undefined when it does not ask for a repeat. */
  readonly retryAfterMs: number | undefined
}

/** What became of a call. */
export interface CallResult {
  readonly call: PlannedCall
  readonly end: CallEnd
  readonly reason: string
  readonly attempts: number
  /** Whether each attempt was said to be not run. */
  readonly reportedNotRun: boolean
  /** From the time that it was due to the end of its answer. */
  readonly latencyMs: number
  /** From the time that it was due to its first sending. */
  readonly lateMs: number
}

/** Runs counted against the journals of the stand-ins. */
export interface AuditCounts {
  /** Journalled runs of the calls of this load run. */
  readonly runs: number
  /** Guarded calls that ran more than once. */
  readonly doubled: number
  /** Calls that were answered as done and never ran. */
  readonly lost: number
  /** Calls that were said to be not run, by each of their answers, and ran. */
  readonly falseNotRun: number
  /** Guarded calls that ran and whose caller was told that the outcome is unknown, or nothing. */
  readonly ranUnknown: number
  /** Ids of the calls behind these faults, at most 20 of them. */
  readonly examples: readonly string[]
}
