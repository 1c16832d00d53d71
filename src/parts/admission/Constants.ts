import type { AdmissionOptions } from './Types.js'

/** Defaults of the admission controller. */
export const ADMISSION_DEFAULTS: AdmissionOptions = {
  slots: 0,
  maxQueued: 256,
  initialServiceMs: 5,
  initialDownloadMs: 200,
  queueDelayServiceTimes: 3,
  minQueueDelayMs: 4,
  maxQueueDelayMs: 200,
  maxDownloadQueueDelayMs: 1000,
  lookupReserveShare: 0.34,
  minRetryAfterMs: 10,
  maxRetryAfterMs: 5000
}

/** Weight of the newest service time in the moving average. */
export const SERVICE_TIME_EWMA_WEIGHT = 0.1

/** Factor by which a shed call lowers the concurrency limit. */
export const SHED_LIMIT_FACTOR = 0.8

/** Half-life of the count of recent refusals, which sets the jitter of Retry-After. */
export const REFUSAL_HALF_LIFE_MS = 500
