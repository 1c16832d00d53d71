import {
  ALLOWANCE_GAP_MS, GRANT_OVERSHOOT, GRANT_SLACK, QUOTA_WINDOW_MS
} from './Constants.js'
import { SlidingCounter } from './SlidingCounter.js'
import type { Quota } from './Types.js'

/** A request that waits for a credit. */
export interface WaitingRequest {
  readonly id: number
  /** When it is refused if no answer has come. */
  readonly giveUpMs: number
  /** Message that asked for its credit; undefined before it was sent. */
  sequence: number | undefined
}

/** Unused credits. */
interface HeldCredits {
  count: number
  readonly untilMs: number
}

/** Allowance of a workspace at a node that has lost contact. */
interface Allowance {
  readonly count: number
  /** Quota at the time when contact was lost. */
  readonly quota: Quota
}

/**
 * State of one workspace at a node.
 *
 * Memory: the counters of a window, the requests that wait, and the unused credits of the last second.
 */
export class ClientWorkspace {
  /** Requests that were admitted at this node within the window. */
  public readonly uses = new SlidingCounter()
  public waiting: WaitingRequest[] = []
  public refusedUntilMs = -Infinity
  /** Used share of the quota at the last answer. */
  public eighths = 0
  /** When the last answer is too old; the ledger may count credits of this node until then. */
  public answeredUntilMs = -Infinity
  private readonly _spareUses = new SlidingCounter()
  private _credits: HeldCredits[] = []
  private _allowance: Allowance | undefined

  public constructor (public readonly name: string, public quota: Quota) {}

  /** True while anything is known that a new state of the workspace would lack. */
  public isActive (nowMs: number): boolean {
    return this.waiting.length > 0 || this._credits.length > 0 || this.uses.sum(nowMs) > 0 ||
      nowMs < this.refusedUntilMs || nowMs < this.answeredUntilMs
  }

  /** Keeps credits that no request waits for. */
  public hold (count: number, untilMs: number): void {
    if (count > 0) this._credits.push({ count, untilMs })
  }

  /** Takes an unused credit; returns false without one. */
  public takeCredit (nowMs: number): boolean {
    const credits = this._credits.find(({ count, untilMs }) => count > 0 && nowMs < untilMs)
    if (credits === undefined) return false
    credits.count--
    if (credits.count === 0) this._credits = this._credits.filter(other => other !== credits)
    return true
  }

  /** Removes the credits that have expired and returns their number. */
  public removeExpired (nowMs: number): number {
    if (this._credits.length === 0) return 0
    const expired = this._credits.filter(({ untilMs }) => nowMs >= untilMs)
    this._credits = this._credits.filter(({ untilMs }) => nowMs < untilMs)
    return expired.reduce((sum, { count }) => sum + count, 0)
  }

  /** Removes all credits and returns their number. */
  public dropCredits (): number {
    return this.removeExpired(Infinity)
  }

  /**
   * Computes what this node may have used in any window while it has no contact: what the leader must still count.
   * @param contactMs When the last answer came.
   */
  public computeAllowance (contactMs: number): number {
    return this.uses.sumFrom(contactMs + ALLOWANCE_GAP_MS - QUOTA_WINDOW_MS)
  }

  /** Fixes the allowance when contact is lost. */
  public fixAllowance (count: number): void {
    this._allowance = { count, quota: this.quota }
  }

  /** Ends the allowance, since there is contact again. */
  public endAllowance (): void {
    this._allowance = undefined
  }

  /** Allowance since contact was lost; undefined while there is contact or the workspace was not used before. */
  public get allowance (): number | undefined {
    return this._allowance?.count
  }

  /**
   * Takes a request from the allowance; returns false when it is used up.
   * @param spareCount Requests beyond the earlier use that this node may admit in a window.
   */
  public takeAllowance (spareCount: number, nowMs: number): boolean {
    if (this.uses.sum(nowMs) < this._allowedCount()) return true
    if (this._spareUses.sum(nowMs) >= spareCount) return false
    this._spareUses.add(1, nowMs)
    return true
  }

  /** A quota that was lowered since contact was lost lowers the allowance likewise. */
  private _allowedCount (): number {
    if (this._allowance === undefined) return 0
    const { count, quota } = this._allowance
    return count * Math.min(1, grantLimit(this.quota) / grantLimit(quota))
  }
}

/** Returns the quota of a window: `ratePerS` x 5 + `burst`. */
export function windowQuota ({ ratePerS, burst }: Quota): number {
  return ratePerS * QUOTA_WINDOW_MS / 1000 + burst
}

/** Returns the number of credits that a ledger grants at most in a window. */
export function grantLimit (quota: Quota): number {
  return windowQuota(quota) * (1 + GRANT_OVERSHOOT) + GRANT_SLACK
}
