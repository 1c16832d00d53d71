/** Order of an operator: evacuate an availability zone, or end its evacuation. */
export interface EvacuationOrder {
  readonly type: 'start' | 'end'
  readonly zone: string
}

/** Evacuated availability zones. */
export interface EvacuationState {
  /** Increases with each change of `zones`; 0 before the first. */
  readonly revision: number
  /** In alphabetical order. */
  readonly zones: readonly string[]
}

/** Zones that one choice of an instance leaves out. */
export interface ZoneExclusion {
  /** Zones that take no calls. */
  readonly closedZones: ReadonlySet<string>
  /** Zones that take part of their usual traffic at present; they are chosen only where there is nothing else. */
  readonly avoidedZones: ReadonlySet<string>
}

/** Zones whose state differs after an update. */
export interface ZoneChanges {
  readonly started: readonly string[]
  readonly ended: readonly string[]
}
