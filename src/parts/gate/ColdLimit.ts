import {
  COLD_BOUND, COLD_BURST, COLD_CHECK_AT, COLD_CHECK_RETRY_MS, COLD_RESERVE, COLD_WINDOW_MS, MAX_COLD_CLOSED_MS,
  MIN_COLD_CHECK_INTERVAL_MS, WARM_RETURN_MS
} from './Constants.js'
import { RequestRateLimit } from './RequestRateLimit.js'

/** Number of a request from the allowance, or `PACED` for one from the token bucket. */
export type ColdTicket = number

/** Ticket of a request that the token bucket allowed, or that was sent while there was no limit. */
export const PACED: ColdTicket = 0

const MS_PER_SECOND = 1000

/** Fractional part of the golden ratio: its multiples are spread evenly over [0, 1), however many there are. */
const SPREAD_STEP = 0.618

/** A request from the allowance. */
interface AllowedRequest {
  readonly ticket: ColdTicket
  readonly sentAtMs: number
}

/**
 * Limit on the requests to an instance that may be cold. An instance can become cold at any moment and says so only in
 * answers to health checks and in reports, so the bound for cold instances must hold before its node knows.
 *
 * Each request is taken from one of two stocks. A token bucket allows the rate of a cold instance, evenly spaced. The
 * allowance is what the bound leaves beside the bucket: so many requests may be sent in any window since the last proof
 * by a health check that the instance is warm; each further proof renews it. While the instance is known to be cold, or
 * answers no checks, calls use only the bucket. While both stocks together suffice, a warm instance needs no check.
 *
 * The bound also holds over restarts of the node, up to two in a window: a restarted node has an empty bucket and no
 * allowance for the first window, unless a check proves the instance warm.
 *
 * Declined callers are told times that follow each other at the rate of the instance, so that they do not return
 * together.
 *
 * Memory: the requests from the allowance in the last window; their number is at most the allowance.
 */
export class ColdLimit {
  private readonly _bucket = new RequestRateLimit(burstOf)
  private _perS: number | undefined
  private _coldUntilMs = -Infinity
  /** In the order in which they were sent. */
  private _allowed: AllowedRequest[] = []
  private _lastTicket = PACED
  /** Last ticket from before the limit was set; probes up to it prove nothing about what was sent until then. */
  private _lastUnlimitedTicket = PACED
  /** Until when requests of the last window may be unknown, such as those of an earlier run of the node. */
  private _unknownUntilMs = -Infinity
  private _hasFirstProbe = false
  private _openCheck: ColdTicket | undefined
  private _nextCheckAtMs = -Infinity
  /** True after a check without an answer, until one proves the instance warm. */
  private _isUnanswered = false
  private _promisedAtMs = -Infinity
  private _spread = 0

  /** True while the service has a limit for cold instances. */
  public get isSet (): boolean {
    return this._perS !== undefined
  }

  /**
   * Sets or lifts the limit.
   * @param perS Requests a second that the instance tolerates while it is cold; undefined without a limit.
   * @param coldUntilMs Until when the instance is taken as cold, in monotonic milliseconds.
   */
  public set (perS: number | undefined, coldUntilMs: number, nowMs: number): void {
    if (perS !== undefined && this._perS === undefined) {
      this._allowed = []
      this._lastUnlimitedTicket = this._lastTicket
      this._unknownUntilMs = nowMs + COLD_WINDOW_MS
      this._hasFirstProbe = true
      this._openCheck = undefined
      this._nextCheckAtMs = nowMs
      this._isUnanswered = false
    }
    if (perS !== this._perS) this._bucket.set(perS, nowMs)
    this._perS = perS
    this._coldUntilMs = coldUntilMs
  }

  /** True while calls get only what the bucket allows. */
  public isPaced (nowMs: number): boolean {
    return this.isSet && (this._coldUntilMs > nowMs || this._isUnanswered)
  }

  /**
   * Returns whether a call may be accepted while `queued` others wait: to start, or to be held until a check has shown
   * whether the instance is warm.
   */
  public accepts (queued: number, nowMs: number): boolean {
    return !this.isPaced(nowMs) || this._bucket.available(nowMs) >= queued + 1
  }

  /** Returns whether a call may be sent now. */
  public canSend (nowMs: number): boolean {
    if (!this.isSet || this._bucket.available(nowMs) >= 1) return true
    // The last request of the allowance is kept for the check that renews it.
    return !this.isPaced(nowMs) && this._allowance(nowMs) > 1
  }

  /** Takes a call that is sent now; only after `canSend`. */
  public take (nowMs: number): ColdTicket {
    if (this.isSet && this._bucket.available(nowMs) < 1) return this._takeAllowed(nowMs)
    this._bucket.take(nowMs)
    return PACED
  }

  /** Returns a request that the instance has proved not to count, by status 421. */
  public refund (ticket: ColdTicket, nowMs: number): void {
    if (ticket === PACED) this._bucket.refund(nowMs)
    else this._allowed = this._allowed.filter(request => request.ticket !== ticket)
  }

  /**
   * Takes a health check or a load query, which are requests to the instance as well. They use the allowance first, so
   * that those to a cold instance do not cost calls their tokens.
   * @returns Undefined when it must not be sent now.
   */
  public takeProbe (nowMs: number): ColdTicket | undefined {
    if (!this.isSet) return PACED
    if (this._hasFirstProbe) {
      this._hasFirstProbe = false
      return ++this._lastTicket
    }
    if (this._allowance(nowMs) >= 1) return this._takeAllowed(nowMs)
    if (this._bucket.available(nowMs) < 1) return undefined
    this._bucket.take(nowMs)
    return ++this._lastTicket
  }

  /** Takes the check that must be sent now because the allowance runs out; undefined while none is due. */
  public startCheck (nowMs: number): ColdTicket | undefined {
    if (!this.isSet || this._coldUntilMs > nowMs || this._openCheck !== undefined) return undefined
    if (nowMs < this._nextCheckAtMs) return undefined
    if (!this._isUnanswered && this._allowance(nowMs) - 1 > COLD_CHECK_AT) return undefined
    this._openCheck = this.takeProbe(nowMs)
    this._nextCheckAtMs = nowMs + MIN_COLD_CHECK_INTERVAL_MS
    return this._openCheck
  }

  /**
   * Records the end of a probe.
   * @param isWarm True when its answer proves that the instance was warm after the probe was sent.
   */
  public endProbe (ticket: ColdTicket, isWarm: boolean, nowMs: number): void {
    const isOpenCheck = ticket === this._openCheck
    if (isOpenCheck) this._openCheck = undefined
    if (isWarm && ticket > this._lastUnlimitedTicket) {
      this._allowed = this._allowed.filter(request => request.ticket > ticket)
      this._unknownUntilMs = -Infinity
      this._isUnanswered = false
    } else if (isOpenCheck) {
      this._isUnanswered = true
      this._nextCheckAtMs = nowMs + COLD_CHECK_RETRY_MS
    }
  }

  /** Returns how many of the queued calls can't be sent at the rate of a cold instance. */
  public surplus (queued: number, nowMs: number): number {
    return this.isPaced(nowMs) ? Math.max(0, queued - Math.floor(this._bucket.available(nowMs))) : 0
  }

  /** Returns when held calls should be looked at again without an answer to a check, in monotonic milliseconds. */
  public nextWakeMs (nowMs: number): number {
    const nextTokenMs = nowMs + this._bucket.waitMs(1, nowMs)
    const isCheckAhead = this._openCheck === undefined && this._nextCheckAtMs > nowMs
    return isCheckAhead ? Math.min(nextTokenMs, this._nextCheckAtMs) : nextTokenMs
  }

  /** Promises the caller of a declined call the next place in the order in which callers should return. */
  public promise (nowMs: number): void {
    if (!this.isPaced(nowMs) || this._perS === undefined) return
    const nextMs = Math.max(nowMs + this._bucket.waitMs(1, nowMs), this._promisedAtMs + MS_PER_SECOND / this._perS)
    const longestMs = this._longestClosedMs(nowMs)
    if (nextMs <= nowMs + longestMs) this._promisedAtMs = nextMs
    else {
      this._spread = (this._spread + SPREAD_STEP) % 1
      this._promisedAtMs = nowMs + longestMs * (1 + this._spread) / 2
    }
  }

  /**
   * Returns for how long no further call should come, in whole milliseconds: 0 when one can be sent now, otherwise
   * until the time that was promised last.
   * @param count Calls that wait already, and the further one.
   */
  public closedForMs (count: number, nowMs: number): number {
    if (this.accepts(count - 1, nowMs)) return 0
    const longestMs = this._longestClosedMs(nowMs)
    const promisedMs = Math.min(longestMs, this._promisedAtMs - nowMs)
    const closedMs = Math.max(this._bucket.waitMs(count, nowMs), promisedMs)
    return Math.ceil(Math.min(closedMs, Math.max(longestMs, this._coldUntilMs - nowMs)))
  }

  /** Longest time for which the order of return may keep a caller's node away. */
  private _longestClosedMs (nowMs: number): number {
    return Math.min(MAX_COLD_CLOSED_MS, Math.max(0, this._coldUntilMs - nowMs) + WARM_RETURN_MS)
  }

  private _takeAllowed (nowMs: number): ColdTicket {
    const ticket = ++this._lastTicket
    this._allowed.push({ ticket, sentAtMs: nowMs })
    return ticket
  }

  /** Requests that the allowance has left. */
  private _allowance (nowMs: number): number {
    if (this._perS === undefined || nowMs < this._unknownUntilMs) return 0
    while ((this._allowed[0]?.sentAtMs ?? Infinity) <= nowMs - COLD_WINDOW_MS) this._allowed.shift()
    return allowanceOf(this._perS) - this._allowed.length
  }
}

function burstOf (perS: number): number {
  return Math.max(COLD_BURST.requests, perS * COLD_BURST.ms / MS_PER_SECOND)
}

/** Requests of the bound that the token bucket never sends, but for the reserve. */
function allowanceOf (perS: number): number {
  return Math.floor((COLD_BOUND.ratio - 1) * perS + COLD_BOUND.slack - burstOf(perS) - COLD_RESERVE)
}
