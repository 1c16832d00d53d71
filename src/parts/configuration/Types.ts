import type { NodeId, ServiceName } from '../Types.js'

/** Version of the configuration: grows by one with each accepted change; 0 is the empty configuration. */
export type Version = number

/** How the requests of one service are handled. Durations are in milliseconds. */
export interface ServiceRule {
  readonly name: ServiceName
  /**
   * Requests that must run at most once, as `METHOD /path-prefix`, for example `POST /checkouts`. A request that no
   * pattern of the rule lists must run at most once unless its method is GET, HEAD, OPTIONS or TRACE.
   */
  readonly guarded: readonly string[]
  /** Requests that are queued as downloads, in the same notation. */
  readonly downloads: readonly string[]
  /** Whether a guarded request without an Idempotency-Key header is refused or runs without protection. */
  readonly keyless: 'refuse' | 'run-unguarded'
  readonly deadlineMs: number
  /** Time that a draining upstream has to finish its requests. */
  readonly drainMs: number
  /** Retries and hedges allowed as a share of first attempts, 0 to 1. */
  readonly retryShare: number
  readonly maxBodyBytes: number
}

/** Limits on measurement traffic, for each VM. */
export interface MeasuringRule {
  readonly bytesPerSecond: number
  /** Additional messages as a share of calls, 0 to 1. */
  readonly messagesPerCall: number
}

/** Inventory of services and zones with their rules, as operators submit it. */
export interface Configuration {
  readonly services: readonly ServiceRule[]
  /** Availability zones by region. */
  readonly zones: ReadonlyArray<{ readonly region: string, readonly zone: string }>
  readonly measuring: MeasuringRule
}

/** A committed configuration; its version and term fence off outdated copies. */
export interface VersionedConfiguration {
  readonly version: Version
  /** Term of the leader that committed it. */
  readonly term: number
  readonly operation: string
  readonly configuration: Configuration
}

/** A change as submitted by an operator. */
export interface ChangeRequest {
  /** Id of the operation; a retry carries the same one. */
  readonly operation: string
  /** Version on which the change is based. */
  readonly base: Version
  readonly configuration: Configuration
}

/** Reply to a change. A retried operation gets the reply to its first attempt. */
export type ChangeReply =
  | { readonly type: 'accepted', readonly version: Version }
  | { readonly type: 'conflict', readonly inForce: Version, readonly differs: readonly string[] }
  | { readonly type: 'invalid', readonly findings: readonly Finding[] }
  | { readonly type: 'unavailable', readonly retryAfterMs: number }
  | { readonly type: 'operationReused', readonly version: Version }

/** One violation that validation found in an input. */
export interface Finding {
  /** File, key path or line, for example `services[2].deadlineMs`. */
  readonly place: string
  readonly problem: string
  readonly expected: string
}

/** Version that a node has in force, as it last reported. */
export interface NodeVersion {
  readonly node: NodeId
  readonly version: Version
  readonly heardMsAgo: number
}

/** Events that the host passes to the configuration follower, which runs in every node. */
export type FollowerEvent =
  /** A full copy from control or from a peer. `confirmed` is true if a quorum read backs it. */
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
   * Control has confirmed by a quorum read that this version is the newest committed one. `askedAtMs` is this node's
   * own monotonic time when it sent the heartbeat that is answered here. The lease counts from then, so that a delayed
   * reply does not prolong it; without `askedAtMs` it counts from receipt. `term` comes with control's message; the
   * follower does not evaluate it.
   */
  | { readonly type: 'confirm', readonly version: Version, readonly term: number, readonly askedAtMs?: number }
  /** A peer reports the version that it has in force. */
  | { readonly type: 'peerVersion', readonly from: string, readonly version: Version }
  | { readonly type: 'tick' }

/** Difference between two versions: services replaced or removed, and zones and limits if they changed. */
export interface ConfigurationDelta {
  readonly from: Version
  readonly version: Version
  readonly term: number
  readonly operation: string
  readonly replaced: readonly ServiceRule[]
  readonly removed: readonly ServiceName[]
  readonly zones?: Configuration['zones']
  readonly measuring?: MeasuringRule
  /** Hash of the full configuration after the change; on a mismatch the receiver requests a full copy. */
  readonly digest: string
}

/** Actions that the host carries out for the follower. */
export type FollowerAction =
  | { readonly type: 'apply', readonly copy: VersionedConfiguration }
  | { readonly type: 'askCopy', readonly from: string }
  | { readonly type: 'offer', readonly to: string, readonly version: Version }
  | { readonly type: 'state', readonly state: FollowerState }

/** An operation that was answered; a retry gets the same reply. */
export interface CompletedOperation {
  readonly operation: string
  /** Hash of base version and configuration; distinguishes a retry from another change with the same id. */
  readonly content: string
  readonly reply: ChangeReply
}

/** Replicated state of the configuration store, as written to a snapshot. */
export interface ConfigurationSnapshot {
  readonly format: 1
  readonly inForce: VersionedConfiguration
  /** Oldest first. */
  readonly operations: readonly CompletedOperation[]
}

/** Counters of updates that the follower ignored, for the state dump and for metrics. */
export interface FollowerCounters {
  /** Updates with an older version than the newest one known. */
  readonly older: number
  /** Updates that contradict the newest one known: newer with an older term, or other content of the same version. */
  readonly contradicting: number
  /** Differences that could not be applied, so that a full copy was requested. */
  readonly mismatched: number
}

/** An `unconfirmed` node serves nothing; a `stale` node serves reads and refuses guarded requests. */
export type FollowerState = 'unconfirmed' | 'current' | 'stale'
