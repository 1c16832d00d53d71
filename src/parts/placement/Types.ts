import type { GateLoad } from '../gate/Types.js'
import type { NodeId } from '../Types.js'

/** An instance that may be chosen, by the node beside it. */
export interface PlacementCandidate {
  readonly node: NodeId
  /** Round trip to its node in milliseconds, before any is measured. */
  readonly roundTripMs: number
  readonly slots: number
  /** True when a call and its answer pass between availability zones. */
  readonly crossesZones: boolean
}

/** What a call asks for. */
export interface PlacementQuery {
  /** Nodes that were asked already. */
  readonly excluded: readonly NodeId[]
  /** True when the call may run again, so that it may try an instance that fails. */
  readonly allowsTrial: boolean
  /** Bytes that the call and its answer are expected to have together. */
  readonly bytes: number
  /** Instances whose answer would take longer are left out, in milliseconds with the cost of the way. */
  readonly maxCostMs?: number
}

/** Load of an instance as its node told it. */
export type { GateLoad }

/** How an attempt ended, as far as the choice of the next one cares. */
export type PlacementOutcome = 'answered' | 'failed' | 'unreachable' | 'declined' | 'cancelled'
