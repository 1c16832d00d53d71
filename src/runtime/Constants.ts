/** Bytes of the length field in front of each frame. */
export const FRAME_HEADER_BYTES = 4

/** Bytes of the longest frame that is accepted; a longer one closes the connection. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024

/** Buffered bytes of a socket at which a channel counts as congested. */
export const CHANNEL_HIGH_WATER_BYTES = 1024 * 1024

/**
 * Shortest and longest timeout of a connection attempt, in milliseconds; it doubles with each attempt that times out.
 * An attempt to a VM that is just starting gets no answer, and the operating system repeats it only after a second.
 */
export const CONNECT_TIMEOUT_MIN_MS = 250
export const CONNECT_TIMEOUT_MAX_MS = 1000

/** Shortest and longest backoff between two connection attempts, in milliseconds before jitter. */
export const RECONNECT_MIN_MS = 50
export const RECONNECT_MAX_MS = 1000
