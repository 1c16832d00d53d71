/** Longest answer that is sent in one frame with its head. */
export const MAX_INLINE_ANSWER_BYTES = 32 * 1024

/** Bytes of a body that may be on their way before the receiver grants more. */
export const BODY_WINDOW_BYTES = 256 * 1024

/** Longest piece of a request body in one frame, so that other calls get between. */
export const MAX_BODY_PIECE_BYTES = 64 * 1024

/** A link that was silent for longer is checked before it carries a guarded call. */
export const IDLE_CHECK_AFTER_MS = 250

/** Time that a link has to answer such a check. */
export const IDLE_CHECK_TIMEOUT_MS = 150

/** Retry-After of answers for which nothing better is known. */
export const DEFAULT_RETRY_AFTER_MS = 1000

/** Time that a guarded call may run past its deadline before its record counts as unknown. */
export const RUN_GRACE_MS = 2000
