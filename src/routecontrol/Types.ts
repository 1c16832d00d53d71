import type { EvacuationState } from '../parts/evacuation/Types.js'
import type { Departure, NodeDepartures, NodeEntry } from '../parts/instances/Types.js'
import type { CrashReport } from '../parts/quarantine/Types.js'
import type { QuotaAnswer, QuotaMessage } from '../parts/quota/Types.js'
import type { RoutingDelta, VersionedRouting } from '../parts/routing/Types.js'
import type { NodeId } from '../parts/Types.js'
import type { CompressedFrame } from '../runtime/FrameCompression.js'

/** Reports of requests that may have crashed instances; a receiver ignores those that it has received before. */
export interface CrashReportsFrame {
  readonly type: 'crashReports'
  readonly reports: readonly CrashReport[]
}

/** Frame between replicas: departures beside a node that is connected to the sender, for the leader; may be lost. */
export interface DepartureForwardFrame extends NodeDepartures {
  readonly type: 'departureForward'
}

/** A message of a node on its way to the leader. */
export interface ForwardedQuotaMessage {
  readonly node: NodeId
  readonly message: QuotaMessage
}

/** An answer of the leader on its way to a node. */
export interface ReturnedQuotaAnswer {
  readonly node: NodeId
  readonly answer: QuotaAnswer
}

/** Frames between replicas about quotas; those that are lost are not sent again. */
export type QuotaReplicaFrame =
  /** Messages of nodes that are connected to the sender, for the leader. */
  | { readonly type: 'quotaForward', readonly messages: readonly ForwardedQuotaMessage[] }
  /** Answers of the leader for nodes that are connected to the receiver. */
  | { readonly type: 'quotaReturn', readonly answers: readonly ReturnedQuotaAnswer[] }
  /** Call of the leader for reports, for all nodes that are connected to the receiver. */
  | { readonly type: 'quotaCollect', readonly answer: QuotaAnswer }

/**
 * Reply of the leader to a replica that is about to stop. `pending`: it is being replaced; `left`: it is no voter any
 * more; `alone`: there is no replacement, so it stays a voter, and a restart with its disk changes nothing.
 */
export type LeaveState = 'pending' | 'left' | 'alone'

/** Frames from a node to the control replica that it receives updates from. */
export type NodeToFeed =
  /**
   * First frame of a connection; `version` is the routing version in force at the node, 0 for none. `reports` are those
   * of suspect requests, absent when there are none. `compress` is present when the node has a slow link, so that large
   * frames should be compressed; `confirms` when the node sends `routingInForce`.
   */
  | {
    readonly type: 'feedHello',
    readonly entry: NodeEntry,
    readonly version: number,
    readonly compress?: true,
    readonly confirms?: true,
    readonly reports?: readonly CrashReport[]
  }
  | CrashReportsFrame
  | { readonly type: 'quotaAsk', readonly message: QuotaMessage }
  /** A changed entry of the node. */
  | { readonly type: 'publish', readonly entry: NodeEntry }
  /** Departures of instances on the VM; sent again until they are in `departuresStored`. */
  | { readonly type: 'departures', readonly departures: readonly Departure[] }
  /** Checks that the replica is reachable and has a leader. */
  | { readonly type: 'feedPing' }
  /** Confirms a received configuration: at least this version is in force at the node. */
  | { readonly type: 'routingInForce', readonly version: number }
  /** Asks for a full copy after differences that don't apply to the node's version. */
  | { readonly type: 'askRouting' }

/** Frames from a control replica to a node. */
export type FeedToNode =
  | CompressedFrame
  /**
   * Sent once a quorum has confirmed that the replica is up to date. `own` is the entry that the replica already has
   * of the node, from an earlier run or connection; `controls` are the addresses of the control replicas, `host:port`;
   * `reports` are those of suspect requests, absent when there are none. `evacuation` is absent before the first order,
   * and `evacuationAgeMs`, the time since the replica applied its last change, where that was in an earlier run.
   * `departures` are those that the group has stored for the node; absent from a replica that stores none.
   */
  | {
    readonly type: 'welcome',
    readonly entries: readonly NodeEntry[],
    readonly controls: readonly string[],
    readonly own?: NodeEntry,
    readonly departures?: readonly Departure[],
    readonly reports?: readonly CrashReport[],
    readonly evacuation?: EvacuationState,
    readonly evacuationAgeMs?: number
  }
  | CrashReportsFrame
  /** Evacuated zones after a change. */
  | { readonly type: 'evacuation', readonly evacuation: EvacuationState }
  | { readonly type: 'quotaAnswer', readonly answer: QuotaAnswer }
  /** All departures that the group has stored for the node, after one was added or sent again. */
  | { readonly type: 'departuresStored', readonly departures: readonly Departure[] }
  /** A full copy of the configuration in force. */
  | { readonly type: 'routing', readonly routing: VersionedRouting }
  /** Changes from the version that the node has to the one in force, oldest first. */
  | { readonly type: 'routingDifferences', readonly differences: readonly RoutingDelta[] }
  /** Changed entries of nodes. */
  | { readonly type: 'entries', readonly entries: readonly NodeEntry[] }
  /**
   * Addresses of the control replicas after the members have changed, `host:port`; also sent before a refusal by
   * `feedPong`, as the replica knows them.
   */
  | { readonly type: 'controls', readonly controls: readonly string[] }
  /**
   * Answer to a ping, or to a hello that no quorum confirmed. A replica that has no leader or is no member isn't `fit`:
   * the node connects to another.
   */
  | { readonly type: 'feedPong', readonly fit: boolean }

/** A call of an operator as it was received; its content is only read by the replica that decides it. */
export interface OperatorCall {
  /** Name of the operation, as the platform's interface names it. */
  readonly operation: string
  /** Parameter of the path; empty when the operation has none. */
  readonly parameter: string
  readonly body: string
}

/** What a replica made of an operator's call. */
export type OperatorReply =
  /** Response for the operator: status and body. */
  | { readonly type: 'final', readonly status: number, readonly body: string }
  /**
   * The replica does not decide calls; `leader` is the leader's address, `host:port`, if it knows one. `isLeaderless`
   * when it has known none for longer than elections take.
   */
  | { readonly type: 'notLeader', readonly leader?: string, readonly isLeaderless?: true }
  | UndecidedReply

/** A call that is not decided; with `unknown` it may still be. `reason` tells the operator why, where that is known. */
export interface UndecidedReply {
  readonly type: 'undecided'
  readonly state: 'not-run' | 'unknown'
  readonly reason?: string
}

/** Result of a relayed call. */
export type RelayOutcome = Exclude<OperatorReply, { type: 'notLeader' }>

/**
 * Frame with an operator's call to a control replica. `compress` is present when the sender has a slow link, so that a
 * large reply should be compressed.
 */
export interface OperatorCallFrame {
  readonly type: 'operatorCall'
  readonly call: OperatorCall
  readonly compress?: true
}

/**
 * Asks a control replica whether it would decide a call that is too large to be sent to all. The leader answers with
 * `operatorBodyWanted`, the others with their reply to the call. Replicas of earlier versions close the connection.
 */
export interface OperatorOfferFrame {
  readonly type: 'operatorOffer'
  readonly operation: string
  /** Bytes of the body. */
  readonly bytes: number
}

/** Asks for the call after an offer, on the same connection. */
export interface OperatorBodyWantedFrame {
  readonly type: 'operatorBodyWanted'
}

/** Frames to a control replica about one call of an operator; the only ones on their connection. */
export type ToOperatorServer = OperatorCallFrame | OperatorOfferFrame | CompressedFrame

/** Frame with the reply. */
export interface OperatorReplyFrame {
  readonly type: 'operatorReply'
  readonly reply: OperatorReply
}

/** Frames from a control replica to the sender of a call. */
export type FromOperatorServer = OperatorReplyFrame | OperatorBodyWantedFrame | CompressedFrame
