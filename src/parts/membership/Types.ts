import type { Incarnation, NodeId, ProcessLocation, ServiceName } from '../Types.js'

/** State that a node announces for its upstream. */
export type MemberState = 'starting' | 'serving' | 'draining' | 'left'

/**
 * One upstream with its node, as nodes and control replicas exchange it. Of two versions of a member, the one with the
 * higher (incarnation, sequence) is newer.
 */
export interface Member {
  readonly node: NodeId
  readonly service: ServiceName
  readonly incarnation: Incarnation
  /** Number of the announcement within the incarnation. */
  readonly sequence: number
  readonly state: MemberState
  /** Host and port of the node's listener for peers. */
  readonly address: string
  readonly place: ProcessLocation
  readonly slots: number
  /**
   * Number of the latest heartbeat that the sender knows within (incarnation, sequence). It orders heartbeats and
   * lease expiries.
   */
  readonly beat?: number
  /** True when the node's lease expired after that heartbeat. */
  readonly silent?: boolean
}

/** Latest heartbeat of one node, as control replicas relay it to each other. */
export interface Heartbeat {
  readonly node: NodeId
  readonly incarnation: Incarnation
  readonly sequence: number
  /** Number of the heartbeat within (incarnation, sequence). */
  readonly beat: number
}

/** Hash of the visible fields of one service's members, without members that are silent or have left. */
export interface ServiceDigest {
  readonly service: ServiceName
  /** 64 bits in hexadecimal. */
  readonly digest: string
}

/** Events of the membership table, in nodes and in control replicas. */
export type MembershipEvent =
  /** The node itself announces its upstream. */
  | { readonly type: 'announce', readonly member: Member }
  /** The node sent a heartbeat for this announcement. */
  | { readonly type: 'heartbeat', readonly node: NodeId, readonly incarnation: Incarnation, readonly sequence: number }
  /** A peer sent members. */
  | {
    readonly type: 'merge',
    readonly from: string,
    readonly members: readonly Member[],
    /** Services for which `members` holds every member that the sender knows. */
    readonly whole?: readonly ServiceName[]
  }
  /**
   * The peer subscribes to these services, `*` for all. A control replica sends a subscriber to single services that
   * passes `digests` only the services whose digest differs, and any other subscriber all services of its
   * subscription. A node sends only its own announcement.
   */
  | {
    readonly type: 'interest',
    readonly from: string,
    readonly services: readonly ServiceName[],
    readonly digests?: readonly ServiceDigest[]
  }
  /** Another control replica relayed heartbeats. */
  | { readonly type: 'beats', readonly from: string, readonly beats: readonly Heartbeat[] }
  /** The peer sent its digests; it is sent the services whose digest differs. */
  | { readonly type: 'digest', readonly from: string, readonly digests: readonly ServiceDigest[] }
  /** The connection to the peer was lost. */
  | { readonly type: 'lost', readonly from: string }
  | { readonly type: 'tick' }

/** Actions of the membership table: changes of members for the host, and messages to peers. */
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

/**
 * Where the table runs: a `node` sends only its own member; a control `replica` sends all members and expires leases.
 */
export type TableRole = 'node' | 'replica'
