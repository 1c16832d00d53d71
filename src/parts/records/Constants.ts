/** Longest Idempotency-Key, in UTF-16 code units. */
export const MAX_KEY_LENGTH = 256

/** Most records kept by a ledger. */
export const MAX_RECORDS = 200_000

/** Most bytes of the headers and body of one stored answer. */
export const MAX_ANSWER_BYTES = 16_384

/** Most bytes of all stored answers of a ledger. */
export const MAX_TOTAL_ANSWER_BYTES = 134_217_728

/** How long a key is kept after the end of its run time. */
export const KEY_RETENTION_MS = 3_600_000

/** Longest run time of a grant. */
export const MAX_RUN_FOR_MS = 600_000

/** How long a holder that gave up or was refused can't be granted; longer than a message can be delayed. */
export const HOLDER_TOMBSTONE_MS = 120_000

/** Most tombstones of such holders; the oldest is evicted first. */
export const MAX_HOLDER_TOMBSTONES = 65_536

/** Most expired records removed by one command, which bounds the time that a command takes. */
export const MAX_REMOVED_PER_COMMAND = 64

/**
 * Bounds on the Retry-After of a key that is in progress, which is otherwise the rest of its run time. The minimum is
 * also the Retry-After of a holder that has a tombstone.
 */
export const MIN_RETRY_AFTER_MS = 50
export const MAX_RETRY_AFTER_MS = 1_000

/** Retry-After of a call refused because the ledger is full. */
export const LEDGER_FULL_RETRY_AFTER_MS = 5_000

/** Retry-After of a call whose deadline passed before the leader replied. */
export const NO_REPLY_RETRY_AFTER_MS = 1_000

/** First delay before a command without a reply is sent again; it doubles up to the maximum. */
export const INITIAL_COMMAND_RETRY_MS = 100
export const MAX_COMMAND_RETRY_MS = 2_000

/** How long the outcome of a run is sent again while the leader does not record it. */
export const OUTCOME_TIMEOUT_MS = 120_000
