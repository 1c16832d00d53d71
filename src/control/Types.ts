import type { FormationNotice } from '../parts/agreement/GroupFormation.js'
import type { AgreementMessage } from '../parts/agreement/Types.js'
import type { ConfigurationDelta, NodeVersion, Version, VersionedConfiguration } from '../parts/configuration/Types.js'
import type { NodeEntry } from '../parts/instances/Types.js'
import type { Heartbeat, Member, ServiceDigest } from '../parts/membership/Types.js'
import type {
  CrashReportsFrame, DepartureForwardFrame, FeedToNode, FromOperatorServer, LeaveState, NodeToFeed, QuotaReplicaFrame,
  ToOperatorServer
} from '../routecontrol/Types.js'
import type { RecordCommand, RecordReply } from '../parts/records/Types.js'
import type { Incarnation, NodeId, ProcessLocation, ReplicaId, ServiceName } from '../parts/Types.js'

/** First frame on each connection to a control replica. */
export type ControlHello =
  | { readonly type: 'nodeHello', readonly node: NodeId, readonly incarnation: Incarnation, readonly place: ProcessLocation, readonly version: Version }
  /** `address` and `admin` are the replica's listeners, `host:port`. */
  | {
    readonly type: 'replicaHello',
    readonly replica: ReplicaId,
    readonly incarnation: Incarnation,
    readonly address: string,
    readonly admin: string
  }

/** Frames that nodes and replicas, and replicas among each other, exchange about members. */
export type MembershipFrame =
  /** Members; for the services in `whole` the list is complete. */
  | { readonly type: 'membership', readonly members: readonly Member[], readonly whole?: readonly ServiceName[] }
  /** Asks for the members of these services; `digests` show what the sender has already. */
  | { readonly type: 'interest', readonly services: readonly ServiceName[], readonly digests?: readonly ServiceDigest[] }
  /** Heartbeats passed on between replicas. */
  | { readonly type: 'beats', readonly beats: readonly Heartbeat[] }
  /** Digests of the members of services, to find differences. */
  | { readonly type: 'digest', readonly digests: readonly ServiceDigest[] }
  /** Heartbeat of a node for its own member. */
  | { readonly type: 'alive', readonly incarnation: Incarnation, readonly sequence: number }

/** Frames from a node to a control replica. */
export type NodeToControl =
  | ControlHello
  /** `version` is the version in force at the node. The answer returns `askedAtMs` unchanged. */
  | { readonly type: 'heartbeat', readonly version: Version, readonly term: number, readonly askedAtMs?: number }
  /** Command on the record of an at-most-once request; `id` is returned in the reply. */
  | { readonly type: 'record', readonly id: number, readonly command: RecordCommand }
  | MembershipFrame
  /** Asks for a full copy after a difference that doesn't apply to the node's version. */
  | { readonly type: 'askCopy' }

/** Frames from a control replica to a node. */
export type ControlToNode =
  /** `id` is that of the command. */
  | { readonly type: 'recordReply', readonly id: number, readonly reply: RecordReply }
  /** The command was not or may not have been applied; `leader` is the leader's address, `host:port`, if known. */
  | { readonly type: 'notLeader', readonly id: number, readonly leader?: string }
  /** Full copy of the configuration in force; `confirmed` when a quorum has confirmed that it is the newest. */
  | {
    readonly type: 'copy',
    readonly confirmed: boolean,
    readonly copy: VersionedConfiguration,
    readonly askedAtMs?: number
  }
  /** Difference from the version that the node has to the one in force; `confirmed` as above. */
  | {
    readonly type: 'difference',
    readonly confirmed: boolean,
    readonly difference: ConfigurationDelta,
    readonly askedAtMs?: number
  }
  /** Answer to a heartbeat: a quorum has confirmed that the node's version is the newest. */
  | { readonly type: 'confirm', readonly version: Version, readonly term: number, readonly askedAtMs?: number }
  | MembershipFrame

/** Frames between control replicas. */
export type ReplicaToReplica =
  | ControlHello
  /** Consensus message. A receiver with another id drops it, since it was meant for the disk that had the id `to`. */
  | { readonly type: 'agreement', readonly to: ReplicaId, readonly message: AgreementMessage }
  /** Notice for the formation of the first group. */
  | { readonly type: 'formation', readonly notice: FormationNotice }
  /** A follower asks the leader for a committed index that a quorum confirms. */
  | { readonly type: 'readIndex', readonly id: number }
  /** `index` is left out when it could not be confirmed. */
  | { readonly type: 'readIndexReply', readonly id: number, readonly index?: number }
  | MembershipFrame
  /** Versions in force at the nodes whose home is the sender; not replicated through the log. */
  | { readonly type: 'inForce', readonly inForce: readonly NodeVersion[] }
  /** Acknowledges on an accepted connection that frames are received. */
  | { readonly type: 'heard' }
  /** Route control only: asks the leader to add the sender to the group. */
  | { readonly type: 'join', readonly replica: ReplicaId }
  /** Route control only: the sender is about to stop and asks to be replaced, or withdraws its request to join. */
  | { readonly type: 'leave' }
  /** Route control only: the leader's reply. */
  | { readonly type: 'leaveReply', readonly state: LeaveState }
  /**
   * Route control only: entries of nodes, from the replica that received them first; `whole` when these are all that
   * the sender has.
   */
  | { readonly type: 'nodeEntries', readonly entries: readonly NodeEntry[], readonly whole: boolean }
  /** Route control only. */
  | CrashReportsFrame
  /** Route control only. */
  | DepartureForwardFrame
  /** Route control only. */
  | QuotaReplicaFrame

/** Frames that a control replica receives on accepted connections. */
export type ToControl = NodeToControl | ReplicaToReplica | NodeToFeed | ToOperatorServer

/** Frames that a control replica sends on accepted connections. */
export type FromControl = ControlToNode | ReplicaToReplica | FeedToNode | FromOperatorServer

/** Handlers of the frames of other replicas, by type. */
export type ReplicaFrameHandlers = {
  readonly [Type in ReplicaToReplica['type']]?:
  (from: ReplicaId, frame: Extract<ReplicaToReplica, { type: Type }>) => void
}
