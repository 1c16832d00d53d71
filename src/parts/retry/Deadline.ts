import { HOP_RESERVE_MAX_SHARE, HOP_RESERVE_MS } from './Constants.js'

/** Header value: decimal milliseconds. */
const MILLISECONDS_PATTERN = /^\d{1,9}$/

/**
 * The moment after which nobody waits for a call's answer any more. It travels as milliseconds left, so that clocks
 * need not agree, and shrinks at each hop by what the answer needs to travel back.
 */
export class Deadline {
  /** Moment on this process's monotonic clock, in milliseconds. */
  public readonly atMs: number

  /** @param atMs Moment on this process's monotonic clock. */
  public constructor (atMs: number) {
    this.atMs = atMs
  }

  /**
   * Reads a deadline that came with a call. A missing or malformed value gives the service's own limit, and no value
   * reaches beyond it.
   * @param header Milliseconds left as the sender wrote them, if any.
   * @param serviceLimitMs Longest time that the service's rule allows.
   * @param nowMs Monotonic time.
   */
  public static fromHeader (header: string | undefined, serviceLimitMs: number, nowMs: number): Deadline {
    const value = header?.trim() ?? ''
    const leftMs = MILLISECONDS_PATTERN.test(value) ? Number(value) : serviceLimitMs
    return new Deadline(nowMs + Math.min(leftMs, serviceLimitMs))
  }

  /**
   * Returns the milliseconds left, 0 when it has passed.
   * @param nowMs Monotonic time.
   */
  public leftMs (nowMs: number): number {
    return Math.max(0, this.atMs - nowMs)
  }

  /**
   * Returns the whole milliseconds to pass on to the next hop, 0 when nothing is left for it.
   * @param nowMs Monotonic time.
   */
  public forwardedMs (nowMs: number): number {
    const leftMs = this.leftMs(nowMs)
    return Math.floor(leftMs - Math.min(HOP_RESERVE_MS, leftMs * HOP_RESERVE_MAX_SHARE))
  }
}
