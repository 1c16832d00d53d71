const BITS_PER_BYTE = 8

/** Bits in a millisecond at 1 Mbit/s. */
const BITS_PER_MS_AND_MBPS = 1000

/**
 * Returns the time that a link takes to move a body, in milliseconds; 0 when its rate is not known.
 * @param bytes Size of the body.
 * @param linkMbps Rate of the link in Mbit/s.
 */
export function computeTransferMs (bytes: number, linkMbps: number | undefined): number {
  return linkMbps === undefined ? 0 : bytes * BITS_PER_BYTE / (linkMbps * BITS_PER_MS_AND_MBPS)
}
