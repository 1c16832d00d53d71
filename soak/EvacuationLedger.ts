import { EMPTY_AFTER_MS } from './Constants.js'
import type { Rule } from './Types.js'

/**
 * Checks that the instances of an evacuated zone get no requests, from some time after the acknowledgement of the order
 * until its end is ordered.
 */
export class EvacuationLedger {
  private readonly _zones = new Map<string, string>()
  /** Evacuated zones, with the time from which they must be empty. */
  private readonly _emptyFromMs = new Map<string, number>()

  /**
   * @param _nowMs Milliseconds since the start of the soak.
   * @param _onViolation Called for each violation.
   */
  public constructor (
    private readonly _nowMs: () => number, private readonly _onViolation: (rule: Rule, detail: string) => void
  ) {}

  /** Records the availability zone of an instance. */
  public recordInstance (instance: string, zone: string): void {
    this._zones.set(instance, zone)
  }

  /** Records that an order to evacuate a zone was acknowledged. */
  public recordStart (zone: string): void {
    this._emptyFromMs.set(zone, this._nowMs() + EMPTY_AFTER_MS)
  }

  /** Records that the end of an evacuation is about to be ordered. */
  public recordEnd (zone: string): void {
    this._emptyFromMs.delete(zone)
  }

  /**
   * Records that the control replicas have no quorum, so that nodes may not hear of an order that was acknowledged just
   * before. Zones that must be empty already are not excused: their nodes know of the evacuation.
   * @param ms Time within which a quorum is back and nodes are connected again.
   */
  public recordQuorumLoss (ms: number): void {
    const nowMs = this._nowMs()
    for (const [zone, emptyFromMs] of this._emptyFromMs) {
      if (emptyFromMs > nowMs) this._emptyFromMs.set(zone, Math.max(emptyFromMs, nowMs + ms + EMPTY_AFTER_MS))
    }
  }

  /** Records that a request has reached an instance. */
  public recordArrival (instance: string, id: string): void {
    const zone = this._zones.get(instance)
    const emptyFromMs = zone === undefined ? undefined : this._emptyFromMs.get(zone)
    if (emptyFromMs === undefined || this._nowMs() < emptyFromMs) return
    const lateMs = Math.round(this._nowMs() - emptyFromMs)
    this._onViolation('evacuated-zone-empty', `${id} reached ${instance} ${lateMs} ms after ${zone} had to be empty`)
  }
}
