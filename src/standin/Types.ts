/** One line of a journal. Times are wall-clock milliseconds, so that journals of one machine can be compared. */
export type JournalLine =
  | {
    readonly event: 'start'
    readonly atMs: number
    /** Number of the run within this process, from 1. */
    readonly run: number
    readonly process: number
    readonly service: string
    readonly instance: string
    readonly method: string
    readonly target: string
    /** `X-Request-Id` of the caller; empty when there is none. */
    readonly requestId: string
    /** `Idempotency-Key`; empty when there is none. */
    readonly key: string
    /** `Sassafras-Call` of the node; empty when there is none. */
    readonly call: string
  }
  | {
    readonly event: 'end'
    readonly atMs: number
    readonly run: number
    readonly process: number
    readonly outcome: RunOutcome
    readonly status: number
  }
  /** The service began to drain; runs that start after this line can be counted. */
  | { readonly event: 'drain', readonly atMs: number, readonly process: number, readonly inFlight: number }

/** How a run ended. */
export type RunOutcome = 'answered' | 'cancelled' | 'deadline' | 'undelivered'

/** Behaviour that the admin server may change while the process runs. */
export interface Behaviour {
  /** Factor on service times. */
  slowFactor: number
  /** Share of requests that are shed before they run, 0 to 1. */
  shedShare: number
}

/** Current load of a test upstream, and its totals since the start. */
export interface TestUpstreamCounts {
  readonly inFlight: number
  readonly queued: number
  readonly runs: number
  readonly sheds: number
}
