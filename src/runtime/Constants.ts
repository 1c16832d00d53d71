/** Bytes of the length that stands before each frame. */
export const FRAME_HEADER_BYTES = 4

/** Largest frame that is read; a longer one ends the connection. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024

/** Bytes waiting in a socket above which a channel counts as congested. */
export const CHANNEL_HIGH_WATER_BYTES = 1024 * 1024

/** Milliseconds that a TCP connect may take. */
export const CONNECT_TIMEOUT_MS = 1000

/** First and longest wait between two attempts to connect. */
export const RECONNECT_MIN_MS = 50
export const RECONNECT_MAX_MS = 1000
