import type { Finding } from '../configuration/Types.js'
import type { ServiceName } from '../Types.js'

export type { Finding }

/**
 * What a request of a route may do: run again (`idempotent`), run at most once for each attempt of its caller
 * (`once`), or run again with a large answer (`download`).
 */
export type RouteKind = 'idempotent' | 'once' | 'download'

/** One share of a weighted split. */
export interface SplitShare {
  readonly service: ServiceName
  /** Share of requests relative to the other weights; 0 takes none. */
  readonly weight: number
}

/** Where the requests of a route go. */
export type Destination =
  | { readonly type: 'service', readonly service: ServiceName }
  | { readonly type: 'split', readonly shares: readonly SplitShare[] }

/** Requests of one host below one path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** Longest time that a caller may be kept waiting, in milliseconds. */
  readonly timeoutMs: number
  /** Time within which an answer is worth its full value, in milliseconds. */
  readonly latencyObjectiveMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Instances that one request may be sent to. */
  readonly maxAttempts: number
  readonly destination: Destination
}

/** A service that routes may name. */
export interface RoutedService {
  readonly name: ServiceName
  /** Path of the upstream's health check. */
  readonly healthPath: string
  /** Connections that one instance takes from all its callers. */
  readonly maxConnections: number
  readonly protocol: string
  readonly tls: boolean
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** All routes and services in force. */
export interface RoutingConfiguration {
  readonly routes: readonly Route[]
  readonly services: readonly RoutedService[]
  readonly limits: CallerLimits
}

/** A change as an operator sends it; `base` is the version that it builds on. */
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
    readonly limits?: CallerLimits
  }

/** What the operator is told. */
export type RoutingReply =
  | { readonly type: 'accepted', readonly version: number }
  | { readonly type: 'conflict', readonly inForce: number }
  | { readonly type: 'invalid', readonly findings: readonly Finding[] }

/** A configuration in force. Versions are chosen by operators and only grow. */
export interface VersionedRouting {
  readonly version: number
  readonly configuration: RoutingConfiguration
}

/** What changed from one version to a later one. */
export interface RoutingDelta {
  readonly from: number
  readonly version: number
  readonly upsertRoutes: readonly Route[]
  readonly upsertServices: readonly RoutedService[]
  readonly removeRoutes: readonly string[]
  readonly removeServices: readonly ServiceName[]
  readonly limits?: CallerLimits
}

/** Replicated state of the register. */
export interface RoutingSnapshot {
  readonly format: 1
  readonly inForce: VersionedRouting
  /** Digests of accepted changes with their versions, oldest first. */
  readonly accepted: ReadonlyArray<readonly [digest: string, version: number]>
}
