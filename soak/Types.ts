/**
 * Kinds of faults, named after what is done and to which target. `mute` blocks answers only, `silence` both directions.
 * After `limit` and `leave`, answers of an instance name a limit or its departure. `poisonRequest` repeats a request
 * that crashes each instance that runs it, `killAll` kills all processes just after an instance has deregistered,
 * `hangUp` sends SIGHUP to a node, `change` changes the configuration, and `evacuate` evacuates an availability zone
 * for some time.
 */
export type FaultKind =
  | 'killNode' | 'pauseNode' | 'stopNode'
  | 'killControl' | 'pauseControl' | 'stopControl' | 'wipeControl' | 'killAll'
  | 'crashInstance' | 'drainInstance' | 'limitInstance' | 'leaveInstance'
  | 'silenceInstance' | 'muteInstance' | 'resetInstance' | 'delayInstance'
  | 'silenceCallers' | 'resetCallers' | 'delayCallers'
  | 'poisonRequest' | 'hangUp' | 'change' | 'evacuate'

/** One entry of a schedule, which is stored as JSON. */
export interface Fault {
  /** Milliseconds since the callers started. */
  readonly atMs: number
  readonly kind: FaultKind
  /** Number from 0 to below 1 that selects the VM whose process, instance or relay is affected. */
  readonly pick: number
  /** Duration in milliseconds, for faults that last. */
  readonly forMs: number
}

/** A violated guarantee. */
export interface Violation {
  readonly rule: Rule
  /** Milliseconds since the start of the soak. */
  readonly atMs: number
  readonly detail: string
}

/** What an answer says about the instance that gave it. */
export interface InstanceNotice {
  /** True when the instance names a limit on requests. */
  readonly namesLimit: boolean
  /** True when the instance says that it leaves. */
  readonly isLeaving: boolean
}

/** Guarantees that are checked from what callers, instances and the operator observe. */
export type Rule =
  | 'whole-own-answer' | 'whole-upload' | 'at-most-once' | 'true-not-run' | 'no-run-after-drain' | 'no-run-after-leaving'
  | 'budget' | 'request-limit' | 'cold-limit' | 'quarantine' | 'evacuated-zone-empty'
  | 'accepted-change-kept' | 'no-version-back' | 'planned-stop-cuts-nothing' | 'exit' | 'recovery'

/** Name of a VM and the loopback address on which all its processes listen. */
export interface VmAddress {
  readonly name: string
  readonly host: string
}

/** Result of a soak: counts of requests by their outcome, runs at instances, and violations. */
export interface SoakOutcome {
  readonly seed: number
  /** Folder of settings, disks and logs. */
  readonly folder: string
  readonly requestCount: number
  readonly answered: number
  readonly refused: number
  readonly failed: number
  readonly runs: number
  readonly faults: readonly Fault[]
  readonly violations: readonly Violation[]
}
