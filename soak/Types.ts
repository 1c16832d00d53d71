/** What a fault is done to. */
export type FaultKind =
  | 'killNode' | 'pauseNode' | 'stopNode'
  | 'killControl' | 'pauseControl' | 'stopControl' | 'wipeControl'
  | 'crashInstance' | 'drainInstance'
  | 'silenceInstance' | 'muteInstance' | 'resetInstance' | 'delayInstance'
  | 'silenceCallers' | 'resetCallers' | 'delayCallers'
  | 'hangUp' | 'change'

/** One entry of a schedule. */
export interface Fault {
  readonly atMs: number
  readonly kind: FaultKind
  /** Number from 0 to 1 that picks the process, instance or relay. */
  readonly pick: number
  readonly forMs: number
}

/** What a soak found to be broken. */
export interface Violation {
  readonly rule: Rule
  readonly atMs: number
  readonly detail: string
}

/** Promises that are checked, from what callers, instances and the operator see. */
export type Rule =
  | 'whole-own-answer' | 'at-most-once' | 'true-not-run' | 'no-run-after-drain' | 'budget'
  | 'accepted-change-kept' | 'no-version-back' | 'planned-stop-cuts-nothing' | 'exit' | 'recovery'

/** Where one VM's processes listen; all on its own loopback address. */
export interface VmAddress {
  readonly name: string
  readonly host: string
}

/** How a soak went. */
export interface SoakOutcome {
  readonly seed: number
  readonly folder: string
  readonly requestCount: number
  readonly answered: number
  readonly refused: number
  readonly failed: number
  readonly runs: number
  readonly faults: readonly Fault[]
  readonly violations: readonly Violation[]
}
