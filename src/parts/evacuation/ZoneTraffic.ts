import type { Random } from '../Types.js'
import { GATE_CLOSE_DELAY_MS, TRAFFIC_SHIFT_MS } from './Constants.js'
import type { EvacuationState, ZoneChanges, ZoneExclusion } from './Types.js'

/** Traffic of a zone since its state has changed last. */
interface ZoneShift {
  readonly isEvacuated: boolean
  /** When the change took effect, in monotonic milliseconds. */
  readonly sinceMs: number
  /** Share of choices that could select the zone at that time. */
  readonly initialShare: number
}

/**
 * Evacuated availability zones as one node applies them. The share of choices that may select a zone falls linearly to
 * 0 within `TRAFFIC_SHIFT_MS` after the node has learned of the evacuation, so that the other zones don't get all of
 * its load at once, and rises again in the same way at the end. The gate of an instance in the zone closes
 * `GATE_CLOSE_DELAY_MS` after its node has learned of the evacuation, and opens at its end.
 *
 * Memory: one entry for each zone that is evacuated, or was until `TRAFFIC_SHIFT_MS` before the last choice.
 */
export class ZoneTraffic {
  private _state: EvacuationState = { revision: 0, zones: [] }
  private readonly _shifts = new Map<string, ZoneShift>()

  /** The newest state that was applied; revision 0 before the first. */
  public get state (): EvacuationState {
    return this._state
  }

  /**
   * Applies the state that a control replica has sent; an older one than the newest is ignored.
   * @param ageMs How long the state has been in force, at least; shifts of traffic that should have ended by then are
   * skipped, also when the state itself is known: the clock of a suspended node stands still.
   * @returns What has changed; undefined when the state is not newer.
   */
  public apply (state: EvacuationState, nowMs: number, ageMs = 0): ZoneChanges | undefined {
    if (state.revision < this._state.revision) return undefined
    this._advance(state.zones, nowMs - ageMs)
    if (state.revision === this._state.revision) return undefined
    const before = this._state.zones
    const started = state.zones.filter(zone => !before.includes(zone))
    const ended = before.filter(zone => !state.zones.includes(zone))
    for (const zone of started) this._startShift(zone, true, nowMs, nowMs - ageMs)
    // Instances may be cold after the evacuation, however long ago it ended.
    for (const zone of ended) this._startShift(zone, false, nowMs, nowMs)
    this._state = state
    return { started, ended }
  }

  /** Returns the share of choices that may select a zone now, 0 to 1. */
  public share (zone: string, nowMs: number): number {
    const shift = this._shifts.get(zone)
    if (shift === undefined) return 1
    const moved = (nowMs - shift.sinceMs) / TRAFFIC_SHIFT_MS
    return shift.isEvacuated ? Math.max(0, shift.initialShare - moved) : Math.min(1, shift.initialShare + moved)
  }

  /** Draws whether one choice may select a zone. */
  public admits (zone: string, random: Random, nowMs: number): boolean {
    const share = this.share(zone, nowMs)
    return share === 1 || (share > 0 && random.next() < share)
  }

  /** Returns whether the gates of instances in a zone admit nothing now. */
  public isClosed (zone: string, nowMs: number): boolean {
    return nowMs >= this.closesAtMs(zone)
  }

  /** Returns when the gates of a zone close, in monotonic milliseconds; infinite while it is not evacuated. */
  public closesAtMs (zone: string): number {
    const shift = this._shifts.get(zone)
    return shift?.isEvacuated === true ? shift.sinceMs + GATE_CLOSE_DELAY_MS : Infinity
  }

  /** Draws the zones that one choice leaves out; undefined when it may select all of them. */
  public drawExclusion (random: Random, nowMs: number): ZoneExclusion | undefined {
    if (this._shifts.size === 0) return undefined
    const closedZones = new Set<string>()
    const avoidedZones = new Set<string>()
    for (const [zone, { isEvacuated }] of this._shifts) {
      const share = this.share(zone, nowMs)
      if (share === 0 && isEvacuated) closedZones.add(zone)
      else if (share === 1 && !isEvacuated) this._shifts.delete(zone)
      else if (!this.admits(zone, random, nowMs)) avoidedZones.add(zone)
    }
    return { closedZones, avoidedZones }
  }

  /** Moves zones on that have been evacuated since a time or longer. */
  private _advance (zones: readonly string[], sinceMs: number): void {
    for (const zone of zones) {
      const shift = this._shifts.get(zone)
      if (shift?.isEvacuated === true && shift.sinceMs > sinceMs) this._shifts.set(zone, { ...shift, sinceMs })
    }
  }

  private _startShift (zone: string, isEvacuated: boolean, nowMs: number, sinceMs: number): void {
    this._shifts.set(zone, { isEvacuated, sinceMs, initialShare: this.share(zone, nowMs) })
  }
}
