import type { Snapshot } from './Types.js'

/** A snapshot on its way to one follower. */
export interface OutgoingSnapshot {
  readonly snapshot: Snapshot
  /** Byte offset that the follower needs next. */
  offset: number
  /** Monotonic time in milliseconds at which the chunk at `offset` was sent; undefined before that. */
  sentAtMs: number | undefined
}

/** Replication state that a leader keeps for one other replica. */
export interface FollowerProgress {
  /** Highest index up to which the replica's synced log matches the leader's. */
  match: number
  /** Index of the next entry to send. */
  next: number
  /** Appends with entries sent and not yet answered. */
  inFlight: number
  /** Highest read round that it has answered. */
  round: number
  /** The leader's monotonic time in milliseconds when it sent the latest message that the replica has answered. */
  lastContactMs: number
  outgoingSnapshot: OutgoingSnapshot | undefined
}
