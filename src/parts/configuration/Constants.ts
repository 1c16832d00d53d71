/** Source named by the follower when it asks the control replica that it is attached to. */
export const CONTROL_SOURCE = 'control'

/** A node whose last confirmation by a quorum was asked for longer ago than this is stale. */
export const LEASE_MS = 4_000

/** Wait for an answer to a request for a whole copy before it is sent again. */
export const ASK_RETRY_MS = 500

/** Wait for control's own difference before a whole copy is asked of a peer that is ahead. */
export const PEER_COPY_DELAY_MS = 1_000

/** Peers whose versions a follower remembers. */
export const MAX_PEERS = 64

/** Peers that are told at once of a version that came into force. */
export const MAX_OFFERS = 8

/** Operation ids that the register remembers; the oldest goes first. */
export const MAX_OPERATIONS = 16_384

/** Key paths that a conflict names. */
export const MAX_DIFFERING_PATHS = 64

/** Earlier configurations from which the register can make a difference. */
export const MAX_HISTORY = 32

export const MAX_SERVICES = 1_024
export const MAX_ZONES = 64
export const MAX_PATTERNS = 256
export const MAX_NAME_LENGTH = 63
export const MAX_PATTERN_LENGTH = 512
export const MAX_OPERATION_LENGTH = 128
export const MIN_DEADLINE_MS = 1
export const MAX_DEADLINE_MS = 600_000
export const MAX_DRAIN_MS = 86_400_000
export const MAX_BODY_BYTES = 1_073_741_824
export const MAX_MEASURING_BYTES_PER_SECOND = 1_000_000_000
