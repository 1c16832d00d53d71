/** One line of a journal. Times are wall milliseconds, for reading beside other journals of the same machine. */
export type JournalLine =
  | {
    readonly event: 'start'
    readonly atMs: number
    /** Counts the runs of this process. */
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
  /** The service was told to leave; starts after this line are counted by it. */
  | { readonly event: 'drain', readonly atMs: number, readonly process: number, readonly inFlight: number }

/** How a run ended. */
export type RunOutcome = 'answered' | 'cancelled' | 'deadline' | 'undelivered'

/** What a run may be told from outside while the process runs. */
export interface Behaviour {
  /** Multiplies service times. */
  slowFactor: number
  /** Share of requests shed without a run, 0 to 1. */
  shedShare: number
}

/** What a stand-in does now and has done since its start. */
export interface TestUpstreamCounts {
  readonly inFlight: number
  readonly queued: number
  readonly runs: number
  readonly sheds: number
}
