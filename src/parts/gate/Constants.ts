/** Share of an instance's slots above which some slow down, as their operators say. */
export const KNEE_SHARE = 0.8

/** Runs above that share that are looked at before they are judged; their times differ by more than half. */
export const MIN_RUNS_ABOVE_KNEE = 15

/** Weight of a run in the smoothed time above that share. */
export const RUN_TIME_RATIO_EWMA_WEIGHT = 0.05

/**
 * First and longest time after which slots that did not pay are tried again, in milliseconds. That an instance slows
 * down when nearly full rarely changes, and each try costs some slow runs at a busy time.
 */
export const INITIAL_KNEE_HOLD_MS = 60_000
export const MAX_KNEE_HOLD_MS = 600_000

/** Weight of a new sample in the smoothed work time. */
export const WORK_TIME_EWMA_WEIGHT = 0.1

/** Work time assumed before the first sample, in milliseconds: the usual size of an interactive request. */
export const INITIAL_WORK_MS = 50

/** Share of the limit that duplicates leave free, about a third: a burst must find room before they have ended. */
export const HEDGE_RESERVE_SHARE = 0.3

/** Age after which a slowness figure says nothing, in milliseconds; it changes several times a second. */
export const SLOWNESS_VALID_MS = 150

/** Age up to which a figure tells the pace of a run that starts now, in milliseconds: an eighth of its life. */
export const SLOWNESS_FRESH_MS = 20

/** Wait before a VM that was slow is asked again, in milliseconds: a few times while a figure is valid. */
export const SLOWNESS_RECHECK_MS = 30

/** Expected time until a slow VM is back at its usual pace, in milliseconds; a run that loses less starts at once. */
export const SLOWNESS_RECOVERY_MS = 100

/** Longest time that a call is held for a better pace, in milliseconds: two changes of a figure. */
export const MAX_SLOWNESS_WAIT_MS = 300

/** Time for which calls start without a figure after a measurement failed, in milliseconds: tens of rechecks. */
export const MEASUREMENT_BACKOFF_MS = 1000

/**
 * Length of a period over which the least slowness is kept, in milliseconds; two periods are looked at. A VM that was
 * never quicker for that long, as after a start, stays as it is, and waiting for it brings nothing.
 */
export const MIN_SLOWNESS_PERIOD_MS = 300

/** Half-life of the highest slowness seen, in milliseconds: tens of changes; a VM that stops changing is left alone. */
export const PEAK_SLOWNESS_HALF_LIFE_MS = 10_000

/** Share of the limit that calls past their objective leave free, for those that can still meet theirs. */
export const LATE_RESERVE_SHARE = 0.25

/** Calls past their objective that may wait at first, about half of a small instance's slots. */
export const INITIAL_LATE_QUEUE_LIMIT = 3

/** What each such call that starts adds to the number: two must get their turn for one more to wait. */
export const LATE_QUEUE_LIMIT_STEP = 0.5

/** Calls that may wait in all; bounds memory. */
export const MAX_QUEUED_CALLS = 1000

/** Reported slowness is told in steps of a quarter, which short numbers hold exactly. */
export const SLOWNESS_STEPS_PER_UNIT = 4
