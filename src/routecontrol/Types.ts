import type { NodeEntry } from '../parts/instances/Types.js'
import type { RoutingDelta, VersionedRouting } from '../parts/routing/Types.js'

/** Frames from a node to the control replica that it takes its news from. */
export type NodeToFeed =
  /** First frame of a connection; `version` is what the node has in force, 0 for nothing. */
  | { readonly type: 'feedHello', readonly entry: NodeEntry, readonly version: number }
  | { readonly type: 'publish', readonly entry: NodeEntry }
  | { readonly type: 'feedPing' }
  /** Asks for a whole copy after differences that did not fit. */
  | { readonly type: 'askRouting' }

/** Frames from a control replica to a node. */
export type FeedToNode =
  /**
   * Sent once a quorum has confirmed what the replica holds. `own` is the entry that the group has of the node,
   * from an earlier run or connection; `controls` are the addresses of the replicas, `host:port`.
   */
  | {
    readonly type: 'welcome',
    readonly entries: readonly NodeEntry[],
    readonly controls: readonly string[],
    readonly own?: NodeEntry
  }
  | { readonly type: 'routing', readonly routing: VersionedRouting }
  | { readonly type: 'routingDifferences', readonly differences: readonly RoutingDelta[] }
  | { readonly type: 'entries', readonly entries: readonly NodeEntry[] }
  | { readonly type: 'controls', readonly controls: readonly string[] }
  /** Answer to a ping. A replica without a leader is not fit: the node looks for another. */
  | { readonly type: 'feedPong', readonly fit: boolean }
