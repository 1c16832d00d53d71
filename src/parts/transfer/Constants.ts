/** Bytes of a chunk; the last one of a body may be shorter. */
export const CHUNK_BYTES = 16 * 1024

/** Most chunks of all bodies on a link, in one direction, that may be unacknowledged: 64 KB. */
export const MAX_WINDOW_CHUNKS = 4

/**
 * Time from sending a chunk to its acknowledgement below which the window grows, and above which it shrinks, in
 * milliseconds. A small frame waits for about as long as the chunks that were sent before it.
 */
export const WINDOW_GROWTH_BELOW_MS = 20
export const WINDOW_SHRINK_ABOVE_MS = 50
