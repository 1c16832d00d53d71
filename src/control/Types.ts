import type { FormationNotice } from '../parts/agreement/GroupFormation.js'
import type { AgreementMessage } from '../parts/agreement/Types.js'
import type { ConfigurationDelta, NodeVersion, Version, VersionedConfiguration } from '../parts/configuration/Types.js'
import type { NodeEntry } from '../parts/instances/Types.js'
import type { Heartbeat, Member, ServiceDigest } from '../parts/membership/Types.js'
import type { FeedToNode, NodeToFeed } from '../routecontrol/Types.js'
import type { RecordCommand, RecordReply } from '../parts/records/Types.js'
import type { Incarnation, NodeId, Place, ReplicaId, ServiceName } from '../parts/Types.js'

/** First frame on each connection to a control replica. */
export type ControlHello =
  | { readonly type: 'nodeHello', readonly node: NodeId, readonly incarnation: Incarnation, readonly place: Place, readonly version: Version }
  /** `address` and `admin` are the replica's listeners as `host:port`. */
  | {
    readonly type: 'replicaHello',
    readonly replica: ReplicaId,
    readonly incarnation: Incarnation,
    readonly address: string,
    readonly admin: string
  }

/** Frames of the membership table, between nodes and replicas and between replicas. */
export type MembershipFrame =
  | { readonly type: 'membership', readonly members: readonly Member[], readonly whole?: readonly ServiceName[] }
  | { readonly type: 'interest', readonly services: readonly ServiceName[], readonly digests?: readonly ServiceDigest[] }
  | { readonly type: 'beats', readonly beats: readonly Heartbeat[] }
  | { readonly type: 'digest', readonly digests: readonly ServiceDigest[] }
  /** A node's sign of life for its own member. */
  | { readonly type: 'alive', readonly incarnation: Incarnation, readonly sequence: number }

/** Frames from a node to a control replica. */
export type NodeToControl =
  | ControlHello
  /** Sent every heartbeat; `version` is what the node has in force. The answer repeats `askedAtMs`. */
  | { readonly type: 'heartbeat', readonly version: Version, readonly term: number, readonly askedAtMs?: number }
  | { readonly type: 'record', readonly id: number, readonly command: RecordCommand }
  | MembershipFrame
  /** Asks for a whole copy after a difference did not fit. */
  | { readonly type: 'askCopy' }

/** Frames from a control replica to a node. */
export type ControlToNode =
  /** `id` repeats the request's; `notLeader` names where to go, if known, as `host:port`. */
  | { readonly type: 'recordReply', readonly id: number, readonly reply: RecordReply }
  | { readonly type: 'notLeader', readonly id: number, readonly leader?: string }
  | {
    readonly type: 'copy',
    readonly confirmed: boolean,
    readonly copy: VersionedConfiguration,
    readonly askedAtMs?: number
  }
  | {
    readonly type: 'difference',
    readonly confirmed: boolean,
    readonly difference: ConfigurationDelta,
    readonly askedAtMs?: number
  }
  /** Answer to a heartbeat, when a quorum stands behind it. */
  | { readonly type: 'confirm', readonly version: Version, readonly term: number, readonly askedAtMs?: number }
  | MembershipFrame

/** Frames between control replicas. */
export type ReplicaToReplica =
  | ControlHello
  /** A receiver with another id drops it: its disk is not the one that the message is for. */
  | { readonly type: 'agreement', readonly to: ReplicaId, readonly message: AgreementMessage }
  | { readonly type: 'formation', readonly notice: FormationNotice }
  /** A follower asks its leader for an index that a quorum confirms. */
  | { readonly type: 'readIndex', readonly id: number }
  | { readonly type: 'readIndexReply', readonly id: number, readonly index?: number }
  | MembershipFrame
  /** Versions that the nodes attached to the sender have in force; not agreed on. */
  | { readonly type: 'inForce', readonly inForce: readonly NodeVersion[] }
  /** Sent back on an accepted connection, so that the other end knows that it is not silent. */
  | { readonly type: 'heard' }
  /** Asks the leader to take the sender into the group. */
  | { readonly type: 'join', readonly replica: ReplicaId }
  /** News of nodes, from the replica that heard it first; `whole` repeats all that the sender knows. */
  | { readonly type: 'nodeEntries', readonly entries: readonly NodeEntry[], readonly whole: boolean }

/** All frames that a control replica's listener takes. */
export type ToControl = NodeToControl | ReplicaToReplica | NodeToFeed

/** All frames that it sends on accepted connections. */
export type FromControl = ControlToNode | ReplicaToReplica | FeedToNode
