/** Settings of `sassafras-node`, which are read from one TOML file. */
import { z } from 'zod'
import { address, byteCount, durationMs, log, metrics, name, place } from '../runtime/SettingsSchemas.js'

/** Defaults for settings that the file omits. */
export const NODE_DEFAULTS = {
  timing: {
    /** Interval of the heartbeats to control. */
    heartbeatMs: 500,
    /** Time after a quorum of control confirmed the configuration during which at-most-once requests may start. */
    leaseMs: 3000,
    /** Interval of the heartbeats on a connection to another node. */
    peerHeartbeatMs: 200,
    /** Time without any frame after which a connection to another node is closed as lost. */
    peerTimeoutMs: 1000,
    /** Time without an announcement after which the local upstream is considered stopped. */
    announceTimeoutMs: 2000
  },
  limits: {
    /** Largest request head. */
    maxHeaderBytes: 16_384,
    /** Largest request body that is read into memory. */
    maxBodyBytes: 67_108_864,
    /** Time in which a caller must have sent its complete request head. */
    headerTimeoutMs: 10_000,
    /** Time after which an idle connection of a caller is closed. */
    idleTimeoutMs: 60_000,
    /** Largest number of open caller connections. */
    maxConnections: 4096
  }
} as const

const timing = z.strictObject({
  heartbeatMs: durationMs.default(NODE_DEFAULTS.timing.heartbeatMs),
  leaseMs: durationMs.default(NODE_DEFAULTS.timing.leaseMs),
  peerHeartbeatMs: durationMs.default(NODE_DEFAULTS.timing.peerHeartbeatMs),
  peerTimeoutMs: durationMs.default(NODE_DEFAULTS.timing.peerTimeoutMs),
  announceTimeoutMs: durationMs.default(NODE_DEFAULTS.timing.announceTimeoutMs)
}).prefault({})

const limits = z.strictObject({
  maxHeaderBytes: byteCount.default(NODE_DEFAULTS.limits.maxHeaderBytes),
  maxBodyBytes: byteCount.default(NODE_DEFAULTS.limits.maxBodyBytes),
  headerTimeoutMs: durationMs.default(NODE_DEFAULTS.limits.headerTimeoutMs),
  idleTimeoutMs: durationMs.default(NODE_DEFAULTS.limits.idleTimeoutMs),
  maxConnections: z.number().int().min(1).default(NODE_DEFAULTS.limits.maxConnections)
}).prefault({})

/** Schema of a node's settings file. */
export const nodeSettings = z.strictObject({
  id: name,
  place,
  listen: z.strictObject({
    /** Listener for other nodes. */
    peer: address,
    /** Listener for callers and for the nested calls of the local upstream. */
    caller: address,
    /** Listener for operators and for the local upstream's announcements. */
    admin: address
  }),
  /** Control replicas; `address` is a replica's listener for peers. */
  control: z.array(z.strictObject({ id: name, address })).min(1),
  /** Peer listeners of other nodes, `host:port`; accepted, but not used at present. */
  peers: z.array(address).default([]),
  log,
  metrics,
  timing,
  limits,
  /** File in which the events of the parts are recorded, as JSON lines. */
  trace: z.strictObject({ file: z.string().min(1) }).optional()
})

export type NodeSettings = z.output<typeof nodeSettings>
