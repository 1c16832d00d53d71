/** Settings of `sassafras-node`, read from one TOML file. */
import { z } from 'zod'
import { address, byteCount, durationMs, log, metrics, name, place } from '../runtime/SettingsSchemas.js'

/** Values for what the file leaves out. */
export const NODE_DEFAULTS = {
  timing: {
    /** Between heartbeats to control. */
    heartbeatMs: 500,
    /** How long a confirmation by control's quorum lets guarded work run. */
    leaseMs: 3000,
    /** Between heartbeats on a connection to another node. */
    peerHeartbeatMs: 200,
    /** Silence after which a connection to another node counts as lost. */
    peerTimeoutMs: 1000,
    /** Silence after which the local upstream counts as gone. */
    announceTimeoutMs: 2000
  },
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 67_108_864,
    /** Time that a caller has to send its whole request head. */
    headerTimeoutMs: 10_000,
    /** Silence after which an idle connection of a caller closes. */
    idleTimeoutMs: 60_000,
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

/** What the file of a node must hold. */
export const nodeSettings = z.strictObject({
  id: name,
  place,
  listen: z.strictObject({
    /** For other nodes. */
    peer: address,
    /** For callers and for the local upstream's own calls. */
    caller: address,
    /** For operators and for the local upstream's announcements. */
    admin: address
  }),
  /** Control replicas; `address` is their listener for peers. */
  control: z.array(z.strictObject({ id: name, address })).min(1),
  /** Nodes to ask for members while no control replica answers. */
  peers: z.array(address).default([]),
  log,
  metrics,
  timing,
  limits,
  /** Where to record the parts' events, as JSON lines. */
  trace: z.strictObject({ file: z.string().min(1) }).optional()
})

export type NodeSettings = z.output<typeof nodeSettings>
