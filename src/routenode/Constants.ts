/**
 * Interval of pings on a link while calls are out and nothing is heard, in milliseconds: a usual call ends in one or
 * two. A ping without an answer for as long keeps new calls away.
 */
export const LINK_PING_INTERVAL_MS = 150

/** Silence on a link with calls out after which it counts as lost, in milliseconds: six pings. */
export const LINK_TIMEOUT_MS = 1000

/** Longest connect to the instance on the same VM, in milliseconds; it takes well below one. */
export const INSTANCE_CONNECT_TIMEOUT_MS = 400

/** Idle time after which a connection is not used for a call that must not run twice, in milliseconds. */
export const AT_MOST_ONCE_MAX_IDLE_MS = 1000

/** Idle connections to the instance that are kept. */
export const MAX_IDLE_CONNECTIONS = 32

/** Interval of health checks of an instance that was lost or is not known yet, in milliseconds. */
export const RECOVERY_CHECK_INTERVAL_MS = 250

/** Longest wait for a health check, in milliseconds. */
export const HEALTH_CHECK_TIMEOUT_MS = 500

/** Longest wait for a figure of load, in milliseconds; calls wait for it, and it takes one or two. */
export const LOAD_QUERY_TIMEOUT_MS = 20

/** Interval of pings to the control replica that a node takes its news from, in milliseconds. */
export const FEED_PING_INTERVAL_MS = 500

/** Silence of that replica after which the node looks for another, in milliseconds. */
export const FEED_TIMEOUT_MS = 1200

/** Longest wait for a connection and a welcome, in milliseconds. */
export const FEED_WELCOME_TIMEOUT_MS = 1500

/**
 * Interval at which a node tells of itself though nothing has changed, in milliseconds: news that were lost between
 * replicas are missed no longer than that. Each costs every node a frame, so it is rarer than reports of instances.
 */
export const REPUBLISH_INTERVAL_MS = 10_000

/** Pause before the next replica is tried, in milliseconds. */
export const FEED_RECONNECT_DELAY_MS = 100

/** Instances that may hand one call back before the answer of the next one is final; each costs a round trip. */
export const MAX_DECLINES = 3

/** Part of the budget that duplicates may fill; the rest is left for requests that fail, which are fewer. */
export const HEDGE_BUDGET_SHARE = 0.7

/** Instances that may hand a duplicate back before it is given up; each costs a round trip and gains less. */
export const MAX_HEDGE_DECLINES = 2

/** Largest answer that is relayed, in bytes; a node holds it whole until its caller has it. */
export const MAX_ANSWER_BYTES = 15 * 1024 * 1024

/** Longest Retry-After of a node that has no configuration yet, in milliseconds: most have one by then. */
export const NOT_READY_RETRY_AFTER_MS = 1500

/** Time after a stop signal for which new requests are still taken, in milliseconds: callers ask each second, twice. */
export const SHUTDOWN_DELAY_MS = 3000

/** Share of the objective that a Retry-After is spread over, so that refused callers do not come back together. */
export const RETRY_AFTER_JITTER = 0.5

/** Share of the time left that callers wait at most before they come back. */
export const RETRY_AFTER_MAX_SHARE = 1 / 3
