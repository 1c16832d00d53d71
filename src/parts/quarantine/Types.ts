import type { CallId, Incarnation, InstanceId, NodeId } from '../Types.js'

/** Hash that identifies a request: of its service, method, target, body length and the beginning of its body. */
export type Fingerprint = string

/** Report that nodes forward to each other: suspicion after a crash, or a call that finished and cleared some of it. */
export interface CrashReport {
  readonly fingerprint: Fingerprint
  readonly node: NodeId
  readonly incarnation: Incarnation
  /** Grows with each report of the node's incarnation; a report that arrives again is recognised by it. */
  readonly sequence: number
  /** True when a call of the fingerprint finished without a crash, which halves the suspicion. */
  readonly cleared?: boolean
  /** Suspicion that the crash adds, at most 1; 1 by default. */
  readonly weight?: number
  /** Milliseconds from the crash until the report was forwarded; 0 by default. */
  readonly ageMs?: number
}

/** Events of the quarantine table. */
export type QuarantineEvent =
  /** A call was sent to an instance; it is in flight until `finished` or `crashed`. */
  | { readonly type: 'dispatched', readonly call: CallId, readonly instance: InstanceId, readonly fingerprint: Fingerprint }
  /** `ran` is false when the upstream did not run the call to its end (unsent, shed, aborted): nothing is cleared. */
  | { readonly type: 'finished', readonly call: CallId, readonly ran?: boolean }
  /** The instance crashed. Its calls that are dispatched and not finished become suspect. */
  | { readonly type: 'crashed', readonly instance: InstanceId }
  /** A report arrived from another node. */
  | { readonly type: 'reported', readonly report: CrashReport }
  /**
   * Asks whether a call may run; `allow` or `refuse` is the reply. `isRelayed` is true when the node only passes the
   * call on, so that the node beside the instance decides on a trial.
   */
  | { readonly type: 'ask', readonly call: CallId, readonly fingerprint: Fingerprint, readonly isRelayed?: boolean }
  | { readonly type: 'tick' }

/** Actions of the quarantine table. */
export type QuarantineAction =
  | { readonly type: 'allow', readonly call: CallId }
  /** `suspect`: another call of the fingerprint runs here; `quarantined`: none may run. */
  | {
    readonly type: 'refuse',
    readonly call: CallId,
    readonly reason: 'suspect' | 'quarantined',
    readonly retryAfterMs: number
  }
  /** Sent to every connected node: own reports, and those of other nodes when they are received for the first time. */
  | { readonly type: 'report', readonly report: CrashReport }
  /** The fingerprint is quarantined at this node until this time. */
  | { readonly type: 'quarantined', readonly fingerprint: Fingerprint, readonly untilMs: number }

/** Options of the quarantine table. */
export interface QuarantineOptions {
  readonly node: NodeId
  readonly incarnation: Incarnation
  /** How long suspicion and quarantine last after the last crash, in milliseconds. */
  readonly retentionMs: number
  /** Most suspect fingerprints kept; the one whose last crash report is oldest is evicted first. */
  readonly maxFingerprints: number
  /** Most dispatched calls tracked; further ones are not tracked. */
  readonly maxDispatched: number
  /** Most fingerprints remembered whose calls have run to their end here. */
  readonly maxCompleted: number
  /** Most incarnations of nodes whose report sequences are tracked. */
  readonly maxRuns: number
}

/** What a node learns of the instance beside it; see `CrashDetector`. */
export type InstanceEvidence =
  /** A connection ended without an answer to the request on it. */
  | { readonly type: 'lost' }
  /** Nothing listens at the address of the instance. */
  | { readonly type: 'refused' }
  /** Another incarnation has started; `wasReady` is false when the one before was leaving. */
  | { readonly type: 'restarted', readonly wasReady: boolean }
  /** The instance has answered a request that was sent at this time, in monotonic milliseconds. */
  | { readonly type: 'answered', readonly sentAtMs: number }
  | { readonly type: 'tick' }

/** How a lost connection turned out; `unknown` when nothing told in time. */
export type LossVerdict = 'crashed' | 'running' | 'unknown'
