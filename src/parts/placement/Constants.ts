/** Half-life of reported load, in milliseconds: a few run times. */
export const LOAD_HALF_LIFE_MS = 200

/** Half-life of reported slowness, in milliseconds; other VMs on the host change it several times a second. */
export const SLOWNESS_HALF_LIFE_MS = 100

/** Slowness assumed without a recent report; above 1, so that a VM known to run at its usual speed is preferred. */
export const DEFAULT_SLOWNESS = 1.5

/** Share by which runs take longer on a full instance than on an idle one. */
export const MAX_CONTENTION = 0.3

/** EWMA weight of an outcome in the failure share. */
export const FAILURE_EWMA_WEIGHT = 0.15

/** Cost of a certain failure, in run times: an instance that fails fast looks idle and must not attract calls. */
export const FAILURE_COST_RUNS = 12

/**
 * Half-life of a reported share of failing runs, in milliseconds. An instance that all nodes avoid reports nothing new,
 * so what it reported must lose its weight for a call to find out whether it has recovered.
 */
export const FAILING_HALF_LIFE_MS = 1000

/** Time for which an instance is not chosen after its node was unreachable, in milliseconds. */
export const UNREACHABLE_COOLDOWN_MS = 1000

/** Failure share above which an instance is ejected: it gets only occasional trial calls. */
export const EJECTION_FAILURE_SHARE = 0.6

/** Time between trials of an ejected instance, in milliseconds. */
export const TRIAL_INTERVAL_MS = 1500

/** Share of a service's instances that may be ejected; with more, ejected ones are chosen like the others. */
export const MAX_EJECTED_SHARE = 0.5

/**
 * Delay that is accepted to keep a kilobyte within its availability zone, in milliseconds, since traffic between zones
 * is billed. A small call stays in its zone while the instance there is at most some run times slower, a large answer
 * unless that instance is full.
 */
export const CROSS_ZONE_COST_MS_PER_KB = 40

/** Bytes in a kilobyte. */
export const BYTES_PER_KB = 1024

/**
 * Instances of a service that one node sends its calls to. Enough that a call that several gates decline finds others,
 * few enough that a node with some calls a second meets each of them again soon.
 */
export const SUBSET_SIZE = 24

/** Instances of the subset that are in other availability zones, if this one has enough. */
export const FAR_SUBSET_SIZE = 8

/**
 * Nodes of an availability zone that must have stopped answering before the zone counts as silent. One may have
 * crashed; a zone that is suspected wrongly gets no calls for one probe interval.
 */
export const MIN_SILENT_NODES = 2

/** Time after the last evidence at which a silent zone is tried again, in milliseconds: about the length of a cut. */
export const ZONE_SUSPICION_MS = 5000

/** Interval at which a silent zone is probed, in milliseconds: a fraction of the objective of usual calls. */
export const ZONE_PROBE_INTERVAL_MS = 250
