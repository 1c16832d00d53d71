/** Interest in all services; a control replica registers it with its peer replicas. */
export const ALL_SERVICES = '*'

/** A node without a heartbeat for this long counts as silent. */
export const NODE_LEASE_MS = 3_000

/** How long members that left or went silent are kept, so that stale messages can't add them again. */
export const TOMBSTONE_RETENTION_MS = 600_000

/** Most members that left and are kept; the one that was added to the store first is removed first. */
export const MAX_TOMBSTONES = 4_096

/** Members known at once, without those that left. */
export const MAX_MEMBERS = 8_192

/** Peers with an outbox: attached nodes and peer replicas. */
export const MAX_PEERS = 4_096

/** Interval at which a replica relays heartbeats to its peer replicas. */
export const HEARTBEAT_RELAY_INTERVAL_MS = 1_000

/** Interval at which digests are sent to each peer. */
export const DIGEST_INTERVAL_MS = 10_000

/** A replica that has just started sends no digests and marks no service as complete for this long. */
export const WARM_UP_MS = 10_000

/** A node removes a member that its control replica has not listed for this long. */
export const MISSING_MEMBER_TIMEOUT_MS = 30_000

/** A longer pause between two ticks means that this process itself was frozen. */
export const FREEZE_THRESHOLD_MS = 1_500

/** Rate of members sent to one node: refill rate of a token bucket that holds `NODE_BURST`. */
export const NODE_MEMBERS_PER_SECOND = 40
export const NODE_BURST = 256

/** Rate of members sent to one peer replica: refill rate of a token bucket that holds `REPLICA_BURST`. */
export const REPLICA_MEMBERS_PER_SECOND = 4_000
export const REPLICA_BURST = 8_000

/** Members in one message. */
export const MAX_MEMBERS_PER_MESSAGE = 64

/** An upstream that has not announced itself to its node for this long counts as silent. */
export const ANNOUNCEMENT_LEASE_MS = 1_600
