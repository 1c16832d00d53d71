import type { CallId, Incarnation, InstanceId, NodeId } from '../Types.js'

/** Hash of what makes a request the same request: method, target and body. */
export type Fingerprint = string

/** One suspicion or verdict, as nodes pass it on. */
export interface CrashReport {
  readonly fingerprint: Fingerprint
  readonly node: NodeId
  readonly incarnation: Incarnation
  /** Grows with each report of the node's incarnation; makes repeated reports count once. */
  readonly sequence: number
  /** A call of the fingerprint ended without a crash, which halves the suspicion, where true. */
  readonly cleared?: boolean
  /** Suspicion that the crash adds, 1 at most; 1 when left out. */
  readonly weight?: number
  /** Time since the crash when the report is passed on; 0 when left out. */
  readonly ageMs?: number
}

/** Events of the quarantine table. */
export type QuarantineEvent =
  | { readonly type: 'dispatched', readonly call: CallId, readonly instance: InstanceId, readonly fingerprint: Fingerprint }
  /** With `ran` false the upstream did not run the call to its end (unsent, shed, cut off), which clears nothing. */
  | { readonly type: 'finished', readonly call: CallId, readonly ran?: boolean }
  /** The instance crashed with all its dispatched calls in flight. */
  | { readonly type: 'crashed', readonly instance: InstanceId }
  | { readonly type: 'reported', readonly report: CrashReport }
  | { readonly type: 'ask', readonly call: CallId, readonly fingerprint: Fingerprint }
  | { readonly type: 'tick' }

/** Actions of the quarantine table. */
export type QuarantineAction =
  | { readonly type: 'allow', readonly call: CallId }
  | { readonly type: 'refuse', readonly call: CallId, readonly retryAfterMs: number }
  /** Goes to every node that has a link to this one: own reports, and others' when heard for the first time. */
  | { readonly type: 'report', readonly report: CrashReport }
  | { readonly type: 'quarantined', readonly fingerprint: Fingerprint, readonly untilMs: number }

/** Options of the quarantine table. */
export interface QuarantineOptions {
  readonly node: NodeId
  readonly incarnation: Incarnation
  /** How long a suspicion or a quarantine lasts after the last crash, in milliseconds. */
  readonly retentionMs: number
  /** Fingerprints known at most; the least recently blamed is forgotten first. */
  readonly maxFingerprints: number
  /** Calls known as dispatched at most. */
  readonly maxDispatched: number
  /** Runs of nodes whose report numbers are known at most. */
  readonly maxRuns: number
}
