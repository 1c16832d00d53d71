import type { RetryOptions } from './Types.js'

/** Defaults of the retry policy. */
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

/** Share of the budget that hedges and retries after overload leave for calls that fail. */
export const FAILURE_RESERVE_SHARE = 0.5

/** Tokens that the budget of a quiet service holds at most. */
export const MIN_BURST = 2

/** Time after which half of the first attempts no longer count towards the size of the budget's bucket. */
export const BURST_HALF_LIFE_MS = 7000

/** Step of the quantile estimate, relative to the estimate. */
export const QUANTILE_STEP = 0.05

/** Share of hedges that must answer first for all of them to be sent. */
export const HEDGE_MIN_WIN_SHARE = 0.15

/** Weight of the newest hedge in the share that answered first. */
export const HEDGE_WIN_EWMA_WEIGHT = 0.05

/** One hedge in this many is still sent while too few answer first, to notice when that changes. */
export const HEDGE_TRIAL_INTERVAL = 8

/** Share of attempts refused for overload from which no hedge is sent. */
export const HEDGE_MAX_OVERLOAD_SHARE = 0.05

/** Weight of the newest attempt in the share that was refused. */
export const HEDGE_OVERLOAD_EWMA_WEIGHT = 0.01

/** Quantile of a route's times after which an attempt counts as slow: budgets of repeats pay for about a fifth. */
export const HEDGE_SLOW_QUANTILE = 0.8

/** Samples of a route from which the estimate of its times is used: it has moved by a factor of two by then. */
export const HEDGE_MIN_SAMPLES = 20

/** Routes whose times are kept; those beyond it are not hedged. */
export const MAX_HEDGE_ROUTES = 4096

/** Time kept back at each hop for the answer to travel, in milliseconds. */
export const HOP_RESERVE_MS = 2

/** Share of the time left that a hop keeps back at most. */
export const HOP_RESERVE_MAX_SHARE = 0.1
