/**
 * Shapes that all parts share. A part is a pure state machine: events go in, actions come out,
 * and nothing else happens. Times are milliseconds on a monotonic clock unless a name says otherwise.
 */

/** A pure state machine with one entry point. */
export interface Part<Event, Action> {
  /**
   * Takes one event and returns what the host must do, in order.
   * @param event What happened.
   * @param nowMs Monotonic time in milliseconds; never decreases between calls.
   */
  step (event: Event, nowMs: number): Action[]
}

/** A seeded source of random numbers. */
export interface Random {
  /** Returns a number in [0, 1). */
  next (): number
}

/** Identifies a node (the process beside an upstream) across restarts. */
export type NodeId = string

/** Identifies a control replica; a replica that lost its disk comes back under a new one. */
export type ReplicaId = string

/** Identifies a service of the inventory. */
export type ServiceName = string

/** Identifies one upstream instance: `service/node`. */
export type InstanceId = string

/** Identifies a call within one run of one process. */
export type CallId = number

/** Grows with every start of a process; tells a restarted process from its earlier run. */
export type Incarnation = number

/** Place of a process: a region holds availability zones. */
export interface Place {
  readonly region: string
  readonly zone: string
}

/** What the system can prove about a call that it answers itself. */
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

/** Kind of work, which decides how a call queues. */
export type CallKind = 'lookup' | 'download' | 'guarded'

/** Load evidence that an upstream's node attaches to answers and reports. */
export interface LoadEvidence {
  /** Calls running at the upstream now, counted by its node. */
  readonly inFlight: number
  /** Calls waiting in the node's queue. */
  readonly queued: number
  /** Calls that the node lets run at once. */
  readonly limit: number
  /** Smoothed service time of lookups in milliseconds. */
  readonly serviceMs: number
}
