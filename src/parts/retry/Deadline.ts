import { HOP_RESERVE_MAX_SHARE, HOP_RESERVE_MS } from './Constants.js'

/** Valid header value: milliseconds in at most nine decimal digits. */
const MILLISECONDS_PATTERN = /^\d{1,9}$/

/**
 * Deadline of a call: the time after which no caller waits for its answer. It is sent as milliseconds left, so that
 * clocks need not agree, and shrinks at each hop by the time that the answer needs to travel back.
 */
export class Deadline {
  /** Time on this process's monotonic clock, in milliseconds. */
  public readonly atMs: number

  /** @param atMs Time on this process's monotonic clock, in milliseconds. */
  public constructor (atMs: number) {
    this.atMs = atMs
  }

  /**
   * Reads the deadline that came with a call. A missing or malformed value gives the service's own limit, and no value
   * exceeds it.
   * @param header Value of the deadline header, if any: milliseconds left when the call was sent.
   * @param serviceLimitMs Longest time that the service allows, in milliseconds.
   * @param nowMs Monotonic time in milliseconds.
   */
  public static fromHeader (header: string | undefined, serviceLimitMs: number, nowMs: number): Deadline {
    const value = header?.trim() ?? ''
    const leftMs = MILLISECONDS_PATTERN.test(value) ? Number(value) : serviceLimitMs
    return new Deadline(nowMs + Math.min(leftMs, serviceLimitMs))
  }

  /**
   * Returns the milliseconds left until the deadline, 0 when it has passed.
   * @param nowMs Monotonic time in milliseconds.
   */
  public leftMs (nowMs: number): number {
    return Math.max(0, this.atMs - nowMs)
  }

  /**
   * Returns the whole milliseconds to send to the next hop, 0 when no time is left for it.
   * @param nowMs Monotonic time in milliseconds.
   */
  public forwardedMs (nowMs: number): number {
    const leftMs = this.leftMs(nowMs)
    return Math.floor(leftMs - Math.min(HOP_RESERVE_MS, leftMs * HOP_RESERVE_MAX_SHARE))
  }
}
