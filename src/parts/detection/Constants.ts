/** Constants of the outlier detector. */

/** Consecutive failed attempts after which an instance is ejected. */
export const EJECT_FAILURES_IN_A_ROW = 4

/** Moving average of the share of failed attempts above which an instance is ejected, 0 to 1. */
export const EJECT_FAILURE_SHARE = 0.5

/** Distance above the failure share of the service from which an instance may be ejected, 0 to 1. */
export const EJECT_SHARE_ABOVE_SERVICE = 0.3

/** EWMA weight of the newest attempt in the failure share. */
export const FAILURE_EWMA_WEIGHT = 0.15

/** Attempts before an instance can be ejected for its failure share. */
export const EJECT_MIN_ATTEMPTS = 6

/** Shortest time without an answer after which an instance with outstanding calls is silent, in milliseconds. */
export const SILENT_MIN_MS = 400

/** Time without an answer after which an instance is silent, in expected latencies of the longest outstanding call. */
export const SILENT_EXPECTED_LATENCIES = 20

/** Duration of the first ejection in milliseconds; it doubles with each ejection that follows a failed trial. */
export const EJECT_BASE_MS = 500

/** Longest duration of an ejection in milliseconds. */
export const EJECT_MAX_MS = 15_000

/** Time without a failure after which the duration of ejections starts from its base again, in milliseconds. */
export const EJECT_RESET_MS = 30_000

/** Largest share of the instances of a service that may be ejected at once, 0 to 1. */
export const EJECT_MAX_SHARE = 0.5

/** Successful attempts of a trial after which an instance is restored. */
export const TRIAL_SUCCESSES = 2

/** Ratio of observed to expected latency above which an instance is slow. */
export const SLOW_RATIO = 2.5

/** Time constant of the decay of slowness samples before the first answer, in milliseconds. */
export const SLOWNESS_DECAY_INITIAL_MS = 10

/** Smallest time constant of that decay, in usual latencies. */
export const SLOWNESS_DECAY_MIN_LATENCIES = 0.5

/** Time constant of that decay relative to the time for which the instance has been slow. */
export const SLOWNESS_DECAY_PER_DURATION = 2

/** Largest time constant of that decay, in milliseconds. */
export const SLOWNESS_DECAY_MAX_MS = 10_000

/** Largest weight of all past answers in the slowness estimate, in answers, so that it follows a change quickly. */
export const SLOWNESS_MAX_SAMPLES = 6

/** Mean age of a call that is still running, as a share of its expected latency. */
export const RUNNING_CALL_AGE_SHARE = 0.75
