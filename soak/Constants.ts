/** Ports on each VM's own loopback address. */
export const PORTS = {
  callers: 8629,
  nodes: 8624,
  ready: 8625,
  control: 8620,
  replicas: 7600,
  instanceEntry: 8628,
  instance: 8627,
  entry: 8639
} as const

/** Size of the mesh; a few dozen processes with the stand-ins' connections. */
export const NODE_COUNT = 5
export const REPLICA_COUNT = 3

/** Callers beside each node; each keeps one connection open. */
export const CALLERS_PER_NODE = 3

/** Pause of a caller between two requests, in milliseconds at most. */
export const MAX_CALLER_PAUSE_MS = 40

/** Time that a caller waits for an answer, in milliseconds. */
export const CALLER_TIMEOUT_MS = 2000

/** Time past its deadline after which a caller gives up, in milliseconds: the answer's way on a busy machine. */
export const CALLER_TIMEOUT_SLACK_MS = 500

/** Shares of requests that may run again and that must run once; the rest ask for the newest routes. */
export const READ_SHARE = 0.4
export const AT_MOST_ONCE_SHARE = 0.5

/** Time between a drain's acknowledgement and the last request that may arrive, in milliseconds; a platform's bound. */
export const DRAIN_GRACE_MS = 2000

/** Longest planned stop, in milliseconds, and what a busy machine may add to it. */
export const STOP_TIMEOUT_MS = 6000
export const STOP_SLACK_MS = 1500

/** Time after an unplanned fault for which cut answers are not held against a planned stop, in milliseconds. */
export const FAULT_SETTLE_MS = 3000

/** Bounds on repeated runs: a share of the requests and a number for each window. */
export const RETRY_BUDGET = { ratio: 0.2, slack: 60, windowMs: 10_000 } as const

/** Time after the last fault until requests must be served again, in milliseconds. */
export const RECOVERY_TIMEOUT_MS = 15_000

/** Share of the requests that must be answered after the recovery. */
export const MIN_RECOVERED_SHARE = 0.9
