/** Settings of `sassafras-control`, read from one TOML file. */
import { z } from 'zod'
import { KEY_RETENTION_MS, MAX_RECORDS } from '../parts/records/Constants.js'
import { address, byteCount, durationMs, log, metrics, name, place } from '../runtime/SettingsSchemas.js'

/** Defaults of the optional settings. */
export const CONTROL_DEFAULTS = {
  timing: {
    /** Interval of the consensus ticks. */
    tickMs: 10,
    /** Range of the random election timeout. */
    electionMinMs: 300,
    electionMaxMs: 600,
    /** Interval of a leader's heartbeats. */
    heartbeatMs: 50,
    /** How long a leader may serve reads after a quorum last confirmed it; below `electionMinMs`. */
    leaseMs: 250
  },
  records: {
    capacity: MAX_RECORDS,
    /** Time for which the record of a finished at-most-once request is kept, so that its answer can be replayed. */
    horizonMs: KEY_RETENTION_MS,
    /** Size up to which an answer is stored; of a larger one only the status is stored. */
    maxAnswerBytes: 65_536
  },
  storage: {
    /** Log size after which a snapshot is taken, or twice the size of the last snapshot if that is more. */
    snapshotAfterBytes: 8_388_608
  }
} as const

const timing = z.strictObject({
  tickMs: durationMs.default(CONTROL_DEFAULTS.timing.tickMs),
  electionMinMs: durationMs.default(CONTROL_DEFAULTS.timing.electionMinMs),
  electionMaxMs: durationMs.default(CONTROL_DEFAULTS.timing.electionMaxMs),
  heartbeatMs: durationMs.default(CONTROL_DEFAULTS.timing.heartbeatMs),
  leaseMs: durationMs.default(CONTROL_DEFAULTS.timing.leaseMs)
}).superRefine((values, context) => {
  requireBelow(context, values, 'electionMinMs', 'electionMaxMs')
  requireBelow(context, values, 'heartbeatMs', 'electionMinMs')
  requireBelow(context, values, 'leaseMs', 'electionMinMs')
  requireBelow(context, values, 'tickMs', 'heartbeatMs')
}).prefault({})

const records = z.strictObject({
  capacity: z.number().int().min(1).default(CONTROL_DEFAULTS.records.capacity),
  horizonMs: durationMs.default(CONTROL_DEFAULTS.records.horizonMs),
  maxAnswerBytes: byteCount.default(CONTROL_DEFAULTS.records.maxAnswerBytes)
}).prefault({})

const storage = z.strictObject({
  snapshotAfterBytes: byteCount.default(CONTROL_DEFAULTS.storage.snapshotAfterBytes)
}).prefault({})

/** Schema of the settings file of a control replica. */
export const controlSettings = z.strictObject({
  id: name,
  place,
  listen: z.strictObject({
    /** Listener for nodes and for the other replicas. */
    peer: address,
    /** Listener for operators. */
    admin: address
  }),
  /** Folder for all files of the replica. */
  dataFolder: z.string().min(1),
  /** Replicas that form the first group, including this one. */
  replicas: z.array(z.strictObject({ id: name, address, admin: address })).min(1),
  log,
  metrics,
  timing,
  records,
  storage
})

/** Settings of a control replica, with the defaults filled in. */
export type ControlSettings = z.output<typeof controlSettings>

function requireBelow<Key extends string> (
  context: z.RefinementCtx,
  values: Readonly<Record<Key, number>>,
  lower: NoInfer<Key>,
  upper: NoInfer<Key>
): void {
  if (values[lower] < values[upper]) return
  context.addIssue({
    code: 'custom',
    path: [lower],
    message: `is ${values[lower]}, not below ${upper}`,
    params: { expected: `less than ${upper} (${values[upper]})` }
  })
}
