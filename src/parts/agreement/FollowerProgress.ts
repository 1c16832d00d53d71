import type { Snapshot } from './Types.js'

/** A snapshot on its way to one follower. */
export interface OutgoingSnapshot {
  readonly snapshot: Snapshot
  /** Byte that the follower wants next. */
  offset: number
  /** When the part at `offset` was sent; undefined before that. */
  sentMs: number | undefined
}

/** What a leader knows of one other replica. */
export interface FollowerProgress {
  /** Highest index that the replica has synced and that equals the leader's. */
  match: number
  /** Index of the next entry to send. */
  next: number
  /** Appends with entries sent and not yet answered. */
  inFlight: number
  /** Highest read round that it has answered. */
  round: number
  /** The leader's clock when it sent the newest message that was answered. */
  lastContactMs: number
  outgoingSnapshot: OutgoingSnapshot | undefined
}
