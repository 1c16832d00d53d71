/** A connection to another replica is reopened when a sent frame stays unacknowledged for this long. */
export const LINK_TIMEOUT_MS = 1500

/**
 * Smallest interval between two acknowledgements (`heard` frames) on an accepted connection, and interval at which
 * unacknowledged connections are checked.
 */
export const LINK_ACK_INTERVAL_MS = 250

/** Interval at which a replica announces itself to nodes that the settings name as seeds. */
export const DIRECTORY_ANNOUNCE_INTERVAL_MS = 1000

/** Interval at which a replica outside the group broadcasts its formation notice. */
export const FORMATION_INTERVAL_MS = 100

/** Interval at which a replica sends the versions in force at its nodes to its peer replicas. */
export const IN_FORCE_INTERVAL_MS = 1000

/** Age of a node's last report after which its version is no longer listed. */
export const IN_FORCE_RETENTION_MS = 600_000

/** Largest number of nodes whose versions a replica lists; the one updated here least recently is removed first. */
export const MAX_NODE_VERSIONS = 8192

/** A node's home connection is closed when nothing was received on it for this long. */
export const NODE_TIMEOUT_MS = 5000

/** Record commands of one connection that may wait for a commit at once; further ones are refused as overloaded. */
export const MAX_OPEN_RECORDS = 2048

/** Largest number of node connections of one replica; further ones are closed. */
export const MAX_SESSIONS = 4096

/** Delay after which an operator is asked to retry while a change can't be committed. */
export const NO_LEADER_RETRY_MS = 500

/** Timeout of a quorum read. */
export const READ_TIMEOUT_MS = 2000

/** Interval of the ticks of the membership table. */
export const MEMBERSHIP_TICK_MS = 200

/** Duration above which a sync of the log is logged: a leader can lose its lease meanwhile. */
export const SLOW_SYNC_MS = 100

/**
 * Read requests to the leader are numbered from a random start below this, so that late replies to an earlier run of
 * this process match none.
 */
export const READ_REQUEST_ID_RANGE = 2 ** 40
