import type { QuarantineOptions } from './Types.js'

/** Defaults of the quarantine table; `node` and `incarnation` have none. */
export const QUARANTINE_DEFAULTS: Omit<QuarantineOptions, 'node' | 'incarnation'> = {
  retentionMs: 600_000,
  maxFingerprints: 4096,
  maxDispatched: 65_536,
  maxRuns: 4096
}

/** Suspicion of a request that ran alone when its upstream crashed. */
export const SINGLE_REQUEST_WEIGHT = 1

/** Suspicion of the most suspect request among several in flight at a crash. */
export const CONCURRENT_REQUEST_WEIGHT = 2 / 3

/** Share of the suspicion that a crash puts at least on each request, however suspect another one was. */
export const MIN_BLAME_SHARE = 0.75

/** Suspicion from which a fingerprint is quarantined: two crashes alone, three among others, four beside suspects. */
export const QUARANTINE_THRESHOLD = 1.99

/** Suspicion from which a node runs one call of a fingerprint at a time. */
export const SINGLE_CALL_THRESHOLD = 0.99

/** Suspicion that is too small to keep. */
export const MIN_SUSPICION = 0.05

/** Retry-After of a suspect request while another of its fingerprint runs. */
export const SUSPECT_RETRY_AFTER_MS = 100

/** Reports of one crash at most, no more than a report window holds. */
export const MAX_REPORTS_PER_CRASH = 32

/** Reports kept of one fingerprint, to pass on. */
export const MAX_REPORTS_KEPT = 4

/** Body bytes that a fingerprint covers. */
export const FINGERPRINT_BODY_BYTES = 4096

/** Room for service, method, target and length in the buffer that fingerprints are made in. */
export const FINGERPRINT_HEAD_BYTES = 8192
