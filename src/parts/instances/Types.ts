import type { NodeId, ServiceName } from '../Types.js'

/**
 * `ready` takes calls; `draining` and `left` (deregistered) finish what they run and take no new calls. Neither becomes
 * `ready` again without a restart.
 */
export type InstanceState = 'ready' | 'draining' | 'left'

/** One life of an instance. */
export interface InstanceIncarnation {
  readonly id: string
  /** Start of the instance in Unix milliseconds; a later start under the same id is another incarnation. */
  readonly bornMs: number
  /** Present when the instance was found by a health check, which does not tell its start: any start then fits. */
  readonly isBornAssumed?: true
}

/** An instance that has said that it leaves: incarnations of the id that started by `bornMs` get no more calls. */
export interface Departure {
  readonly id: string
  /** Start of the incarnation in Unix milliseconds, or the time of the departure where the start is not known. */
  readonly bornMs: number
}

/** Departures beside one node. */
export interface NodeDepartures {
  readonly node: NodeId
  readonly departures: readonly Departure[]
}

/** Report of an instance about itself. */
export interface InstanceReport extends InstanceIncarnation {
  /** Increases with each report of one incarnation. */
  readonly sequence: number
  readonly service: ServiceName
  /** Where the instance listens, `host:port`. */
  readonly address: string
  readonly slots: number
  readonly state: InstanceState
  /** Remaining time of its slow phase after the start, in milliseconds. */
  readonly coldMs: number
}

/** Limit on requests that an instance names in its answers. */
export interface InstanceLimit {
  /** Id of the instance. */
  readonly instance: string
  /** Requests a second from all nodes together. */
  readonly perS: number
}

/** Part of an instance's report that its node publishes to other nodes. */
export interface PublishedInstance extends InstanceIncarnation {
  readonly service: ServiceName
  readonly slots: number
  readonly state: InstanceState
}

/** A node and its instance, as published to control replicas and other nodes. */
export interface NodeEntry {
  /** Address at which the node accepts calls from other nodes, `host:port`; it also identifies the node. */
  readonly node: NodeId
  readonly zone: string
  /** Increases with each start of the node's process. */
  readonly epoch: number
  /** Increases with each publication within one epoch. */
  readonly revision: number
  /** `stopping` nodes finish their calls and take no new ones; `gone` nodes are removed after a retention time. */
  readonly state: 'up' | 'stopping' | 'gone'
  readonly instance?: PublishedInstance
}
