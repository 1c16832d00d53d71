/**
 * Ports on each VM's own loopback address. `instanceEntry` is the relay in front of the VM's instance, `entry` the
 * relay in front of its node, to which callers connect.
 */
export const PORTS = {
  callers: 8629,
  nodes: 8624,
  ready: 8625,
  control: 8620,
  replicas: 7600,
  instanceEntry: 8628,
  instance: 8627,
  entry: 8639
} as const

/** Number of node processes and of control replica processes. */
export const NODE_COUNT = 5
export const REPLICA_COUNT = 3

/** Availability zones; nodes are in each of them in turn. */
export const ZONES = ['zone-0', 'zone-1'] as const

/**
 * Time after the acknowledgement of an evacuation from which no instance in the zone gets a request, in milliseconds.
 * The platform sets this bound.
 */
export const EMPTY_AFTER_MS = 5000

/** Length of an evacuation, besides that of the fault, in milliseconds; the zone must be empty for the rest of it. */
export const EVACUATION_MS = EMPTY_AFTER_MS + 1500

/** Callers on each node's VM; each keeps one connection open. */
export const CALLERS_PER_NODE = 3

/** Longest pause of a caller between two requests, in milliseconds. */
export const MAX_CALLER_PAUSE_MS = 40

/** Timeout that a caller sends with each request, in milliseconds. */
export const CALLER_TIMEOUT_MS = 2000

/** Time past the timeout until a caller gives up, in milliseconds: an answer may arrive late on a busy machine. */
export const CALLER_TIMEOUT_SLACK_MS = 500

/**
 * Shares of idempotent requests, of at-most-once requests and of uploads; the others use the newest route that their
 * node must know.
 */
export const READ_SHARE = 0.4
export const AT_MOST_ONCE_SHARE = 0.3
export const UPLOAD_SHARE = 0.2

/** Beginning of the paths of uploads, and the size of their largest bodies in bytes: that of the users. */
export const UPLOAD_PATH = '/upload/'
export const MAX_UPLOAD_BYTES = 360 * 1024

/** Memory of a node in megabytes, of which bodies may take a quarter: some of the uploads are refused. */
export const NODE_MEMORY_MB = 4

/**
 * Time after the acknowledgement of a drain in which an instance may still receive requests, in milliseconds. The
 * platform sets this bound.
 */
export const DRAIN_GRACE_MS = 2000

/** Time after an instance has named a limit from which it binds, in milliseconds. The platform sets this bound. */
export const STABLE_WINDOW_MS = 3000

/**
 * Bound on the requests that an instance with a limit gets in a time window from nodes that had passed the limit on
 * `settleMs` before: `ratio` times what the limit allows, plus `slack`. The platform sets this bound.
 */
export const LIMIT_RULE = { windowMs: 4000, ratio: 1.5, slack: 5, settleMs: 500 } as const

/**
 * Bound on the requests that a cold instance gets in a time window: `ratio` times `perS`, plus `slack`. The platform
 * sets this bound. `startMs` is how long an instance is cold after its start.
 */
export const COLD_RULE = { perS: 6, startMs: 1500, windowMs: 1000, ratio: 1.5, slack: 8 } as const

/** Pause until another instance becomes cold in the middle of its life, and for how long, in milliseconds. */
export const COLD_PAUSE_MS = 1500
export const COLD_AGAIN_MS = 1000

/** Lowest limit that an instance names, and the range above it, in requests a second; the load is ten times that. */
export const MIN_LIMIT_PER_S = 2
export const LIMIT_RANGE_PER_S = 6

/** Time for which an instance names a limit, besides that of the fault, in milliseconds: twice the time to bind. */
export const LIMIT_MS = 6000

/** Longest duration of a planned stop, and what a busy machine may add to it, in milliseconds. */
export const STOP_TIMEOUT_MS = 6000
export const STOP_SLACK_MS = 1500

/** Time after an unplanned fault in which lost answers are not counted against a planned stop, in milliseconds. */
export const FAULT_SETTLE_MS = 3000

/** Bound on the retries that run in a time window: `ratio` of the first runs in the window, plus `slack`. */
export const RETRY_BUDGET = { ratio: 0.2, slack: 60, windowMs: 10_000 } as const

/**
 * Time after the last fault within which requests must be served again, in milliseconds. A replica whose disk was wiped
 * gets as long to become a voter.
 */
export const RECOVERY_TIMEOUT_MS = 15_000

/** Least share of the requests that must be answered after the recovery. */
export const MIN_RECOVERED_SHARE = 0.9

/** Beginning of the paths that crash the instance that runs them. */
export const POISON_PATH = '/read/poison-'

/** Time for which such a path is asked for, besides that of the fault, and the pause between requests; milliseconds. */
export const POISON_MS = 7000
export const POISON_PAUSE_MS = 300

/**
 * Bound on the runs of a path after it has crashed `crashes` instances: `runs` later than `STABLE_WINDOW_MS` after the
 * last of these. The platform sets this bound.
 */
export const QUARANTINE_RULE = { crashes: 3, runs: 3 } as const
