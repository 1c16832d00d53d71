import type { Finding } from '../configuration/Types.js'
import type { ServiceName } from '../Types.js'

export type { Finding }

/**
 * How requests of a route may be retried: `idempotent` ones may run several times, `once` ones at most once for each
 * attempt of the caller, `download` ones may run several times and have large answers, and `upload` ones have large
 * bodies and run at most once for each attempt of the caller.
 */
export type RouteKind = 'idempotent' | 'once' | 'download' | 'upload'

/** One share of a weighted split. */
export interface SplitShare {
  readonly service: ServiceName
  /** Share of requests relative to the other weights; 0 gets none. */
  readonly weight: number
  /** Members that the operator sent and this version doesn't know, as a JSON object; read back as they were sent. */
  readonly unknownMembers?: string
}

/** Where the requests of a route go. */
export type Destination =
  | { readonly type: 'service', readonly service: ServiceName }
  | { readonly type: 'split', readonly shares: readonly SplitShare[] }

/** Rules for the requests to one host below one path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** Longest time until a request is answered or refused, in milliseconds. */
  readonly timeoutMs: number
  /** Latency objective: time within which an answer is worth its full value, in milliseconds. */
  readonly latencyObjectiveMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Most instances that one request may be sent to. */
  readonly maxAttempts: number
  readonly destination: Destination
  /** Whether requests need no API key; absent where the operator does not say. It matters only beside workspaces. */
  readonly isPublic?: boolean
  /** Members that the operator sent and this version doesn't know, as a JSON object; read back as they were sent. */
  readonly unknownMembers?: string
}

/** A service that routes may send requests to. */
export interface RoutedService {
  readonly name: ServiceName
  /** Path of the upstream's health check. */
  readonly healthPath: string
  /** Most connections that one instance accepts from all callers. */
  readonly maxConnections: number
  readonly protocol: string
  readonly tls: boolean
  /** How long an instance is cold after it starts, in milliseconds; absent where the operator does not say. */
  readonly coldStartMs?: number
  /** Requests a second that an instance tolerates while it is cold; absent or 0 for no limit. */
  readonly coldPerS?: number
  /** Members that the operator sent and this version doesn't know, as a JSON object; read back as they were sent. */
  readonly unknownMembers?: string
}

/** A customer of the services, whose callers identify themselves by API keys and share one quota. */
export interface Workspace {
  readonly name: string
  /** API keys; in the configuration that nodes receive, their digests. */
  readonly keys: readonly string[]
  /** Goes before the priority of a route; 0 is the most urgent. */
  readonly priority?: number
  /** Requests a second over all nodes; absent or 0 for no limit. */
  readonly ratePerS?: number
  /** Requests that may be sent beyond the rate, over all nodes. */
  readonly burst?: number
  /** Members that the operator sent and this version doesn't know, as a JSON object; read back as they were sent. */
  readonly unknownMembers?: string
}

/** Limits on the size of callers' requests, and on the time for which connections wait for them. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
  /** Members that the operator sent and this version doesn't know, as a JSON object; read back as they were sent. */
  readonly unknownMembers?: string
}

/** All routes and services in force. */
export interface RoutingConfiguration {
  readonly routes: readonly Route[]
  readonly services: readonly RoutedService[]
  readonly limits: CallerLimits
  /** Absent where callers need no API keys. */
  readonly workspaces?: readonly Workspace[]
  /** Members that the operator sent and this version doesn't know, as a JSON object; read back as they were sent. */
  readonly unknownMembers?: string
}

/** A configuration change as an operator sends it; `base` is the version that it was made for. */
export type RoutingChange =
  | {
    readonly type: 'replace',
    readonly version: number,
    readonly base: number,
    readonly configuration: RoutingConfiguration
  }
  | {
    readonly type: 'patch',
    readonly version: number,
    readonly base: number,
    readonly upsertRoutes: readonly Route[],
    readonly upsertServices: readonly RoutedService[],
    readonly removeRoutes: readonly string[],
    readonly removeServices: readonly ServiceName[],
    readonly upsertWorkspaces?: readonly Workspace[],
    readonly removeWorkspaces?: readonly string[],
    readonly limits?: CallerLimits
  }

/** Reply to the operator who sent a change. */
export type RoutingReply =
  | { readonly type: 'accepted', readonly version: number }
  | { readonly type: 'conflict', readonly inForce: number }
  | { readonly type: 'invalid', readonly findings: readonly Finding[] }

/** A configuration in force with its version. Operators choose versions, which only increase. */
export interface VersionedRouting {
  readonly version: number
  readonly configuration: RoutingConfiguration
}

/** Changes from one version of the configuration to a later one. */
export interface RoutingDelta {
  readonly from: number
  readonly version: number
  readonly upsertRoutes: readonly Route[]
  readonly upsertServices: readonly RoutedService[]
  readonly removeRoutes: readonly string[]
  readonly removeServices: readonly ServiceName[]
  readonly upsertWorkspaces?: readonly Workspace[]
  readonly removeWorkspaces?: readonly string[]
  readonly limits?: CallerLimits
}

/** Replicated state of the routing store. */
export interface RoutingSnapshot {
  readonly format: 1
  readonly inForce: VersionedRouting
  /** Digests of accepted changes with their versions, oldest first. */
  readonly accepted: ReadonlyArray<readonly [digest: string, version: number]>
}
