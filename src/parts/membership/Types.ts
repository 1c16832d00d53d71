import type { Incarnation, NodeId, Place, ServiceName } from '../Types.js'

/** State that a node announces for its upstream. */
export type MemberState = 'starting' | 'serving' | 'draining' | 'left'

/** One upstream with its node, as spread through the mesh. Newer (incarnation, sequence) wins. */
export interface Member {
  readonly node: NodeId
  readonly service: ServiceName
  readonly incarnation: Incarnation
  readonly sequence: number
  readonly state: MemberState
  /** Host and port of the node's listener for peers. */
  readonly address: string
  readonly place: Place
  readonly slots: number
  /** Heartbeats heard in this (incarnation, sequence) by whoever sent this. Orders signs of life and silence. */
  readonly beat?: number
  /** True when nothing was heard of the node for a lease after that beat. */
  readonly silent?: boolean
}

/** Sign of life of one node, as control replicas pass it on. */
export interface Heartbeat {
  readonly node: NodeId
  readonly incarnation: Incarnation
  readonly sequence: number
  readonly beat: number
}

/** Hash of what is visible of one service's members that are neither silent nor left. */
export interface ServiceDigest {
  readonly service: ServiceName
  readonly digest: string
}

/** Events of the membership table, in nodes and in control replicas. */
export type MembershipEvent =
  | { readonly type: 'announce', readonly member: Member }
  | { readonly type: 'heartbeat', readonly node: NodeId, readonly incarnation: Incarnation, readonly sequence: number }
  | {
    readonly type: 'merge',
    readonly from: string,
    readonly members: readonly Member[],
    /** Services of which `members` holds all that the sender knows. */
    readonly whole?: readonly ServiceName[]
  }
  /**
   * The peer wants to hear of these services, `*` for all. With `digests` it gets only the services in which it
   * differs; without, all of them.
   */
  | {
    readonly type: 'interest',
    readonly from: string,
    readonly services: readonly ServiceName[],
    readonly digests?: readonly ServiceDigest[]
  }
  /** Signs of life that another control replica heard. */
  | { readonly type: 'beats', readonly from: string, readonly beats: readonly Heartbeat[] }
  /** The peer tells its digests; services in which it differs are sent to it. */
  | { readonly type: 'digest', readonly from: string, readonly digests: readonly ServiceDigest[] }
  | { readonly type: 'lost', readonly from: string }
  | { readonly type: 'tick' }

/** Actions of the membership table. */
export type MembershipAction =
  | { readonly type: 'joined', readonly member: Member }
  | { readonly type: 'changed', readonly member: Member }
  | { readonly type: 'restarted', readonly member: Member, readonly earlier: Incarnation }
  | { readonly type: 'left', readonly member: Member }
  | { readonly type: 'silent', readonly member: Member }
  | {
    readonly type: 'send',
    readonly to: string,
    readonly members: readonly Member[],
    readonly whole?: readonly ServiceName[]
  }
  | { readonly type: 'sendBeats', readonly to: string, readonly beats: readonly Heartbeat[] }
  | { readonly type: 'sendDigest', readonly to: string, readonly digests: readonly ServiceDigest[] }
