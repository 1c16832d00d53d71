/** Longest answer that is sent in one frame together with its head. */
export const MAX_INLINE_ANSWER_BYTES = 32 * 1024

/** Flow-control window: bytes of an answer's body that may be in transit before the receiver grants more credit. */
export const BODY_WINDOW_BYTES = 256 * 1024

/** Largest chunk of a request body in one frame; frames of other calls are interleaved between the chunks. */
export const MAX_BODY_CHUNK_BYTES = 64 * 1024

/** A link that has received nothing for longer is checked with a ping before it carries an at-most-once call. */
export const IDLE_CHECK_AFTER_MS = 250

/** Timeout of the ping that checks an idle link. */
export const IDLE_CHECK_TIMEOUT_MS = 150

/** Retry-After of refusals that have no better estimate. */
export const DEFAULT_RETRY_AFTER_MS = 1000

/** Time for which an at-most-once call may run past its deadline, so that its outcome can still be recorded. */
export const RUN_GRACE_MS = 2000
