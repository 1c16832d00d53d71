import { SlidingWindow } from './SlidingWindow.js'

/** Steps of the window; the sum covers one step more than the window, which errs on the safe side. */
const WINDOW_STEPS = 20

/** Bounds on repeated sends of one service, summed over all nodes. */
export interface RetryLimits {
  /** Repeats allowed as a share of requests. */
  readonly ratio: number
  /** Repeats allowed beside that share, over all nodes together. */
  readonly slack: number
  /** Length of the sliding window in milliseconds. */
  readonly windowMs: number
}

/** Part of the shared bound that this node uses: the bound holds while each node knows seven in ten of the others. */
const SAFETY_SHARE = 0.7

/**
 * A node's part of the budget for sending requests of one service again. The share of requests is this node's own;
 * the slack is divided by the number of nodes.
 *
 * Memory: two windows.
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
   * Counts a request of a caller.
   * @param nowMs Monotonic time in milliseconds.
   */
  public countRequest (nowMs: number): void {
    this._requests.advance(nowMs)
    this._requests.add(1)
  }

  /**
   * Takes one repeat from the budget.
   * @param nodeCount Nodes that share the slack.
   * @param nowMs Monotonic time in milliseconds.
   * @param maxShare Part of the budget that repeats of this purpose may fill.
   * @returns False when the request must not be sent again.
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

  /** Gives a repeat back that reached no instance. */
  public refund (): void {
    if (this._retries.total() > 0) this._retries.add(-1)
  }
}
