/** Schema of the plan of a load run, a TOML file. */
import { z } from 'zod'
import { address, durationMs, name, share } from '../runtime/SettingsSchemas.js'

/** Defaults of optional settings. */
export const LOAD_DEFAULTS = {
  seed: 1,
  maxInFlight: 512,
  connectionsPerTarget: 64,
  /** Time that a call may take in all, its retries included. */
  deadlineMs: 2000,
  retry: {
    attempts: 4,
    /** Wait before a retry when the answer names none. */
    waitMs: 50,
    /** Upper bound of the wait that an answer asks for. */
    maxWaitMs: 2000
  }
} as const

const commonFields = {
  service: name,
  /** Offered calls per second; they arrive at seeded random times, regardless of the answers (open loop). */
  rate: z.number().positive().max(100_000),
  deadlineMs: durationMs.default(LOAD_DEFAULTS.deadlineMs)
}

const loadStream = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('lookup'),
    ...commonFields,
    /** Path prefix; `/` and the id of the call are appended. */
    path: z.string().startsWith('/').default('/lookups')
  }),
  z.strictObject({
    kind: z.literal('guarded'),
    ...commonFields,
    path: z.string().startsWith('/').default('/checkouts'),
    /** Share of requests that the caller sends twice at once, to two targets; 0 to 1. */
    repeatShare: share.default(0)
  }),
  z.strictObject({
    kind: z.literal('download'),
    ...commonFields,
    bytes: z.number().int().min(0),
    /** Rate limit of each download; 0 for none. */
    bytesPerSecond: z.number().int().min(0).default(0)
  }),
  z.strictObject({ kind: z.literal('chain'), ...commonFields, depth: z.number().int().min(1).max(7) })
])

/** A change of a test upstream's behaviour during the run. */
const behaviourChange = z.strictObject({
  /** Time of the change, in milliseconds since the start of the run. */
  atMs: z.number().int().min(0),
  /** Admin address of the test upstream. */
  upstream: address,
  behaviour: z.strictObject({
    /** Factor on service times. */
    slowFactor: z.number().min(0).optional(),
    /** Share of requests that are shed before they run, 0 to 1. */
    shedShare: share.optional(),
    /** Number of open connections that go silent, the oldest first. */
    silence: z.number().int().min(1).optional()
  })
})

/** Schema of a plan. */
export const loadPlan = z.strictObject({
  /** Addresses at which nodes take calls. */
  targets: z.array(address).min(1),
  streams: z.array(loadStream).min(1),
  durationMs: durationMs.max(3_600_000),
  /** Calls due before this are sent and audited, but their latency is not recorded. */
  warmupMs: z.number().int().min(0).default(0),
  seed: z.number().int().min(0).default(LOAD_DEFAULTS.seed),
  /** Limit of calls in flight; further calls are queued, and their time in the queue counts as latency. */
  maxInFlight: z.number().int().min(1).max(100_000).default(LOAD_DEFAULTS.maxInFlight),
  connectionsPerTarget: z.number().int().min(1).default(LOAD_DEFAULTS.connectionsPerTarget),
  retry: z.strictObject({
    /** Maximum number of attempts of a call. */
    attempts: z.number().int().min(1).max(100).default(LOAD_DEFAULTS.retry.attempts),
    waitMs: durationMs.default(LOAD_DEFAULTS.retry.waitMs),
    maxWaitMs: durationMs.default(LOAD_DEFAULTS.retry.maxWaitMs)
  }).prefault({}),
  /** Whether to busy-wait before each call, so that it is sent within microseconds of its due time. */
  precise: z.boolean().default(false),
  /** Behaviour changes of test upstreams during the run. */
  changes: z.array(behaviourChange).default([]),
  /** Journal files of the test upstreams, from which lost and duplicate runs are counted. */
  journals: z.array(z.string().min(1)).default([]),
  /** File to which the summary is written, beside standard output. */
  summary: z.string().min(1).optional(),
  /** File to which the plot is written, as SVG. */
  plot: z.string().min(1).optional()
})

export type BehaviourChange = z.output<typeof behaviourChange>

export type LoadPlan = z.output<typeof loadPlan>
export type LoadStream = LoadPlan['streams'][number]
