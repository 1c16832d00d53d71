/** Length of the sliding window of a quota, in milliseconds. */
export const QUOTA_WINDOW_MS = 5000

/**
 * Step of the counters, in milliseconds. A use is counted for up to one step longer than the window, which must fit in
 * `GRANT_OVERSHOOT` together with `ANSWER_TIMEOUT_MS`, or workspaces that use exactly their quota would be refused.
 */
export const QUOTA_STEP_MS = 100

/**
 * What a ledger grants in a window beyond `ratePerS` x 5 + `burst`: a share of it and some requests. It makes up for
 * credits that are counted for longer than the window. The bound on all requests allows twice this share and 20
 * requests.
 */
export const GRANT_OVERSHOOT = 0.05

/** See `GRANT_OVERSHOOT`; in requests. */
export const GRANT_SLACK = 5

/** Requests that nodes without contact may together admit in a window beyond earlier use: share of a quota. */
export const SPARE_SHARE = 0.02

/** See `SPARE_SHARE`; in requests. */
export const SPARE_REQUESTS = 7

/** Requests that a new leader grants in a window beyond earlier use, while reports are missing: share of a quota. */
export const LIMITED_SHARE = 0.01

/** See `LIMITED_SHARE`; in requests. */
export const LIMITED_REQUESTS = 6

/** Credits in advance that all nodes together may hold, as a share of the quota of a window. */
export const ADVANCE_SHARE = 0.01

/** Share of the quota above which no credits are granted in advance. */
export const ADVANCE_MAX_USED = 0.5

/** Time for which a node may use a credit in advance after its answer arrived, in milliseconds. */
export const ADVANCE_VALID_MS = 1000

/** Time after which an unanswered message makes a node fall back to its allowance, in milliseconds. */
export const ANSWER_TIMEOUT_MS = 150

/**
 * Time after which an answer is ignored, in milliseconds; requests without an allowance wait as long. It is below the
 * time from the loss of a leader to the first grant of the next one.
 */
export const ANSWER_LIFETIME_MS = 600

/** Interval of messages of a node that has used credits within the window, in milliseconds. */
export const KEEPALIVE_MS = 200

/**
 * Time after an answer for which a node sends keepalives and knows the share used, in milliseconds: longer than the
 * ledger counts a credit in advance of that answer.
 */
export const ANSWER_RETENTION_MS = 7000

/** Interval of the ticks of clients, in milliseconds. */
export const CLIENT_TICK_MS = 50

/** Interval of the ticks of a ledger, in milliseconds. */
export const LEDGER_TICK_MS = 100

/**
 * Time without an acknowledgement from a node after which the ledger keeps counting all that the node used, in
 * milliseconds: a keepalive interval and a slow round trip.
 */
export const HOLD_AFTER_MS = 350

/**
 * Part of the window before its last contact that a node leaves out of its allowance, in milliseconds: the ledger may
 * have granted it to others before it noticed the silence, so it is longer than `HOLD_AFTER_MS` and one tick.
 */
export const ALLOWANCE_GAP_MS = 500

/** Time without contact after which a node stops using its allowance, in milliseconds. */
export const ALLOWANCE_LIFETIME_MS = 20_000

/**
 * Time for which a ledger counts the use of a silent node, and for which a new leader waits for nodes that have not
 * reported, in milliseconds: the allowance ends, and its uses leave the window.
 */
export const HOLD_LIFETIME_MS = 30_000

/** Time for which a new leader collects reports before it answers, in milliseconds. */
export const COLLECT_MS = 700

/** Interval at which a new leader asks nodes for missing reports, in milliseconds. */
export const COLLECT_INTERVAL_MS = 250

/** Longest time for which a node refuses requests on its own after a refusal by the ledger, in milliseconds. */
export const MAX_REFUSAL_MS = 250

/** Time over which the callers of refused requests are spread, in milliseconds. */
export const RETRY_SPREAD_MS = 1000
