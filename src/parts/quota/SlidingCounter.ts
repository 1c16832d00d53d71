import { QUOTA_STEP_MS, QUOTA_WINDOW_MS } from './Constants.js'

/** Requests with a time that lies within their step. */
export interface TimedCount {
  readonly atMs: number
  readonly count: number
}

/**
 * Counts requests in a sliding window. Unlike `SlidingWindow` it counts at any time, also in the future, and costs
 * memory only for steps with requests. A request leaves the sum when the window has passed since the end of its step,
 * so the sum is never below the number of requests in the window.
 *
 * Memory: two numbers for each step of the window with requests, and for each such step in the future.
 */
export class SlidingCounter {
  /** Steps since time 0 and their counts, alternating, in the order of the steps: a ledger has many counters. */
  private readonly _buckets: number[] = []

  /**
   * @param _windowMs Length of the window in milliseconds.
   */
  public constructor (private readonly _windowMs = QUOTA_WINDOW_MS) {}

  /** Number of steps in memory. */
  public get size (): number {
    return this._buckets.length / 2
  }

  /** Adds requests at a time, in monotonic milliseconds. */
  public add (count: number, atMs: number): void {
    const step = Math.floor(atMs / QUOTA_STEP_MS)
    let index = this._buckets.length
    while (index > 0 && this._buckets[index - 2]! > step) index -= 2
    if (index > 0 && this._buckets[index - 2] === step) this._buckets[index - 1]! += count
    else if (index === this._buckets.length) this._buckets.push(step, count)
    else this._buckets.splice(index, 0, step, count)
  }

  /** Removes expired steps and returns the sum of the others. */
  public sum (nowMs: number): number {
    let expired = 0
    while (expired < this._buckets.length && this._expiryMs(this._buckets[expired]!) <= nowMs) expired += 2
    if (expired > 0) this._buckets.splice(0, expired)
    return this.sumFrom(-Infinity)
  }

  /** Returns the sum of the steps that begin at or after a time. */
  public sumFrom (fromMs: number): number {
    let sum = 0
    for (let index = this._buckets.length - 2; index >= 0; index -= 2) {
      if (this._buckets[index]! * QUOTA_STEP_MS < fromMs) break
      sum += this._buckets[index + 1]!
    }
    return sum
  }

  /**
   * Removes up to `count` requests between two times, the earliest first.
   * @returns What was removed.
   */
  public remove (count: number, fromMs: number, toMs: number): TimedCount[] {
    const removed: TimedCount[] = []
    let left = count
    for (let index = 0; index < this._buckets.length && left > 0;) {
      const atMs = this._buckets[index]! * QUOTA_STEP_MS
      const found = this._buckets[index + 1]!
      const taken = atMs > toMs || atMs + QUOTA_STEP_MS <= fromMs ? 0 : Math.min(left, found)
      left -= taken
      if (taken > 0) removed.push({ atMs, count: taken })
      if (taken === found) this._buckets.splice(index, 2)
      else {
        this._buckets[index + 1] = found - taken
        index += 2
      }
    }
    return removed
  }

  /** Returns the requests by step; their time is the start of the step. */
  public entries (): TimedCount[] {
    const entries: TimedCount[] = []
    for (let index = 0; index < this._buckets.length; index += 2) {
      entries.push({ atMs: this._buckets[index]! * QUOTA_STEP_MS, count: this._buckets[index + 1]! })
    }
    return entries
  }

  /** Returns when the sum will have fallen by at least `amount`, or undefined when it holds less. */
  public freeAtMs (amount: number): number | undefined {
    let freed = 0
    for (let index = 0; index < this._buckets.length; index += 2) {
      freed += this._buckets[index + 1]!
      if (freed >= amount) return this._expiryMs(this._buckets[index]!)
    }
    return undefined
  }

  private _expiryMs (step: number): number {
    return (step + 1) * QUOTA_STEP_MS + this._windowMs
  }
}
