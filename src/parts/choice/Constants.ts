/** Constants of the upstream chooser. */

/** Smallest number of instances in the subset of a chooser, if the service has as many. */
export const SUBSET_SIZE = 16

/** Share of a subset reserved for instances in other availability zones, 0 to 1. */
export const SUBSET_ELSEWHERE_SHARE = 0.375

/** Number of subsets that each instance should be in, on average. */
export const MIN_COVERAGE = 8

/** Assumed number of ingress nodes that call a service, if the host gives none. */
export const DEFAULT_INGRESS_NODES = 1000

/** Most instances compared for one call, so that a decision costs no more in a large subset. */
export const CHOICE_SAMPLE_SIZE = 12

/** Round trip to an instance in the same availability zone, in milliseconds. */
export const SAME_ZONE_RTT_MS = 0.2

/** Round trip to an instance in another availability zone of the region, in milliseconds. */
export const SAME_REGION_RTT_MS = 2

/** Round trip to an instance in another region, in milliseconds. */
export const OTHER_REGION_RTT_MS = 30

/** Service time assumed before the first load evidence, in milliseconds. */
export const DEFAULT_SERVICE_MS = 5

/** Time constant of the exponential decay of load evidence, in service times. */
export const EVIDENCE_DECAY_SERVICE_TIMES = 1

/** Cost of an attempt that is sure to fail, in service times. */
export const FAILURE_COST_SERVICE_TIMES = 40

/** Time for which an instance counts as full after a refusal without load evidence, in milliseconds. */
export const REFUSAL_HOLD_MS = 20

/** Smallest EWMA weight of a sample in the mean service time of the service; the first samples weigh more. */
export const SERVICE_TIME_MIN_EWMA_WEIGHT = 0.01

/** Most calls in flight at an instance that has not answered yet. */
export const SLOW_START_IN_FLIGHT = 1

/** Successful answers after which the slow start of an instance ends. */
export const SLOW_START_ANSWERS = 16

/** Expected latency of an instance before its first answer, relative to that after its slow start. */
export const COLD_LATENCY_RATIO = 2

/** Age of the newest load evidence above which the chooser requests a probe, in milliseconds. */
export const PROBE_AFTER_MS = 1000

/** Delay before a retry that is suggested to the caller when no instance can be chosen, in milliseconds. */
export const NONE_AVAILABLE_RETRY_MS = 100

/** Shortest expected latency in milliseconds; above 0, so that ratios to it stay finite. */
export const MIN_EXPECTED_MS = 0.05

/** Variance of the number of calls that other nodes have in transit to an instance when its evidence is new. */
export const IN_TRANSIT_VARIANCE = 1

/** Queued calls per slot above which an instance is likely to refuse further calls. */
export const REFUSAL_QUEUE_PER_SLOT = 1.5

/** Cost of each queued call per slot beyond `REFUSAL_QUEUE_PER_SLOT`, in service times. */
export const REFUSAL_COST_SERVICE_TIMES = 10

/** Ratio of observed to expected latency that still counts as usual, because latency varies from call to call. */
export const TOLERATED_SLOWNESS = 1.7

/** Largest random increase of a cost, as a share of it, so that nodes do not all choose the same instance. */
export const COST_JITTER = 0.1

/** Cost of each own call in flight at an instance, in service times, over 1 + their mean number at an instance. */
export const OWN_CALL_COST_SERVICE_TIMES = 1.5
