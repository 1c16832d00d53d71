/** Size of the installation that the system is designed for. */
export const DESIGN = {
  nodes: 2200,
  services: 140,
  callsPerSecond: 430_000,
  depth: 7,
  regions: 3,
  zones: 7,
  changesPerDay: 9100,
  restartsPerDay: 210,
  failuresPerDay: 3
} as const

/** Limits that the system must meet at the design size; `nodeCpuPercent` is a share of one core. */
export const LIMITS = {
  addedP99Ms: 0.33,
  inForceMs: 4000,
  nodeCpuPercent: 2.3,
  nodeMegabytes: 128,
  nodeBytesPerSecond: 12_000,
  controlVms: 11
} as const

/** Calls that enter one node per second, and as many that leave it. */
export const CALLS_PER_NODE = DESIGN.callsPerSecond / DESIGN.nodes

/** Replicas of the group for configuration and membership. */
export const CONFIGURATION_REPLICAS = 5

/** Replicas of each group for records. */
export const RECORD_REPLICAS = 3

/** Record groups that fit on the control VMs beside the configuration group. */
export const RECORD_GROUPS = Math.floor((LIMITS.controlVms - CONFIGURATION_REPLICAS) / RECORD_REPLICAS)

/** Log entries per guarded call: its execution permit and its outcome. */
export const COMMITS_PER_GUARDED_CALL = 2
