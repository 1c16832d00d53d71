import { SlidingWindow } from './SlidingWindow.js'

/** Steps of the window; the sum covers one step more than the window, so that rounding never exceeds the bound. */
const WINDOW_STEPS = 20

/** Bounds on the retries and hedges of one service, summed over all nodes. */
export interface RetryLimits {
  /** Retries allowed as a share of requests. */
  readonly ratio: number
  /** Retries allowed in addition to that share, over all nodes together. */
  readonly slack: number
  /** Length of the sliding window in milliseconds. */
  readonly windowMs: number
}

/** Share of the bound that is used: the bound holds while each node knows of seven in ten of the other nodes. */
const SAFETY_SHARE = 0.7

/**
 * One node's part of a retry budget that all nodes share for one service: it bounds retries and hedges over a sliding
 * window. The ratio applies to the requests of this node; the slack is divided by the number of nodes.
 *
 * Memory: two sliding windows.
 */
export class SharedRetryBudget {
  private readonly _requests: SlidingWindow
  private readonly _retries: SlidingWindow

  /**
   * @param _limits Bounds over all nodes.
   */
  public constructor (private readonly _limits: RetryLimits) {
    this._requests = new SlidingWindow(_limits.windowMs, WINDOW_STEPS)
    this._retries = new SlidingWindow(_limits.windowMs, WINDOW_STEPS)
  }

  /**
   * Counts a request from a caller.
   * @param nowMs Monotonic time in milliseconds.
   */
  public countRequest (nowMs: number): void {
    this._requests.advance(nowMs)
    this._requests.add(1)
  }

  /**
   * Withdraws one retry or hedge from the budget.
   * @param nodeCount Number of nodes that share the slack.
   * @param nowMs Monotonic time in milliseconds.
   * @param maxShare Share of the budget that attempts of this purpose may fill, 0 to 1.
   * @returns False when the budget is used up and the attempt must not be sent.
   */
  public tryWithdraw (nodeCount: number, nowMs: number, maxShare = 1): boolean {
    this._requests.advance(nowMs)
    this._retries.advance(nowMs)
    const { ratio, slack } = this._limits
    const allowed = maxShare * SAFETY_SHARE * (ratio * this._requests.total() + slack / Math.max(1, nodeCount))
    if (this._retries.total() + 1 > allowed) return false
    this._retries.add(1)
    return true
  }

  /** Returns one retry or hedge to the budget, for an attempt that reached no instance. */
  public refund (): void {
    if (this._retries.total() > 0) this._retries.add(-1)
  }
}
