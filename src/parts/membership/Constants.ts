/** Interest in all services; a control replica registers it with its fellows. */
export const ALL_SERVICES = '*'

/** A node that was not heard of for this long is silent. */
export const NODE_LEASE_MS = 3_000

/** How long members that left or fell silent are kept, so that stale news can't bring them back. */
export const TOMBSTONE_RETENTION_MS = 600_000

/** Members that left and are kept; the oldest goes first. */
export const MAX_TOMBSTONES = 4_096

/** Members known at once, without those that left. */
export const MAX_MEMBERS = 8_192

/** Peers that are sent to: attached nodes and fellow replicas. */
export const MAX_PEERS = 4_096

/** Interval at which a replica passes signs of life on to its fellows. */
export const HEARTBEAT_RELAY_INTERVAL_MS = 1_000

/** Interval at which digests are told to each peer. */
export const DIGEST_INTERVAL_MS = 10_000

/** A replica that has just started tells no digests and no whole services for this long. */
export const WARM_UP_MS = 10_000

/** A node drops a member that its control replica has not named for this long. */
export const MISSING_MEMBER_TIMEOUT_MS = 30_000

/** A longer pause between two ticks means that this process itself was frozen. */
export const FREEZE_THRESHOLD_MS = 1_500

/** Members sent to one node: at rest a bucket of `NODE_BURST` fills at this rate. */
export const NODE_MEMBERS_PER_SECOND = 40
export const NODE_BURST = 256

/** Members sent to one fellow replica. */
export const REPLICA_MEMBERS_PER_SECOND = 4_000
export const REPLICA_BURST = 8_000

/** Members in one message. */
export const MAX_MEMBERS_PER_MESSAGE = 64

/** An upstream that has not announced itself to its node for this long is silent. */
export const ANNOUNCEMENT_LEASE_MS = 1_600
