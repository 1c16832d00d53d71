import type { Disposition } from '../parts/Types.js'
import type { LoadStream } from './LoadPlan.js'

/** One call of a load run, before it is sent. */
export interface PlannedCall {
  /** Value of `X-Request-Id`; unique within the run. */
  readonly id: string
  /** Counts the calls of the run from 0. */
  readonly number: number
  readonly stream: LoadStream
  /** Due time, in milliseconds since the start of the run. */
  readonly dueMs: number
  /** Index of the target of the first attempt. */
  readonly target: number
  /** Whether the caller sends the call twice at once, to two targets. */
  readonly sentTwice: boolean
}

/**
 * How a call ended for its caller: `ok` with a complete answer of its own; `wrong` with a truncated answer or one of
 * another request; `error` with an error of the upstream; `failed` without an answer; or with a disposition, which is
 * what the system reports of a call that it could not complete.
 */
export type CallEnd = 'ok' | 'wrong' | 'error' | 'failed' | Disposition

/** Result of one attempt. */
export interface AttemptResult {
  readonly end: CallEnd
  readonly status: number
  /** Reason that the system gave, or the error message of a failure. */
  readonly reason: string
  /** Wait that the answer asks for before a retry; undefined when it asks for no retry. */
  readonly retryAfterMs: number | undefined
}

/** Result of a call after all its attempts. */
export interface CallResult {
  readonly call: PlannedCall
  readonly end: CallEnd
  readonly reason: string
  readonly attempts: number
  /** Whether every attempt was reported as not run. */
  readonly reportedNotRun: boolean
  /** Time from when the call was due to the end of its answer. */
  readonly latencyMs: number
  /** Time from when the call was due to its first attempt. */
  readonly lateMs: number
}

/** Calls compared with the journals of the test upstreams. */
export interface AuditCounts {
  /** Journalled runs of the calls of this load run. */
  readonly runs: number
  /** Guarded calls that ran more than once. */
  readonly doubled: number
  /** Calls that got a successful answer and never ran. */
  readonly lost: number
  /** Calls that ran although each of their answers reported them as not run. */
  readonly falseNotRun: number
  /** Guarded calls that ran while their caller got an unknown outcome or no answer. */
  readonly ranUnknown: number
  /** Examples of these calls as `COUNT: ID`, at most 20. */
  readonly examples: readonly string[]
}
