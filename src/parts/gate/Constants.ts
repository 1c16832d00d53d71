/** Share of an instance's slots above which some instances slow down, according to their operators. */
export const KNEE_SHARE = 0.8

/** Runs above the knee that are needed before they are judged, since single run times differ by more than half. */
export const MIN_RUNS_ABOVE_KNEE = 15

/** EWMA weight of a run in the run time above the knee relative to that below it. */
export const RUN_TIME_RATIO_EWMA_WEIGHT = 0.05

/**
 * Initial and longest time for which the concurrency limit stays at the knee, in milliseconds. Whether an instance
 * slows down when nearly full rarely changes, and every probe of the upper slots costs some slow runs under load.
 */
export const INITIAL_KNEE_HOLD_MS = 60_000
export const MAX_KNEE_HOLD_MS = 600_000

/** EWMA weight of a sample in the average work time. */
export const WORK_TIME_EWMA_WEIGHT = 0.1

/** Work time assumed before the first sample, in milliseconds: that of a usual interactive request. */
export const INITIAL_WORK_MS = 50

/** Share of the limit that hedges leave free, so that a burst of first attempts finds slots while hedges run. */
export const HEDGE_RESERVE_SHARE = 0.3

/** Age from which a slowness sample is ignored, in milliseconds; slowness changes several times a second. */
export const SLOWNESS_VALID_MS = 150

/** Age up to which a sample gives the slowness of a run that starts now, in milliseconds: an eighth of its validity. */
export const SLOWNESS_FRESH_MS = 20

/** Interval between measurements of a slow VM, in milliseconds: a few times within the validity of a sample. */
export const SLOWNESS_RECHECK_MS = 30

/** Expected time until a slow VM has recovered, in milliseconds; a call that would lose less starts at once. */
export const SLOWNESS_RECOVERY_MS = 100

/** Longest time that a call waits for a slow VM to recover, in milliseconds: about two changes of slowness. */
export const MAX_SLOWNESS_WAIT_MS = 300

/** Time after a failed measurement for which calls start without one, in milliseconds: tens of rechecks. */
export const MEASUREMENT_BACKOFF_MS = 1000

/**
 * Length of a period over which the least slowness is kept, in milliseconds; the current and the previous period
 * count. A VM that was never faster for that long, such as one that has just started, is taken to stay that slow, so
 * waiting for it to recover is pointless.
 */
export const LEAST_SLOWNESS_PERIOD_MS = 300

/**
 * Half-life of the highest slowness seen, in milliseconds: tens of changes. A VM that has not been slow for several
 * half-lives is no longer measured.
 */
export const PEAK_SLOWNESS_HALF_LIFE_MS = 10_000

/** Time over which an instance with a request limit may be sent what it was not sent before, in milliseconds. */
export const REQUEST_BURST_MS = 1000

/**
 * Requests a second that are sent to an instance even when it names a lower limit: without any answer, nobody would
 * learn that the limit has ended.
 */
export const MIN_REQUESTS_PER_S = 0.5

/** Window in which the requests to a cold instance are bounded, in milliseconds. */
export const COLD_WINDOW_MS = 1000

/**
 * Bound on the requests that a cold instance gets from all nodes in that window: `ratio` times its limit, plus `slack`.
 * The platform sets it (`ColdOvershoot`, `ColdSlack`).
 */
export const COLD_BOUND = { ratio: 1.5, slack: 8 } as const

/**
 * Requests that may be sent to a cold instance at once: `requests`, or what the limit allows in `ms` milliseconds if
 * that is more. Two, so that a request that arrives shortly before the next interval does not lose one.
 */
export const COLD_BURST = { requests: 2, ms: 50 } as const

/**
 * Requests of the bound that are left unused: the first probe after a start of the node is sent without an allowance,
 * and a node may restart twice within the window.
 */
export const COLD_RESERVE = 2

/**
 * Requests that the allowance still has when the gate asks whether the instance is warm: one for a call that arrives
 * meanwhile. A call beyond is held for the answer, which usually takes 1 or 2 ms.
 */
export const COLD_CHECK_AT = 1

/** Shortest time between two such questions, in milliseconds; an instance takes at most 60 health checks a second. */
export const MIN_COLD_CHECK_INTERVAL_MS = 25

/** Time until the gate asks again after a question without an answer, in milliseconds. */
export const COLD_CHECK_RETRY_MS = 100

/**
 * Longest time for which a cold instance tells a caller's node to stay away, in milliseconds: an instance that is warm
 * again must get its full share within a second.
 */
export const MAX_COLD_CLOSED_MS = 750

/**
 * Time after the end of the cold time over which callers' nodes return that were told to stay away, in milliseconds:
 * some run times, so that they do not all come at once.
 */
export const WARM_RETURN_MS = 250

/** Share of the limit that late calls leave free for calls that can still meet their latency objective. */
export const LATE_RESERVE_SHARE = 0.25

/** Initial limit on queued late calls: about half the slots of a small instance. */
export const INITIAL_LATE_QUEUE_LIMIT = 3

/** Increase of that limit for each late call that starts; two starts let one more call queue. */
export const LATE_QUEUE_LIMIT_STEP = 0.5

/** Queued calls in all; bounds memory. */
export const MAX_QUEUED_CALLS = 1000

/** EWMA weight of a run in the reported share of runs that fail: a second of a usual load. */
export const FAILING_EWMA_WEIGHT = 0.1

/** The reported share of runs that fail is rounded to this fraction of one, as slowness is. */
export const FAILING_STEPS = 16

/** Reported slowness is rounded to quarters, which short floating-point numbers represent exactly. */
export const SLOWNESS_STEPS_PER_UNIT = 4

/** Fractions of one in which used shares are compared. */
export const SHARE_STEPS = 8

/**
 * Share of its quota that a workspace usually uses, by its operators. A call whose node names no share counts as one of
 * a workspace with its usual traffic.
 */
export const USUAL_SHARE = 5 / 8

/** Accepted calls from which a gate estimates how many overtake a waiting one: about a second of a usual load. */
export const ACCEPTED_CALLS_KEPT = 64

/** Least share of the slots that a waiting call is expected to compete for; keeps its expected wait finite. */
export const MIN_REMAINING_SHARE = 0.05

/**
 * Backlog from which calls compete for an instance, in milliseconds: about what usual objectives leave for waiting.
 * Below it, all calls can be served in time in the order of their age, and any other order makes some of them late.
 */
export const CONTENTION_BACKLOG_MS = 300

/** Largest backlog, in milliseconds; it is worked off within seconds once the overload is over. */
export const MAX_BACKLOG_MS = 1000
