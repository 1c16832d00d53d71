import type { ReplicaTiming } from '../parts/agreement/Types.js'

/**
 * Timing of the consensus group. After a power loss restarted nodes serve nothing until a leader is elected, so the
 * election timeout is as short as replicas on a fraction of a core allow: five missed heartbeats.
 */
export const GROUP_TIMING: Partial<ReplicaTiming> = {
  heartbeatMs: 100,
  electionMinMs: 500,
  electionMaxMs: 900,
  // One tick, so that no two members become candidates in the same one. A pre-vote beside a leader changes nothing.
  firstElectionMs: 50,
  leaseMs: 450,
  catchUpTimeoutMs: 4000,
  // A replica that has asked to join and ended must not hold up another one for the time to catch up.
  catchUpSilenceMs: 1000
}

/** Interval of the replica's timer ticks, in milliseconds; half a heartbeat. */
export const GROUP_TICK_MS = 50

/**
 * Time from its start for which a member keeps connecting nodes waiting for the first leader, in milliseconds: several
 * first elections. Nodes that are turned away lose a reconnect delay, and often find the next replica without a leader.
 */
export const FIRST_LEADER_WAIT_MS = 1000

/** Log size at which a snapshot is taken, in bytes; well below the disk size of a small VM. */
export const SNAPSHOT_AFTER_BYTES = 8 * 1024 * 1024

/** Interval at which a replica that belongs to no group announces itself, in milliseconds. */
export const ANNOUNCE_INTERVAL_MS = 100

/** Interval of the membership checks, in milliseconds; a voter is replaced at one of them. */
export const MEMBERSHIP_TICK_MS = 100

/** Interval at which a replica outside the group or without a leader asks to join, in milliseconds. */
export const JOIN_INTERVAL_MS = 300

/**
 * Time for which a voter must refuse connections and stay unheard until it counts as gone, in milliseconds: some
 * reconnect attempts, and shorter than an election.
 */
export const GONE_AFTER_MS = 250

/** Interval at which a replica that stops asks to leave, in milliseconds. */
export const LEAVE_INTERVAL_MS = 100

/** Time without a leader's reply after which a replica stops without leaving, in ms: an election is shorter. */
export const LEAVE_REPLY_TIMEOUT_MS = 1000

/**
 * Time without a leader after which a member asks to join, as it may have been removed, in milliseconds; long enough
 * for two elections.
 */
export const LEADERLESS_JOIN_MS = 3000

/**
 * Time for which a replica outside the group sends operators' calls to the leader that a member named, in ms:
 * two join intervals and their round trips. A member that has lost its leader names none.
 */
export const LEADER_NOTICE_TTL_MS = 750

/** Time without any frame after which a node's connection is closed, in milliseconds; nodes ping every 500 ms. */
export const NODE_TIMEOUT_MS = 3000

/** Time after a disconnect at which a node that has not reconnected counts as gone, in milliseconds. */
export const NODE_GONE_MS = 20_000

/** Interval of the checks for silent and disconnected nodes, in milliseconds. */
export const NODE_CHECK_INTERVAL_MS = 1000

/** Time for which changed entries of nodes are collected before they are sent, in milliseconds. */
export const ENTRY_BATCH_MS = 20

/** Time for which messages of nodes about quotas are collected before they are sent to the leader, in milliseconds. */
export const QUOTA_BATCH_MS = 5

/**
 * Time between two ticks of a leader after which another may have been elected, in milliseconds: it asks a quorum
 * before it grants anything more.
 */
export const QUOTA_CONFIRM_AFTER_MS = 300

/** Messages of nodes that wait for that confirmation; further ones are dropped. */
export const MAX_DEFERRED_QUOTA_MESSAGES = 10_000

/** Interval at which a replica sends the entries of its nodes to the other replicas again, in milliseconds. */
export const ENTRY_RESEND_INTERVAL_MS = 10_000

/** Calls of operators that one process passes on at once; more are turned away, as each may have a large body. */
export const MAX_RELAYED_CALLS = 32

/**
 * Size of the body from which a process with a slow link offers an operator's call to replicas before it sends it all,
 * in bytes: about 50 ms on a link of 2.4 Mbit/s, some round trips.
 */
export const OFFERED_BODY_BYTES = 16 * 1024

/**
 * Rate of the link of a process whose settings name none, in Mbit/s: it bounds the time for which a call waits for a
 * reply that is arriving.
 */
export const ASSUMED_LINK_MBPS = 10

/** Time of a delivery to a node from which it is logged, in milliseconds: half of what a change may take in all. */
export const SLOW_DELIVERY_MS = 1000
