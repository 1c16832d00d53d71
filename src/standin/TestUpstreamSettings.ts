/** Schema of the settings of `sassafras-upstream`, a TOML file. */
import { z } from 'zod'
import { address, durationMs, log, name, share } from '../runtime/SettingsSchemas.js'

/** Defaults of optional settings. */
export const TEST_UPSTREAM_DEFAULTS = {
  slots: 6,
  connections: 240,
  /** Limit of queued requests; the service sheds further ones. */
  queue: 64,
  announceMs: 500,
  drain: {
    /** The process ends when no request was open for this long. */
    quietMs: 500,
    /** The process ends after it has drained for this long at the latest. */
    maxMs: 600_000
  }
} as const

const milliseconds = z.number().min(0).max(600_000)

const serviceTime = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('constant'), ms: milliseconds }),
  z.strictObject({ kind: z.literal('exponential'), meanMs: milliseconds }),
  /** A file with one service time in milliseconds on each line; its times are repeated after the last. */
  z.strictObject({ kind: z.literal('trace'), file: z.string().min(1) })
])

const load = z.strictObject({
  mode: z.enum(['honest', 'lagging', 'lying', 'none']).default('honest'),
  /** Age of the load in a lagging report. */
  lagMs: durationMs.default(1000),
  /** Load in a lying report. */
  lie: z.strictObject({ inFlight: z.number().int().min(0), queued: z.number().int().min(0) })
    .default({ inFlight: 0, queued: 0 })
}).prefault({})

/** Schema of the settings of a test upstream. */
export const testUpstreamSettings = z.strictObject({
  service: name,
  instance: name,
  listen: z.strictObject({ http: address, admin: address }),
  /** The node beside the service; without one the service is not announced. */
  node: z.strictObject({ admin: address, caller: address }).optional(),
  slots: z.number().int().min(1).default(TEST_UPSTREAM_DEFAULTS.slots),
  connections: z.number().int().min(1).default(TEST_UPSTREAM_DEFAULTS.connections),
  queue: z.number().int().min(0).default(TEST_UPSTREAM_DEFAULTS.queue),
  announceMs: durationMs.default(TEST_UPSTREAM_DEFAULTS.announceMs),
  /** Path of the journal, which records every run as JSON lines. */
  journal: z.string().min(1),
  seed: z.number().int().min(0).default(1),
  serviceTime: serviceTime.default({ kind: 'constant', ms: 1 }),
  /** Cold start: the factor on service times falls from `factor` to 1 over the first `requests` runs. */
  coldStart: z.strictObject({
    requests: z.number().int().min(0).default(0),
    factor: z.number().min(1).default(1),
    startingMs: z.number().int().min(0).default(0)
  }).prefault({}),
  load,
  /** Share of requests that are shed before they run. */
  shed: z.strictObject({ share: share.default(0) }).prefault({}),
  /** Name of the service that `GET /chain/N` calls. */
  chain: z.strictObject({ next: name }).optional(),
  drain: z.strictObject({
    quietMs: durationMs.default(TEST_UPSTREAM_DEFAULTS.drain.quietMs),
    maxMs: durationMs.default(TEST_UPSTREAM_DEFAULTS.drain.maxMs)
  }).prefault({}),
  log
})

export type TestUpstreamSettings = z.output<typeof testUpstreamSettings>
