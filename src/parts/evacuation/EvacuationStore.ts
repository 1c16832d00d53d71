import type { EvacuationOrder, EvacuationState } from './Types.js'

const NO_EVACUATION: EvacuationState = { revision: 0, zones: [] }

/**
 * Set of evacuated availability zones: a deterministic state machine to which every control replica applies the
 * committed orders in log order. An order that is already in force changes nothing.
 *
 * Memory: the names of the evacuated zones; the host admits only orders for zones of its settings.
 */
export class EvacuationStore {
  private _state = NO_EVACUATION

  /** The evacuated zones; revision 0 before the first order that changed them. */
  public get state (): EvacuationState {
    return this._state
  }

  /** Applies one committed order and returns whether it changed the state. */
  public apply ({ type, zone }: EvacuationOrder): boolean {
    const { revision, zones } = this._state
    const isEvacuated = zones.includes(zone)
    if (isEvacuated === (type === 'start')) return false
    const next = isEvacuated ? zones.filter(other => other !== zone) : [...zones, zone].sort()
    this._state = { revision: revision + 1, zones: next }
    return true
  }

  /** Returns the replicated state as plain data; undefined before the first order that changed it. */
  public snapshot (): EvacuationState | undefined {
    return this._state.revision === 0 ? undefined : this._state
  }

  /** Replaces the state by that of a snapshot. */
  public restore (snapshot: EvacuationState | undefined): void {
    this._state = snapshot ?? NO_EVACUATION
  }
}
