import type { NodeId, ServiceName } from '../Types.js'

/** Grows by one with each accepted change; 0 is the empty configuration. */
export type Version = number

/** Rule for one service. Durations in milliseconds. */
export interface ServiceRule {
  readonly name: ServiceName
  /** Requests that must run at most once, as `METHOD /path-prefix`, for example `POST /checkouts`. */
  readonly guarded: readonly string[]
  /** Requests that queue as downloads, written the same way. */
  readonly downloads: readonly string[]
  /** What a guarded request without Idempotency-Key gets. */
  readonly keyless: 'refuse' | 'run-unguarded'
  readonly deadlineMs: number
  /** How long a draining upstream may keep its work. */
  readonly drainMs: number
  /** Retries and hedges allowed as a share of first attempts, 0 to 1. */
  readonly retryShare: number
  readonly maxBodyBytes: number
}

/** Limits on measuring, for each VM. */
export interface MeasuringRule {
  readonly bytesPerSecond: number
  /** Extra messages as a share of calls, 0 to 1. */
  readonly messagesPerCall: number
}

/** Inventory and rules as operators hand them over. */
export interface Configuration {
  readonly services: readonly ServiceRule[]
  /** Availability zones by region. */
  readonly zones: ReadonlyArray<{ readonly region: string, readonly zone: string }>
  readonly measuring: MeasuringRule
}

/** A committed configuration with the position that fences it. */
export interface VersionedConfiguration {
  readonly version: Version
  /** Term of the leader that committed it. */
  readonly term: number
  readonly operation: string
  readonly configuration: Configuration
}

/** A change as an operator sends it. */
export interface ChangeRequest {
  readonly operation: string
  readonly base: Version
  readonly configuration: Configuration
}

/** What an operator is told. A repeated operation gets the first's reply. */
export type ChangeReply =
  | { readonly type: 'accepted', readonly version: Version }
  | { readonly type: 'conflict', readonly inForce: Version, readonly differs: readonly string[] }
  | { readonly type: 'invalid', readonly findings: readonly Finding[] }
  | { readonly type: 'unavailable', readonly retryAfterMs: number }
  | { readonly type: 'operationReused', readonly version: Version }

/** One thing wrong in an input, with its place. */
export interface Finding {
  /** File, key path or line, for example `services[2].deadlineMs`. */
  readonly place: string
  readonly problem: string
  readonly expected: string
}

/** Which node has which version in force. */
export interface NodeVersion {
  readonly node: NodeId
  readonly version: Version
  readonly heardMsAgo: number
}

/** Events of the follower that runs in every node. */
export type FollowerEvent =
  /** A whole copy, from control (`confirmed` true when a quorum read stands behind it) or from a peer. */
  | {
    readonly type: 'copy',
    readonly from: string,
    readonly confirmed: boolean,
    readonly copy: VersionedConfiguration,
    readonly askedAtMs?: number
  }
  | {
    readonly type: 'difference',
    readonly from: string,
    readonly confirmed: boolean,
    readonly difference: ConfigurationDelta,
    readonly askedAtMs?: number
  }
  /**
   * Control confirms by a quorum read that this version is the newest one committed. `askedAtMs` is this node's
   * own monotonic time when it sent the heartbeat that is answered here; the lease counts from then, so that an
   * answer that was delayed on the way does not prolong it. Without it the lease counts from the receipt.
   */
  | { readonly type: 'confirm', readonly version: Version, readonly term: number, readonly askedAtMs?: number }
  /** A peer tells which version it has in force. */
  | { readonly type: 'peerVersion', readonly from: string, readonly version: Version }
  | { readonly type: 'tick' }

/** Services replaced and removed between two versions. */
export interface ConfigurationDelta {
  readonly from: Version
  readonly version: Version
  readonly term: number
  readonly operation: string
  readonly replaced: readonly ServiceRule[]
  readonly removed: readonly ServiceName[]
  readonly zones?: Configuration['zones']
  readonly measuring?: MeasuringRule
  /** Hash of the whole configuration after the change; a mismatch asks for a whole copy. */
  readonly digest: string
}

/** Actions of the follower. */
export type FollowerAction =
  | { readonly type: 'apply', readonly copy: VersionedConfiguration }
  | { readonly type: 'askCopy', readonly from: string }
  | { readonly type: 'offer', readonly to: string, readonly version: Version }
  | { readonly type: 'state', readonly state: FollowerState }

/** Operation that was answered; a repeat gets the same reply. */
export interface CompletedOperation {
  readonly operation: string
  /** Hash of base version and configuration; tells a repeat from another change under the same id. */
  readonly content: string
  readonly reply: ChangeReply
}

/** Replicated state of the register, as it goes into a snapshot. */
export interface ConfigurationSnapshot {
  readonly format: 1
  readonly inForce: VersionedConfiguration
  /** Oldest first. */
  readonly operations: readonly CompletedOperation[]
}

/** Counters of the follower, for the state dump and for metrics. */
export interface FollowerCounters {
  /** News of an older version than the one in force. */
  readonly older: number
  /** News that contradicts the one in force: newer with an older term, or another content of the same version. */
  readonly contradicting: number
  /** Differences that did not fit and were followed by a whole copy. */
  readonly mismatched: number
}

/** `unconfirmed` serves nothing; `stale` serves reads and refuses guarded work. */
export type FollowerState = 'unconfirmed' | 'current' | 'stale'
