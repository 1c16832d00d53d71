/** Constants of failure detection. */

/** Failed attempts in a row after which an instance is ejected. */
export const EJECT_FAILURES_IN_A_ROW = 4

/** Smoothed share of failed attempts above which an instance is ejected, 0 to 1. */
export const EJECT_FAILURE_SHARE = 0.5

/** How far above the service's failure share an instance must lie to be ejected, 0 to 1. */
export const EJECT_SHARE_ABOVE_SERVICE = 0.3

/** Weight of the newest attempt in the smoothed failure share. */
export const FAILURE_EWMA_WEIGHT = 0.15

/** Attempts seen before the failure share counts. */
export const EJECT_MIN_ATTEMPTS = 6

/** Shortest silence with calls outstanding after which an instance counts as silent. */
export const SILENT_MIN_MS = 400

/** Silence after which an instance counts as silent, in expected latencies of the longest call outstanding. */
export const SILENT_EXPECTED_LATENCIES = 20

/** First time that an instance stays ejected; doubles with each ejection that follows a failed trial. */
export const EJECT_BASE_MS = 500

/** Longest time that an instance stays ejected. */
export const EJECT_MAX_MS = 15_000

/** Time without a failure after which earlier ejections are forgotten. */
export const EJECT_RESET_MS = 30_000

/** Largest share of a service's instances that may be ejected at once, 0 to 1. */
export const EJECT_MAX_SHARE = 0.5

/** Good answers in a trial after which an instance is restored. */
export const TRIAL_SUCCESSES = 2

/** Ratio of seen to expected latency above which an instance counts as slow. */
export const SLOW_RATIO = 2.5

/** Time in which evidence on speed loses most of its weight before any call was answered. */
export const SLOWNESS_DECAY_INITIAL_MS = 10

/** Shortest time in which evidence on speed loses most of its weight, in usual latencies. */
export const SLOWNESS_DECAY_MIN_LATENCIES = 0.5

/** That time over the time for which the instance has been slow. */
export const SLOWNESS_DECAY_PER_DURATION = 2

/** Longest time in which evidence on speed loses most of its weight. */
export const SLOWNESS_DECAY_MAX_MS = 10_000

/** Most answers that the latency estimate weighs, so that a change shows at once. */
export const SLOWNESS_MAX_SAMPLES = 6

/** Mean age of a call that is still running, as a share of its expected latency. */
export const RUNNING_CALL_AGE_SHARE = 0.75
