import type { InstanceLimit } from './Types.js'

/**
 * Limit on requests that the instance beside a node names in its answers. After a restart, the node knows only what
 * other nodes have heard from the instance before; that counts until the instance itself has answered.
 *
 * Memory: two limits.
 */
export class NamedLimit {
  private _instance: string | undefined
  private _perS: number | undefined
  /** When the limit was named or learned last, in monotonic milliseconds. */
  private _sinceMs = -Infinity
  /** True once the instance itself has shown whether it has a limit. */
  private _isConfirmed = false
  /** Lowest limit that other nodes have told; of the current instance, or of one that is not known here yet. */
  private _hearsay: InstanceLimit | undefined

  /** Requests a second; undefined while no limit of the instance is known. */
  public get perS (): number | undefined {
    return this._perS
  }

  /**
   * Sets the instance beside the node; a limit of the instance before does not hold for it.
   * @param instance Its id; undefined while it is unknown.
   * @param nowMs Monotonic time in milliseconds.
   */
  public setInstance (instance: string | undefined, nowMs: number): void {
    if (instance === this._instance) return
    this._instance = instance
    this._perS = undefined
    this._sinceMs = -Infinity
    this._isConfirmed = false
    this._applyHearsay(nowMs)
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
   * Records a limit that another node has heard.
   * @param limit The limit, with the instance that named it.
   * @param nowMs Monotonic time in milliseconds.
   */
  public recordHearsay (limit: InstanceLimit, nowMs: number): void {
    const isLower = this._hearsay?.instance !== limit.instance || limit.perS < this._hearsay.perS
    if (isLower) this._hearsay = limit
    this._applyHearsay(nowMs)
  }

  private _applyHearsay (nowMs: number): void {
    if (this._isConfirmed || this._hearsay === undefined || this._hearsay.instance !== this._instance) return
    if (this._perS === this._hearsay.perS) return
    this._perS = this._hearsay.perS
    this._sinceMs = nowMs
  }
}
