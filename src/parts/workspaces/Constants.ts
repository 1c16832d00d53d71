/** Time constant of the recent use of a workspace, in milliseconds: the window of quotas. */
export const RECENT_USE_MS = 5000

/** Time constant of the usual use of a workspace, in milliseconds. */
export const USUAL_USE_MS = 60_000

/**
 * Requests that are added to both the recent and the usual use. A workspace with less than one request in
 * `RECENT_USE_MS` must not count as hot for a few requests in a row.
 */
export const USE_ALLOWANCE = 8

/**
 * Increase of the share used when a workspace gets its usual requests once more. Use within about a quarter of the
 * usual one then gives the same step: it varies that much at random, and at a load that is just served, ordering calls
 * by such differences makes the last ones miss their objective.
 */
export const SHARE_PER_USUAL_USE = 1 / 4

/**
 * Refusals for each served request that raise the share used by one. At twice the capacity, a workspace whose callers
 * wait for Retry-After has about 6, one whose callers repeat every 20 ms about 40.
 */
export const REFUSALS_PER_SHARE = 128

/** Largest increase of the share used for refusals: it moves the workspace one step back, but does not starve it. */
export const MAX_REPEAT_SHARE = 1 / 16

/** Workspaces that are tracked; those without a request for longest are forgotten. */
export const MAX_TRACKED_WORKSPACES = 16_384

/** Workspaces with metrics of their own; with the other ones and requests without a key, metrics have 20 labels. */
export const MAX_NAMED_WORKSPACES = 18

/** Names whose recent requests are counted to find the largest workspaces. */
export const MAX_CANDIDATES = 128

/** Time after which a request counts half when the largest workspaces are determined, in milliseconds. */
export const COUNT_HALF_LIFE_MS = 60_000

/** Factor by which a workspace must be larger to replace another one in the metrics, so that they don't alternate. */
export const REPLACEMENT_FACTOR = 2
