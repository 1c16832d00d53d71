/** Name by which the follower requests a copy from the control replica that its node is attached to. */
export const CONTROL_SOURCE = 'control'

/** How long a configuration stays current after the node sent the request that a quorum confirmed. */
export const LEASE_MS = 4_000

/** Time without an answer after which a request for a full copy is sent again. */
export const ASK_RETRY_MS = 500

/** Time to wait for control's difference before a full copy is requested from a peer that is ahead. */
export const PEER_COPY_DELAY_MS = 1_000

/** Peers whose versions a follower remembers. */
export const MAX_PEERS = 64

/** Peers that are notified at once of a version that came into force. */
export const MAX_OFFERS = 8

/** Operation ids that the store remembers; the oldest is dropped first. */
export const MAX_OPERATIONS = 16_384

/** Key paths that a conflict reply lists. */
export const MAX_DIFFERING_PATHS = 64

/** Earlier configurations from which the store can compute a difference. */
export const MAX_HISTORY = 32

/* Bounds on the content of a change; lengths are in characters. */
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
