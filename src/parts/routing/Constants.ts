import type { CallerLimits } from './Types.js'

/** Longest timeout of a route, in milliseconds; a longer one is rejected as a mistake of units. */
export const MAX_ROUTE_TIMEOUT_MS = 600_000

/** Excess of a latency objective over its route's timeout that is rejected as a mistake, in milliseconds. */
export const MAX_OBJECTIVE_EXCESS_MS = 60_000

/**
 * Largest configuration as JSON, in bytes. A full copy is sent to nodes in one frame, which may have 16 MiB and is
 * about as large as the JSON.
 */
export const MAX_CONFIGURATION_BYTES = 12 * 1024 * 1024

/** Accepted changes whose digests are kept to acknowledge a resend again; the design load is 9,100 changes a day. */
export const MAX_ACCEPTED_CHANGES = 10_000

/** Deltas kept for nodes that lag: 5 s at one change every 80 ms. */
export const MAX_DELTAS = 64

/** Items that the kept deltas may have together, also where the configuration has fewer. */
export const MIN_DELTA_ITEMS = 256

/** Limits on callers that apply before the first configuration. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 64 * 1024 * 1024,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000
}
