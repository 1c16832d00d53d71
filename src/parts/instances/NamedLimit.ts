/**
 * Limit on requests that the instance beside a node names in its answers. After a restart, the node knows only what
 * other nodes have heard from the instance before; that counts until the instance itself has answered.
 *
 * Memory: a few numbers.
 */
export class NamedLimit {
  private _perS: number | undefined
  /** When the limit was named or learned last, in monotonic milliseconds. */
  private _sinceMs = -Infinity
  /** True once the instance itself has shown whether it has a limit. */
  private _isConfirmed = false

  /** Requests a second; undefined while no limit is known. */
  public get perS (): number | undefined {
    return this._perS
  }

  /**
   * Records what an answer of the instance says.
   * @param perS Limit in the answer; undefined when it names none.
   * @param sentAtMs When the request was sent. An answer to a request from before the limit was named does not lift it.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordAnswer (perS: number | undefined, sentAtMs: number, nowMs: number): void {
    if (perS === undefined && sentAtMs <= this._sinceMs) return
    if (perS !== undefined) this._sinceMs = nowMs
    this._perS = perS
    this._isConfirmed = true
  }

  /**
   * Records a limit that another node has heard from the instance.
   * @param perS Requests a second.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordHearsay (perS: number, nowMs: number): void {
    if (this._isConfirmed || (this._perS !== undefined && this._perS <= perS)) return
    this._perS = perS
    this._sinceMs = nowMs
  }
}
