/** Half-life of a report of load, in milliseconds: a few runs of an instance. */
export const LOAD_HALF_LIFE_MS = 200

/** Half-life of a report of slowness, in milliseconds; neighbours change it several times a second. */
export const SLOWNESS_HALF_LIFE_MS = 100

/** Slowness assumed without a report: a little above usual, so that a machine known to be quick goes first. */
export const DEFAULT_SLOWNESS = 1.5

/** Weight of an outcome in the smoothed failure share. */
export const FAILURE_EWMA_WEIGHT = 0.15

/** Cost of a certain failure in times of a run: failing fast must not look attractive. */
export const FAILURE_COST_RUNS = 12

/** Time for which an instance whose node could not be reached is passed over, in milliseconds. */
export const UNREACHABLE_COOLDOWN_MS = 1000

/** Failure share above which an instance gets only a trial now and then. */
export const EJECTION_FAILURE_SHARE = 0.6

/** Wait between trials of an instance that fails, in milliseconds. */
export const TRIAL_INTERVAL_MS = 1500

/** Largest share of a service's instances that may be passed over for failing. */
export const MAX_EJECTED_SHARE = 0.5

/**
 * Delay that is accepted to keep a kilobyte within its availability zone, in milliseconds. Bytes between zones are
 * paid for: a small call stays where the nearest instance is some runs slower, a large answer unless that one is full.
 */
export const CROSS_ZONE_COST_MS_PER_KB = 40

/** Bytes in a kilobyte. */
export const BYTES_PER_KB = 1024
