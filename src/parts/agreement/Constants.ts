import type { RecoveredState, ReplicaLimits, ReplicaTiming } from './Types.js'

/** Default timing of a replica. */
export const DEFAULT_TIMING: ReplicaTiming = {
  heartbeatMs: 50,
  electionMinMs: 300,
  electionMaxMs: 600,
  leaseMs: 250,
  catchUpTimeoutMs: 30_000
}

/** Default limits of a replica. */
export const DEFAULT_LIMITS: ReplicaLimits = {
  maxUncommittedBytes: 16 * 1024 * 1024,
  maxUncommittedEntries: 16_384,
  maxLogBytes: 96 * 1024 * 1024,
  maxAppendBytes: 512 * 1024,
  maxAppendEntries: 4096,
  maxAppendsInFlight: 4,
  maxReads: 4096,
  snapshotChunkBytes: 256 * 1024,
  maxSnapshotBytes: 256 * 1024 * 1024,
  retainedEntries: 2048,
  retainedBytes: 8 * 1024 * 1024,
  catchUpSlackEntries: 256
}

/** Bytes that an entry counts in addition to its data, for `maxLogBytes` and `maxAppendBytes`. */
export const ENTRY_OVERHEAD_BYTES = 64

/** State of a replica whose log holds nothing yet. */
export const EMPTY_RECOVERED_STATE: RecoveredState = {
  hard: { term: 0, votedFor: undefined },
  snapshot: { index: 0, term: 0, members: [], data: new Uint8Array(0) },
  entries: []
}
