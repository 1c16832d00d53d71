/**
 * Types that all parts share. A part is a pure state machine: it takes events, returns actions and has no other
 * effects. Times are milliseconds on a monotonic clock unless a name says otherwise.
 */

/** A pure state machine with one entry point. */
export interface Part<Event, Action> {
  /**
   * Handles one event and returns the actions that the host must carry out, in order.
   * @param event What happened.
   * @param nowMs Monotonic time in milliseconds; never decreases between calls.
   */
  step (event: Event, nowMs: number): Action[]
}

/** A source of random numbers; tests and simulations use a seeded one. */
export interface Random {
  /** Returns a number in [0, 1). */
  next (): number
}

/** Identifies a node (the process beside an upstream) across restarts. */
export type NodeId = string

/** Identifies a control replica; a replica that lost its disk restarts under a new id. */
export type ReplicaId = string

/** Identifies a service of the inventory. */
export type ServiceName = string

/** Identifies one upstream instance: `service/node`. */
export type InstanceId = string

/** Identifies a call within one run of one process. */
export type CallId = number

/** Increases with every start of a process, so that a restarted process differs from its earlier run. */
export type Incarnation = number

/** Location of a process: an availability zone within a region. */
export interface Place {
  readonly region: string
  readonly zone: string
}

/** What the system can prove about a call that it answers in place of an upstream. */
export type Disposition = 'not-run' | 'unknown' | 'quarantined'

/** Machine-readable reason that accompanies a disposition. */
export type Reason =
  | 'bad-request'
  | 'cancelled'
  | 'conflict'
  | 'control-unavailable'
  | 'deadline-exceeded'
  | 'draining'
  | 'in-progress'
  | 'key-missing'
  | 'key-reused'
  | 'no-upstream'
  | 'overloaded'
  | 'peer-lost'
  | 'quarantined'
  | 'records-full'
  | 'retry-budget'
  | 'service-unknown'
  | 'shedding'
  | 'stale-configuration'
  | 'too-large'
  | 'upstream-failed'

/** Kind of call, which decides how it queues. */
export type CallKind = 'lookup' | 'download' | 'guarded'

/** Load evidence that an upstream's node attaches to answers and reports. */
export interface LoadEvidence {
  /** Calls that run at the upstream now, counted by its node. */
  readonly inFlight: number
  /** Calls in the node's queue. */
  readonly queued: number
  /** Concurrency limit that the node applies. */
  readonly limit: number
  /** Moving average of the service time of lookups, in milliseconds. */
  readonly serviceMs: number
}
