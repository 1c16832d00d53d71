import type { AgreementMessage } from '../parts/agreement/Types.js'
import type { ConfigurationDifference, Version, VersionedConfiguration } from '../parts/configuration/Types.js'
import type { Member } from '../parts/membership/Types.js'
import type { RecordCommand, RecordReply } from '../parts/records/Types.js'
import type { Incarnation, NodeId, Place, ReplicaId, ServiceName } from '../parts/Types.js'

/** First frame on each connection to a control replica. */
export type ControlHello =
  | { readonly type: 'nodeHello', readonly node: NodeId, readonly incarnation: Incarnation, readonly place: Place, readonly version: Version }
  | { readonly type: 'replicaHello', readonly replica: ReplicaId, readonly incarnation: Incarnation }

/** Frames from a node to a control replica. */
export type NodeToControl =
  | ControlHello
  /** Sent every heartbeat; `version` is what the node has in force. */
  | { readonly type: 'heartbeat', readonly version: Version, readonly term: number }
  | { readonly type: 'record', readonly id: number, readonly command: RecordCommand }
  | { readonly type: 'membership', readonly members: readonly Member[] }
  | { readonly type: 'interest', readonly services: readonly ServiceName[] }
  /** Asks for a whole copy after a difference did not fit. */
  | { readonly type: 'askCopy' }

/** Frames from a control replica to a node. */
export type ControlToNode =
  /** `id` repeats the request's; `notLeader` names where to go, if known, as `host:port`. */
  | { readonly type: 'recordReply', readonly id: number, readonly reply: RecordReply }
  | { readonly type: 'notLeader', readonly id: number, readonly leader?: string }
  | { readonly type: 'copy', readonly confirmed: boolean, readonly copy: VersionedConfiguration }
  | { readonly type: 'difference', readonly confirmed: boolean, readonly difference: ConfigurationDifference }
  /** Answer to a heartbeat, when a quorum stands behind it. */
  | { readonly type: 'confirm', readonly version: Version, readonly term: number }
  | { readonly type: 'membership', readonly members: readonly Member[] }

/** Frames between control replicas. */
export type ReplicaToReplica =
  | ControlHello
  | { readonly type: 'agreement', readonly message: AgreementMessage }
  /** Soft state that is not agreed on: members heard of, and versions that nodes have in force. */
  | { readonly type: 'gossip', readonly members: readonly Member[] }
