import type { NodeId, ServiceName } from '../Types.js'

/** `left` instances finish what they run and take nothing new. */
export type InstanceState = 'ready' | 'draining' | 'left'

/** What an upstream instance says of itself. */
export interface InstanceReport {
  readonly id: string
  /** Start of the instance in Unix milliseconds; a later start under the same id is another incarnation. */
  readonly bornMs: number
  /** Grows with each report of one incarnation. */
  readonly sequence: number
  readonly service: ServiceName
  /** Where the instance listens, `host:port`. */
  readonly address: string
  readonly slots: number
  readonly state: InstanceState
  /** How much longer it is slow after its start, in milliseconds. */
  readonly coldMs: number
}

/** What a node publishes of the instance beside it. */
export interface PublishedInstance {
  readonly id: string
  readonly bornMs: number
  readonly service: ServiceName
  readonly slots: number
  readonly state: InstanceState
}

/** A node and its instance, as control and other nodes know it. */
export interface NodeEntry {
  /** Where the node takes calls of other nodes, `host:port`; it also names the node. */
  readonly node: NodeId
  readonly zone: string
  /** Grows with each start of the node's process. */
  readonly epoch: number
  /** Grows with each publication of one epoch. */
  readonly revision: number
  /** `stopping` nodes finish what they hold and take nothing new; `gone` ones are forgotten after a while. */
  readonly state: 'up' | 'stopping' | 'gone'
  readonly instance?: PublishedInstance
}
