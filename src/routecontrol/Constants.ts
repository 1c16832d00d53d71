import type { ReplicaTiming } from '../parts/agreement/Types.js'

/**
 * Timing of the group. After a loss of power nodes that restarted serve nothing until a leader is elected, so elections
 * are as short as replicas on a fraction of a core bear: five missed heartbeats.
 */
export const GROUP_TIMING: Partial<ReplicaTiming> = {
  heartbeatMs: 100,
  electionMinMs: 500,
  electionMaxMs: 900,
  // Three heartbeats: a leader that is there is heard by then, and a pre-vote beside one changes nothing.
  firstElectionMs: 300,
  leaseMs: 450,
  catchUpTimeoutMs: 4000
}

/** Interval of the replica's clock, in milliseconds; a third of a heartbeat. */
export const GROUP_TICK_MS = 50

/** Log after which a snapshot is taken, in bytes: well below the disk of a small VM. */
export const SNAPSHOT_AFTER_BYTES = 8 * 1024 * 1024

/** Interval at which a replica outside of any group tells so, in milliseconds. */
export const ANNOUNCE_INTERVAL_MS = 100

/** Interval at which a replica that has no leader asks to be taken in, in milliseconds. */
export const JOIN_INTERVAL_MS = 300

/** Time without a leader after which a member asks whether it is one still, in milliseconds: two elections. */
export const LEADERLESS_JOIN_MS = 3000

/** Silence after which a node's connection is closed, in milliseconds; nodes ping every half second. */
export const NODE_TIMEOUT_MS = 3000

/** Time after which a node counts as gone whose connection ended and that has not come back, in milliseconds. */
export const NODE_GONE_MS = 20_000

/** Interval of the checks on nodes, in milliseconds. */
export const NODE_CHECK_INTERVAL_MS = 1000

/** Longest wait of an operator's change for the log, in milliseconds; operators give up after a second. */
export const CHANGE_TIMEOUT_MS = 3000
