/**
 * Time without progress after which a call that was passed on gets an outcome, in milliseconds; below the second for
 * which operators wait before they try elsewhere.
 */
export const RELAY_LIMIT_MS = 900

/** Time without bytes of a reply after which another replica is asked too, in milliseconds; a commit takes a few. */
export const REPLY_PATIENCE_MS = 200

/** Time after which a replica that could not decide a call is asked again, in milliseconds: it may elect a leader. */
export const RETRY_INTERVAL_MS = 75

/** Share of the link that a call and its reply count on; the rest is left to other traffic of the process. */
export const LINK_SHARE = 0.5

/** Time for which a replica that did not reply in time is asked after the others, in milliseconds. */
export const SUSPICION_MS = 5000
