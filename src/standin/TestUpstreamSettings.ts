/** Settings of `sassafras-upstream`, read from one TOML file. */
import { z } from 'zod'
import { address, durationMs, log, name, share } from '../runtime/SettingsSchemas.js'

/** Values for what the file leaves out. */
export const TEST_UPSTREAM_DEFAULTS = {
  slots: 6,
  connections: 240,
  /** Requests that may wait for a slot before the service sheds. */
  queue: 64,
  announceMs: 500,
  drain: {
    /** The service ends after it has had nothing to do for this long. */
    quietMs: 500,
    /** The service ends after this long at the latest. */
    maxMs: 600_000
  }
} as const

const milliseconds = z.number().min(0).max(600_000)

const serviceTime = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('constant'), ms: milliseconds }),
  z.strictObject({ kind: z.literal('exponential'), meanMs: milliseconds }),
  /** A file with one service time in milliseconds on each line, repeated from the start at its end. */
  z.strictObject({ kind: z.literal('trace'), file: z.string().min(1) })
])

const load = z.strictObject({
  mode: z.enum(['honest', 'lagging', 'lying', 'none']).default('honest'),
  /** Age of a lagging report. */
  lagMs: durationMs.default(1000),
  /** What a lying report says. */
  lie: z.strictObject({ inFlight: z.number().int().min(0), queued: z.number().int().min(0) })
    .default({ inFlight: 0, queued: 0 })
}).prefault({})

/** What the file of a stand-in must hold. */
export const testUpstreamSettings = z.strictObject({
  service: name,
  instance: name,
  listen: z.strictObject({ http: address, admin: address }),
  /** The node beside it; without one it announces itself to nobody. */
  node: z.strictObject({ admin: address, caller: address }).optional(),
  slots: z.number().int().min(1).default(TEST_UPSTREAM_DEFAULTS.slots),
  connections: z.number().int().min(1).default(TEST_UPSTREAM_DEFAULTS.connections),
  queue: z.number().int().min(0).default(TEST_UPSTREAM_DEFAULTS.queue),
  announceMs: durationMs.default(TEST_UPSTREAM_DEFAULTS.announceMs),
  /** Every request that it ran, as JSON lines. */
  journal: z.string().min(1),
  seed: z.number().int().min(0).default(1),
  serviceTime: serviceTime.default({ kind: 'constant', ms: 1 }),
  /** The first requests after a start take longer, falling from `factor` to 1. */
  coldStart: z.strictObject({
    requests: z.number().int().min(0).default(0),
    factor: z.number().min(1).default(1),
    startingMs: z.number().int().min(0).default(0)
  }).prefault({}),
  load,
  /** Share of requests that are shed without a run. */
  shed: z.strictObject({ share: share.default(0) }).prefault({}),
  /** The service that `GET /chain/N` calls. */
  chain: z.strictObject({ next: name }).optional(),
  drain: z.strictObject({
    quietMs: durationMs.default(TEST_UPSTREAM_DEFAULTS.drain.quietMs),
    maxMs: durationMs.default(TEST_UPSTREAM_DEFAULTS.drain.maxMs)
  }).prefault({}),
  log
})

export type TestUpstreamSettings = z.output<typeof testUpstreamSettings>
