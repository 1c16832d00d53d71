/** The size to design for, as the users gave it. */
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

/** Limits that the design must keep. */
export const LIMITS = {
  addedP99Ms: 0.33,
  inForceMs: 4000,
  nodeCpuPercent: 2.3,
  nodeMegabytes: 128,
  nodeBytesPerSecond: 12_000,
  controlVms: 11
} as const

/** Calls that enter, and calls that leave, one node in a second. */
export const CALLS_PER_NODE = DESIGN.callsPerSecond / DESIGN.nodes

/** Replicas of the group for configuration and membership, and of each group for records. */
export const CONFIGURATION_REPLICAS = 5
export const RECORD_REPLICAS = 3

/** Groups for records that fit beside the configuration group on the VMs set aside. */
export const RECORD_GROUPS = Math.floor((LIMITS.controlVms - CONFIGURATION_REPLICAS) / RECORD_REPLICAS)

/** Log entries that one guarded call costs: its permission and its outcome. */
export const COMMITS_PER_GUARDED_CALL = 2
