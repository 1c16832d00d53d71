import type { CallerLimits } from './Types.js'

/** Longest timeout of a route in milliseconds; longer ones are refused as a mistake of units. */
export const MAX_ROUTE_TIMEOUT_MS = 600_000

/** A latency objective this far above its route's timeout can't be meant, in milliseconds. */
export const MAX_OBJECTIVE_EXCESS_MS = 60_000

/** Accepted changes that are remembered, so that a resend is acknowledged again: 9,100 a day is the design size. */
export const MAX_ACCEPTED_CHANGES = 10_000

/** Differences kept for nodes that lag; a storm of one change every 80 ms fills 5 s. */
export const MAX_DELTAS = 64

/** Limits on callers before the first configuration. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 64 * 1024 * 1024,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000
}
