/** Silence on a connection to another replica, while something was sent, after which it is opened anew. */
export const LINK_TIMEOUT_MS = 1500

/** Interval at which a replica answers on an accepted connection that it hears it. */
export const LINK_ACK_INTERVAL_MS = 250

/** Interval at which a replica without a group tells so. */
export const FORMATION_INTERVAL_MS = 100

/** Interval at which a replica tells its fellows which node has which version. */
export const IN_FORCE_INTERVAL_MS = 1000

/** Age after which a node's version is no longer listed. */
export const IN_FORCE_RETENTION_MS = 600_000

/** Nodes whose versions a replica lists. */
export const MAX_NODE_VERSIONS = 8192

/** Silence after which a node's connection is closed. */
export const NODE_TIMEOUT_MS = 5000

/** Record commands of one node that may wait for the log at once. */
export const MAX_OPEN_RECORDS = 2048

/** Nodes that one replica serves at once. */
export const MAX_SESSIONS = 4096

/** Wait that an operator or node is asked for while there is no leader. */
export const NO_LEADER_RETRY_MS = 500

/** How long a read waits for a quorum before it is given up. */
export const READ_TIMEOUT_MS = 2000

/** Interval of the membership table's tick. */
export const MEMBERSHIP_TICK_MS = 200

/** Sync of the log that is worth a line: long enough to cost a leader its lease. */
export const SLOW_SYNC_MS = 100
