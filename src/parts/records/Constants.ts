/** Longest key, in characters. */
export const MAX_KEY_LENGTH = 256

/** Records that a ledger keeps at once. */
export const MAX_RECORDS = 200_000

/** Body and headers of one kept answer, in bytes. */
export const MAX_ANSWER_BYTES = 16_384

/** All kept answers of a ledger, in bytes. */
export const MAX_TOTAL_ANSWER_BYTES = 134_217_728

/** How long a key is kept after its run time has passed. */
export const HORIZON_MS = 3_600_000

/** Longest run time that a grant may have. */
export const MAX_RUN_FOR_MS = 600_000

/** How long a holder that gave up or was refused can't be granted; longer than any message is under way. */
export const HOLDER_TOMBSTONE_MS = 120_000

/** Such holders that are remembered; the oldest goes first. */
export const MAX_HOLDER_TOMBSTONES = 65_536

/** Expired records removed by one command at most, which bounds the time of one command. */
export const MAX_REMOVED_PER_COMMAND = 64

export const MIN_RETRY_AFTER_MS = 50
export const MAX_RETRY_AFTER_MS = 1_000
export const LEDGER_FULL_RETRY_AFTER_MS = 5_000
export const CONTROL_UNAVAILABLE_RETRY_AFTER_MS = 1_000

/** First wait for a reply to a command before it is sent again; doubles up to the longest. */
export const INITIAL_COMMAND_RETRY_MS = 100
export const MAX_COMMAND_RETRY_MS = 2_000

/** How long an outcome is sent again while control does not take it. */
export const OUTCOME_TIMEOUT_MS = 120_000
