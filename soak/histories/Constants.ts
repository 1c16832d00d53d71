/** Time after an acknowledgement from which reads and nodes must not be older, in milliseconds. Set by the platform. */
export const CONFIG_DEADLINE_MS = 2000

/** What an unstable control group may add to it at nodes, in milliseconds. Set by the platform. */
export const MAX_SKEW_MS = 5000

/** Time after a disturbance from which a process is in touch again, in milliseconds. Set by the platform. */
export const STABLE_WINDOW_MS = 3000

/** Time after the effect of a version from which an incarnation must not go back, in ms. Set by the platform. */
export const ROLLBACK_SLACK_MS = 250

/** Longest time to an acknowledgement in a stable group, and what each route adds, in ms. Set by the platform. */
export const ACK_MS = 4000
export const ACK_MS_PER_ROUTE = 3

/** Time that a replica with an empty disk gets before another disk is lost, in milliseconds. Set by the platform. */
export const CATCH_UP_MS = 4000

/** Time after the final fault within which the configuration is read back, in milliseconds. Set by the platform. */
export const RECOVER_MS = 15_000

/** Longest timeout of a valid route, and the excess of a latency objective that is invalid, in microseconds. */
export const MAX_TIMEOUT_US = 600_000_000n
export const INVALID_EXCESS_US = 60_000_000n

/** Requests on added routes from which their successes count, and the least share of them against the first routes. */
export const ADDED_ROUTES_RULE = { requests: 20, ratio: 0.25 } as const

/** Delay of the recorder's event loop above which the machine counts as too busy, in ms; a quarter is sampled. */
export const BUSY_DELAY_MS = 200
