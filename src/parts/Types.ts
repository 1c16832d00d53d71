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

/** Name of a service. */
export type ServiceName = string

/** Identifies one upstream instance: `service/node`. */
export type InstanceId = string

/** Identifies a call within one run of one process. */
export type CallId = number

/** Increases with every start of a process, so that a restarted process differs from its earlier run. */
export type Incarnation = number

/** Location of a process: an availability zone within a region. */
export interface ProcessLocation {
  readonly region: string
  readonly zone: string
}

/**
 * What the system can prove about a call that it answers in place of an upstream: `not-run` never ran, `unknown` may
 * have run, `quarantined` was refused as a poison request.
 */
export type Disposition = 'not-run' | 'unknown' | 'quarantined'

/** Machine-readable reason that accompanies a disposition. */
export type Reason =
  /** The idempotency key is too long. */
  | 'bad-request'
  /** The caller disconnected, or the request was given up before its execution permit was granted. */
  | 'cancelled'
  /** A command for a record of the idempotency ledger does not fit the record's holder or state. */
  | 'conflict'
  /** No control replica decided on an execution permit before the deadline, despite retries. */
  | 'control-unavailable'
  /** The deadline passed before there was an answer. */
  | 'deadline-exceeded'
  /** The instance or its node is draining and takes no new calls. */
  | 'draining'
  /** Another run of the same at-most-once request has not ended yet. */
  | 'in-progress'
  /** An at-most-once request lacks its idempotency key. */
  | 'key-missing'
  /** The idempotency key was used before with a different request. */
  | 'key-reused'
  /** There is no usable instance of the service, or none beside the node that received the call. */
  | 'no-upstream'
  /** The receiving process holds too many calls, or the call would queue there for too long. */
  | 'overloaded'
  /** The connection to the other node was lost, or the outcome of an earlier run of the request is unknown. */
  | 'peer-lost'
  /** The request is quarantined as a poison request. */
  | 'quarantined'
  /** The idempotency ledger holds its maximum number of records. */
  | 'records-full'
  /** The call failed, and the retry budget of its service is used up. */
  | 'retry-budget'
  /** The configuration does not contain the service. */
  | 'service-unknown'
  /** The upstream itself refused the call to shed load, and did not run it. */
  | 'shedding'
  /** The node has no configuration, or none recent enough for at-most-once requests. */
  | 'stale-configuration'
  /** The request body exceeds its limit, or the answer to replay was too large to be stored completely. */
  | 'too-large'
  /** The call could not be sent to the upstream, or its answer was an error or incomplete. */
  | 'upstream-failed'

/**
 * Kind of call: an interactive `lookup`, a `download` of unlimited duration, or a `guarded` (at-most-once) call. It
 * decides how the call queues.
 */
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
