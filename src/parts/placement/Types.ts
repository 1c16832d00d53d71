import type { ZoneExclusion } from '../evacuation/Types.js'
import type { GateLoad } from '../gate/Types.js'
import type { NodeId } from '../Types.js'

/** An instance that may be chosen, identified by the node beside it. */
export interface PlacementCandidate {
  readonly node: NodeId
  /** Distinguishes the lives of the instance: what is known of one says nothing about the next. */
  readonly incarnation: string
  /** Assumed round-trip time to its node, in milliseconds. */
  readonly roundTripMs: number
  readonly slots: number
  /** True when a call to it crosses availability zones. */
  readonly crossesZones: boolean
  /** Its availability zone; one without can't be excluded by its zone. */
  readonly zone?: string
}

/** Requirements of a call on the instance to choose. */
export interface PlacementQuery {
  /** Nodes that the call was sent to already. */
  readonly excluded: readonly NodeId[]
  /** True when the call may be a trial of an ejected instance, because it can be retried if that fails. */
  readonly allowsTrial: boolean
  /** Expected size of the call and its answer together, in bytes. */
  readonly bytes: number
  /** Time to move the body to an instance on another VM, in milliseconds; absent when that is not counted. */
  readonly transferMs?: number
  /** Largest expected time until the answer, network cost included, in milliseconds; slower instances are skipped. */
  readonly maxCostMs?: number
  /** Zones that the choice leaves out; absent when it may select all of them. */
  readonly exclusion?: ZoneExclusion
}

/** Load of an instance as its node reports it. */
export type { GateLoad }

/** Outcome of an attempt as far as it matters for later choices. */
export type PlacementOutcome = 'answered' | 'failed' | 'unreachable' | 'declined' | 'cancelled'
