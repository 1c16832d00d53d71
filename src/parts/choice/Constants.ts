/** Constants of choosing an upstream. */

/** Instances that a chooser knows at least when a service has more than these. */
export const SUBSET_SIZE = 16

/** Share of a subset kept for instances of other availability zones, 0 to 1. */
export const SUBSET_ELSEWHERE_SHARE = 0.375

/** Subsets that each instance should be in, on average. */
export const MIN_COVERAGE = 8

/** Nodes that are taken to call a service when the host does not say how many there are. */
export const DEFAULT_INGRESS_NODES = 1000

/** Instances weighed for one call at most, so that a decision costs the same in a large subset. */
export const CHOICE_SAMPLE_SIZE = 12

/** Round trip to an instance of the same availability zone. */
export const SAME_ZONE_RTT_MS = 0.2

/** Round trip to an instance of another availability zone of the region. */
export const SAME_REGION_RTT_MS = 2

/** Round trip to an instance of another region. */
export const OTHER_REGION_RTT_MS = 30

/** Service time assumed while nothing was answered yet. */
export const DEFAULT_SERVICE_MS = 5

/** Service times after which load evidence has lost most of its weight. */
export const EVIDENCE_DECAY_SERVICE_TIMES = 1

/** Latency that a failed attempt is counted as, in service times. */
export const FAILURE_COST_SERVICE_TIMES = 40

/** Time for which a refusal without evidence makes an instance count as full. */
export const REFUSAL_HOLD_MS = 20

/** Smallest weight of the newest service time in the mean over the service; the first ones weigh more. */
export const SERVICE_TIME_MIN_EWMA_WEIGHT = 0.01

/** Calls in flight allowed to an instance that has not answered yet. */
export const SLOW_START_IN_FLIGHT = 1

/** Good answers after which an instance counts as warm. */
export const SLOW_START_ANSWERS = 16

/** Expected latency of a cold instance over that of a warm one, before its first answer. */
export const COLD_LATENCY_RATIO = 2

/** Age of the newest evidence from which a probe is asked for. */
export const PROBE_AFTER_MS = 1000

/** Wait told to a caller when no instance can be chosen. */
export const NONE_AVAILABLE_RETRY_MS = 100

/** Shortest expected latency, so that ratios stay finite. */
export const MIN_EXPECTED_MS = 0.05

/** Variance of the calls that other nodes have on the way to an instance when its evidence is fresh. */
export const IN_TRANSIT_VARIANCE = 1

/** Queued calls for each slot from which an instance is likely to refuse. */
export const REFUSAL_QUEUE_PER_SLOT = 1.5

/** Cost of a call that waits beyond that, in service times for each queued call and slot. */
export const REFUSAL_COST_SERVICE_TIMES = 10

/** Seen over expected latency that counts as usual, because latencies vary by themselves. */
export const TOLERATED_SLOWNESS = 1.7

/** Spread of the random factor that keeps nodes from acting alike. */
export const COST_JITTER = 0.1

/** Cost of each own call in flight at an instance, in service times, over one more than the mean of the subset. */
export const OWN_CALL_COST_SERVICE_TIMES = 1.5
