import { COLD_RULE } from './Constants.js'
import type { Rule } from './Types.js'

/** Checks how many requests an instance gets while it is cold. Keeps the arrivals of one window for each instance. */
export class ColdLedger {
  private readonly _coldArrivalsMs = new Map<string, number[]>()

  /**
   * @param _nowMs Milliseconds since the start of the soak.
   * @param _onViolation Called for each violation.
   */
  public constructor (
    private readonly _nowMs: () => number, private readonly _onViolation: (rule: Rule, detail: string) => void
  ) {}

  /** Records that a request has reached an instance that does not reject it by status 421; health checks count. */
  public recordArrival (instance: string, isCold: boolean): void {
    if (!isCold) {
      this._coldArrivalsMs.delete(instance)
      return
    }
    const nowMs = this._nowMs()
    const { perS, windowMs, ratio, slack } = COLD_RULE
    const recentMs = (this._coldArrivalsMs.get(instance) ?? []).filter(atMs => atMs > nowMs - windowMs)
    recentMs.push(nowMs)
    this._coldArrivalsMs.set(instance, recentMs)
    const allowed = ratio * perS + slack
    if (recentMs.length <= allowed) return
    this._onViolation('cold-limit', `${instance} got ${recentMs.length} requests in a second while it was cold, ${allowed} are allowed`)
  }
}
