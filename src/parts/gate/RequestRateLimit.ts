import { MIN_REQUESTS_PER_S, REQUEST_BURST_MS } from './Constants.js'

const MS_PER_SECOND = 1000

/** Added to a wait, in milliseconds, so that rounding never leaves a request just short of available at its end. */
const ROUNDING_MS = 0.001

/**
 * Token bucket for a limit on the requests that an instance takes from all nodes together. All requests to the instance
 * pass through its gate, so one bucket counts them all. It starts empty, so that a node that has restarted does not
 * allow a second burst.
 *
 * Memory: a few numbers.
 */
export class RequestRateLimit {
  private _perS = Infinity
  private _tokens = Infinity
  private _refilledAtMs = 0

  /**
   * @param _burstOf Returns the requests that may be sent at once, from the limit in requests a second; at least 1.
   */
  public constructor (private readonly _burstOf = usualBurst) {}

  /** True while the instance names a limit. */
  public get isSet (): boolean {
    return this._perS !== Infinity
  }

  /** Time for which one request takes up the limit, in milliseconds; 0 without a limit. */
  public get intervalMs (): number {
    return MS_PER_SECOND / this._perS
  }

  /** Requests that may be available at once. Infinite without a limit. */
  public get burst (): number {
    return this._burstOf(this._perS)
  }

  /**
   * Sets or lifts the limit.
   * @param perS Requests a second; undefined when the instance names no limit any more.
   * @param nowMs Monotonic time in milliseconds.
   */
  public set (perS: number | undefined, nowMs: number): void {
    if (perS === undefined) {
      this._perS = this._tokens = Infinity
      return
    }
    const tokens = this.isSet ? this.available(nowMs) : 0
    this._perS = Math.max(MIN_REQUESTS_PER_S, perS)
    this._tokens = Math.min(tokens, this.burst)
    this._refilledAtMs = nowMs
  }

  /** Returns the requests that may be sent now; a fraction counts as none. Infinite without a limit. */
  public available (nowMs: number): number {
    if (!this.isSet) return Infinity
    this._tokens = Math.min(this.burst, this._tokens + (nowMs - this._refilledAtMs) * this._perS / MS_PER_SECOND)
    this._refilledAtMs = nowMs
    return this._tokens
  }

  /** Takes one request from what is available. */
  public take (nowMs: number): void {
    if (this.isSet) this._tokens = this.available(nowMs) - 1
  }

  /** Returns a request to what is available, since it does not count after all. */
  public refund (nowMs: number): void {
    if (this.isSet) this._tokens = Math.min(this.burst, this.available(nowMs) + 1)
  }

  /** Returns the time until so many requests are available, in whole milliseconds; 0 when they are. */
  public waitMs (count: number, nowMs: number): number {
    const missing = count - this.available(nowMs)
    return missing <= 0 ? 0 : Math.ceil(missing * MS_PER_SECOND / this._perS + ROUNDING_MS)
  }
}

function usualBurst (perS: number): number {
  return Math.max(1, perS * REQUEST_BURST_MS / MS_PER_SECOND)
}
