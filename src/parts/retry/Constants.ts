import type { RetryOptions } from './Types.js'

/** Default options of the retry policy. */
export const RETRY_DEFAULTS: RetryOptions = {
  retryShare: 0.08,
  floorPerSecond: 0.05,
  burst: 10,
  maxAttempts: 3,
  hedging: true,
  hedgeQuantile: 0.95,
  initialLatencyMs: 20,
  minHedgeDelayMs: 1,
  maxCalls: 65_536
}

/** Share of the token bucket's capacity that hedges and retries after overload leave for other retries, 0 to 1. */
export const FAILURE_RESERVE_SHARE = 0.5

/** Capacity of the token bucket of a service with little traffic, in tokens. */
export const MIN_BURST = 2

/** Half-life of a first attempt in the count that sets the capacity of the token bucket, in milliseconds. */
export const BURST_HALF_LIFE_MS = 7000

/** Step of the quantile estimate, relative to the estimate. */
export const QUANTILE_STEP = 0.05

/** Share of hedges that must answer before the first attempt for all hedges to be sent, 0 to 1. */
export const HEDGE_MIN_WIN_SHARE = 0.15

/** EWMA weight of the newest hedge in the share of hedges that answered first. */
export const HEDGE_WIN_EWMA_WEIGHT = 0.05

/** While too few hedges answer first, one in this many is still sent, to notice when that changes. */
export const HEDGE_TRIAL_INTERVAL = 8

/** No hedge is sent while at least this share of attempts is refused for overload, 0 to 1. */
export const HEDGE_MAX_OVERLOAD_SHARE = 0.05

/** EWMA weight of the newest attempt in the share that was refused for overload. */
export const HEDGE_OVERLOAD_EWMA_WEIGHT = 0.01

/** Quantile of a route's latency above which an attempt is slow: retry budgets pay for hedging about a fifth. */
export const HEDGE_SLOW_QUANTILE = 0.8

/** Latency samples of a route before its estimates are used: by then they can have moved by a factor of two. */
export const HEDGE_MIN_SAMPLES = 20

/** Routes whose latency is tracked; requests of further routes are not hedged. */
export const MAX_HEDGE_ROUTES = 4096

/** Time that each hop keeps back for the answer to travel, in milliseconds. */
export const HOP_RESERVE_MS = 2

/** Largest share of the remaining time that a hop keeps back, 0 to 1. */
export const HOP_RESERVE_MAX_SHARE = 0.1
