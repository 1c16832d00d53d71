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
}

/** Events of the membership table, in nodes and in control replicas. */
export type MembershipEvent =
  | { readonly type: 'announce', readonly member: Member }
  | { readonly type: 'heartbeat', readonly node: NodeId, readonly incarnation: Incarnation, readonly sequence: number }
  | { readonly type: 'merge', readonly from: string, readonly members: readonly Member[] }
  | { readonly type: 'interest', readonly from: string, readonly services: readonly ServiceName[] }
  | { readonly type: 'lost', readonly from: string }
  | { readonly type: 'tick' }

/** Actions of the membership table. */
export type MembershipAction =
  | { readonly type: 'joined', readonly member: Member }
  | { readonly type: 'changed', readonly member: Member }
  | { readonly type: 'restarted', readonly member: Member, readonly earlier: Incarnation }
  | { readonly type: 'left', readonly member: Member }
  | { readonly type: 'silent', readonly member: Member }
  | { readonly type: 'send', readonly to: string, readonly members: readonly Member[] }
