import { QUOTA_STEP_MS, QUOTA_WINDOW_MS } from './Constants.js'

/** Requests within one step. */
interface Bucket {
  /** Start of the step, in steps since time 0. */
  readonly step: number
  count: number
}

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
 * Memory: one bucket for each step of the window with requests, and for each step in the future.
 */
export class SlidingCounter {
  /** In the order of their steps. */
  private readonly _buckets: Bucket[] = []
  private _total = 0

  /**
   * @param _windowMs Length of the window in milliseconds.
   * @param _stepMs Length of a step in milliseconds.
   */
  public constructor (private readonly _windowMs = QUOTA_WINDOW_MS, private readonly _stepMs = QUOTA_STEP_MS) {}

  /** Number of buckets in memory. */
  public get size (): number {
    return this._buckets.length
  }

  /** Adds requests at a time, in monotonic milliseconds. */
  public add (count: number, atMs: number): void {
    const step = Math.floor(atMs / this._stepMs)
    let index = this._buckets.length
    while (index > 0 && this._buckets[index - 1]!.step > step) index--
    const bucket = this._buckets[index - 1]
    if (bucket?.step === step) bucket.count += count
    else this._buckets.splice(index, 0, { step, count })
    this._total += count
  }

  /** Removes expired buckets and returns the sum of the others. */
  public sum (nowMs: number): number {
    while (this._buckets.length > 0 && this._expiryMs(this._buckets[0]!) <= nowMs) {
      this._total -= this._buckets.shift()!.count
    }
    return this._total
  }

  /** Returns the sum of the buckets whose steps begin at or after a time. */
  public sumFrom (fromMs: number): number {
    let sum = 0
    for (let index = this._buckets.length - 1; index >= 0; index--) {
      const { step, count } = this._buckets[index]!
      if (step * this._stepMs < fromMs) break
      sum += count
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
    for (const bucket of [...this._buckets]) {
      const atMs = bucket.step * this._stepMs
      if (left === 0 || atMs > toMs) break
      if (atMs + this._stepMs <= fromMs) continue
      const taken = Math.min(left, bucket.count)
      bucket.count -= taken
      left -= taken
      this._total -= taken
      if (taken > 0) removed.push({ atMs, count: taken })
      if (bucket.count === 0) this._buckets.splice(this._buckets.indexOf(bucket), 1)
    }
    return removed
  }

  /** Returns the requests by step; their time is the start of the step. */
  public entries (): TimedCount[] {
    return this._buckets.map(({ step, count }) => ({ atMs: step * this._stepMs, count }))
  }

  /** Returns when the sum will have fallen by at least `amount`, or undefined when it holds less. */
  public freeAtMs (amount: number): number | undefined {
    let freed = 0
    for (const bucket of this._buckets) {
      freed += bucket.count
      if (freed >= amount) return this._expiryMs(bucket)
    }
    return undefined
  }

  private _expiryMs ({ step }: Bucket): number {
    return (step + 1) * this._stepMs + this._windowMs
  }
}
