/** Plan of a load run, read from one TOML file. */
import { z } from 'zod'
import { address, durationMs, name, share } from '../runtime/SettingsSchemas.js'

/** Values for what the file leaves out. */
export const LOAD_DEFAULTS = {
  seed: 1,
  maxInFlight: 512,
  connectionsPerTarget: 64,
  /** Time that a call may take in all, its repeats included. */
  deadlineMs: 2000,
  retry: {
    attempts: 4,
    /** Wait before a repeat that the answer gave no time for. */
    waitMs: 50,
    /** Longest wait that an answer may ask for. */
    maxWaitMs: 2000
  }
} as const

const commonFields = {
  service: name,
  /** Calls in a second, sent at seeded random times whatever the answers do. */
  rate: z.number().positive().max(100_000),
  deadlineMs: durationMs.default(LOAD_DEFAULTS.deadlineMs)
}

const loadStream = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('lookup'),
    ...commonFields,
    /** Path that the id of the call follows. */
    path: z.string().startsWith('/').default('/lookups')
  }),
  z.strictObject({
    kind: z.literal('guarded'),
    ...commonFields,
    path: z.string().startsWith('/').default('/checkouts'),
    /** Share of requests that their caller sends a second time at once, at another node. */
    repeatShare: share.default(0)
  }),
  z.strictObject({
    kind: z.literal('download'),
    ...commonFields,
    bytes: z.number().int().min(0),
    /** Rate limit of one download; 0 for none. */
    bytesPerSecond: z.number().int().min(0).default(0)
  }),
  z.strictObject({ kind: z.literal('chain'), ...commonFields, depth: z.number().int().min(1).max(7) })
])

/** A change of a stand-in's behaviour in the middle of the run. */
const behaviourChange = z.strictObject({
  /** When, in milliseconds since the start. */
  atMs: z.number().int().min(0),
  /** Admin address of the stand-in. */
  upstream: address,
  behaviour: z.strictObject({
    /** Multiplies service times. */
    slowFactor: z.number().min(0).optional(),
    /** Share of requests shed without a run. */
    shedShare: share.optional(),
    /** How many open connections go silent, the oldest first. */
    silence: z.number().int().min(1).optional()
  })
})

/** What a plan must hold. */
export const loadPlan = z.strictObject({
  /** Addresses of nodes for callers. */
  targets: z.array(address).min(1),
  streams: z.array(loadStream).min(1),
  durationMs: durationMs.max(3_600_000),
  /** Calls due before this are sent and audited, and their latency is not counted. */
  warmupMs: z.number().int().min(0).default(0),
  seed: z.number().int().min(0).default(LOAD_DEFAULTS.seed),
  /** Calls in flight at once; later ones wait, and their wait counts as latency. */
  maxInFlight: z.number().int().min(1).max(100_000).default(LOAD_DEFAULTS.maxInFlight),
  connectionsPerTarget: z.number().int().min(1).default(LOAD_DEFAULTS.connectionsPerTarget),
  retry: z.strictObject({
    /** Most times that a call is sent. */
    attempts: z.number().int().min(1).max(100).default(LOAD_DEFAULTS.retry.attempts),
    waitMs: durationMs.default(LOAD_DEFAULTS.retry.waitMs),
    maxWaitMs: durationMs.default(LOAD_DEFAULTS.retry.maxWaitMs)
  }).prefault({}),
  /** Whether to spend processor time on sending each call within microseconds of its due time. */
  precise: z.boolean().default(false),
  /** What happens to the stand-ins while calls run. */
  changes: z.array(behaviourChange).default([]),
  /** Journals of the stand-ins, to count lost and doubled runs. */
  journals: z.array(z.string().min(1)).default([]),
  /** Where the summary goes, beside standard output. */
  summary: z.string().min(1).optional(),
  /** Where the plot goes, as SVG. */
  plot: z.string().min(1).optional()
})

export type BehaviourChange = z.output<typeof behaviourChange>

export type LoadPlan = z.output<typeof loadPlan>
export type LoadStream = LoadPlan['streams'][number]
