/** Share of an instance's slots above which some slow down, as their operators say. */
export const KNEE_SHARE = 0.8

/** Runs above that share that are looked at before they are judged; their times differ by more than half. */
export const MIN_UPPER_RUNS = 15

/** Weight of a run in the smoothed time above that share. */
export const RATIO_WEIGHT = 0.05

/**
 * First and longest time after which slots that did not pay are tried again, in milliseconds. That an instance slows
 * down when nearly full rarely changes, and each try costs some slow runs at a busy time.
 */
export const FIRST_HOLD_MS = 60_000
export const LONGEST_HOLD_MS = 600_000

/** Weight of a new sample in the smoothed work time. */
export const WORK_WEIGHT = 0.1

/** Work time assumed before the first sample, in milliseconds: the usual size of an interactive request. */
export const INITIAL_WORK_MS = 50

/** A VM this many times slower than usual hands calls back that may go elsewhere: a move gains more than it costs. */
export const SLOW_FACTOR = 2.5

/** Share of the limit that duplicates leave free: a burst must find room before they have ended. */
export const SPARE_RESERVE_SHARE = 0.3

/** Age after which a slowness figure says nothing, in milliseconds; it changes several times a second. */
export const SLOWNESS_VALID_MS = 150

/** Share of the limit that calls past their objective leave free, for those that can still meet theirs. */
export const LATE_RESERVE_SHARE = 0.25

/** Calls past their objective that may wait, as a share of the slots: they start only when no other call waits. */
export const LATE_LINE_SHARE = 1

/** Calls that may wait in all; bounds memory. */
export const MAX_WAITING = 1000

/** Weight of a new figure in the smoothed slowness: some seconds of figures. */
export const SLOWNESS_WEIGHT = 0.02

/** Reported slowness is told in steps of a quarter, which short numbers hold exactly. */
export const SLOWNESS_STEPS = 4
