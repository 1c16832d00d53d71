import type { QuarantineOptions } from './Types.js'

/** Defaults of the quarantine table; `node` and `incarnation` have none. */
export const QUARANTINE_DEFAULTS: Omit<QuarantineOptions, 'node' | 'incarnation'> = {
  retentionMs: 600_000,
  maxFingerprints: 4096,
  maxDispatched: 65_536,
  maxCompleted: 4096,
  maxRuns: 4096
}

/** Suspicion added to a request that ran alone when its upstream crashed. */
export const SINGLE_REQUEST_WEIGHT = 1

/** Suspicion added to the most suspect of several requests in flight at a crash. */
export const CONCURRENT_REQUEST_WEIGHT = 2 / 3

/**
 * Share of that suspicion for a request that had run to its end at the same node when it was sent, and was not
 * suspected of a crash since: instances that are lost at the same moment say little about what all of them ran.
 */
export const COMPLETED_REQUEST_SHARE = 0.25

/** Least share of that suspicion added to each request in flight, however suspect another one was before. */
export const MIN_SUSPICION_SHARE = 0.75

/**
 * Suspicion from which a fingerprint is quarantined: after two crashes alone, three beside other requests, or four
 * beside requests that were suspect before.
 */
export const QUARANTINE_THRESHOLD = 1.99

/** Time from the last crash until a quarantined request may run once more, in milliseconds. */
export const TRIAL_DELAY_MS = 30_000

/** Factor by which that time grows with each crash since the quarantine. */
export const TRIAL_BACKOFF = 8

/** Crashes since the quarantine after which the request is not tried again. */
export const MAX_TRIALS = 2

/** Suspicion from which a node runs only one call of a fingerprint at a time. */
export const SINGLE_CALL_THRESHOLD = 0.99

/** Smallest suspicion that is kept; a fingerprint with less is cleared. */
export const MIN_SUSPICION = 0.05

/** Retry-After of a suspect request that is refused because another call of its fingerprint runs. */
export const SUSPECT_RETRY_AFTER_MS = 100

/** Most reports sent for one crash; no more than a `ReportWindow` tracks. */
export const MAX_REPORTS_PER_CRASH = 32

/** Most reports kept of one fingerprint, for nodes that connect later. */
export const MAX_REPORTS_KEPT = 4

/**
 * Most suspects whose reports are handed to a process that connects: some 20 kB, since all nodes need them at once when
 * they restart together.
 */
export const MAX_SUSPECTS_HANDED_ON = 64

/** Bytes at the beginning of a body that the fingerprint covers. */
export const FINGERPRINT_BODY_BYTES = 4096

/** Bytes for service, method, target and body length in the buffer that fingerprints are computed from. */
export const FINGERPRINT_HEAD_BYTES = 8192

/** Time after a lost connection in which a restart of the instance counts as its crash, in milliseconds. */
export const LOSS_VERDICT_MS = 5000
