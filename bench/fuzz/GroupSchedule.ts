import fc from 'fast-check'

/** Selects the leader of the newest term where a step takes a replica's number. */
export const NEWEST_LEADER = 100

/** Selects the replica that considers itself the leader in the oldest term. */
export const OLDEST_LEADER = 101

/** One step of a schedule. Numbers that select a replica or message are taken modulo the number of them. */
export type ScheduleStep =
  /** Advances all clocks; messages are lost, duplicated, delayed and reordered at the given rates. */
  | { readonly op: 'run', readonly ms: number, readonly lossPercent: number, readonly load: number, readonly seed: number }
  /** Advances the clock of one replica alone, as if it had received nothing for that time: it may start an election. */
  | { readonly op: 'lag', readonly replica: number, readonly ms: number }
  | { readonly op: 'deliver', readonly pick: number, readonly count: number }
  | { readonly op: 'sync', readonly replica: number }
  | { readonly op: 'propose', readonly replica: number, readonly count: number }
  | { readonly op: 'read', readonly replica: number }
  | { readonly op: 'snapshot', readonly replica: number }
  | { readonly op: 'cut', readonly from: number, readonly to: number }
  | { readonly op: 'isolate', readonly replica: number }
  | { readonly op: 'heal' }
  | { readonly op: 'freeze', readonly replica: number }
  | { readonly op: 'thaw' }
  /** Ends a process, which loses its memory; with `power` its disk also loses what was not synced. */
  | { readonly op: 'crash', readonly replica: number, readonly power: boolean, readonly seed: number }
  | { readonly op: 'restart' }
  /** Crashes a replica and restarts it at once. */
  | { readonly op: 'bounce', readonly replica: number, readonly power: boolean, readonly seed: number }
  /** Loses the disk; the replica restarts under a new identity. */
  | { readonly op: 'wipe', readonly replica: number }
  | { readonly op: 'addMember', readonly replica: number }
  | { readonly op: 'removeMember', readonly replica: number }

const replica = fc.oneof(
  { weight: 4, arbitrary: fc.nat({ max: 4 }) },
  { weight: 2, arbitrary: fc.constant(NEWEST_LEADER) },
  { weight: 1, arbitrary: fc.constant(OLDEST_LEADER) }
)
const seed = fc.nat({ max: 9999 })

const run = fc.record({
  op: fc.constant('run' as const),
  ms: fc.constantFrom(25, 75, 150, 400, 900),
  lossPercent: fc.constantFrom(0, 0, 10, 40),
  load: fc.constantFrom(0, 0, 1, 2),
  seed
})

/** Steps, weighted so that violations are found early. */
const step: fc.Arbitrary<ScheduleStep> = fc.oneof(
  { weight: 8, arbitrary: run },
  { weight: 4, arbitrary: fc.record({ op: fc.constant('lag' as const), replica, ms: fc.constantFrom(100, 700) }) },
  { weight: 5, arbitrary: fc.record({ op: fc.constant('deliver' as const), pick: seed, count: fc.nat({ max: 6 }) }) },
  { weight: 3, arbitrary: fc.record({ op: fc.constant('sync' as const), replica }) },
  { weight: 5, arbitrary: fc.record({ op: fc.constant('propose' as const), replica, count: fc.constantFrom(1, 1, 3) }) },
  { weight: 3, arbitrary: fc.record({ op: fc.constant('read' as const), replica }) },
  { weight: 2, arbitrary: fc.record({ op: fc.constant('snapshot' as const), replica }) },
  { weight: 2, arbitrary: fc.record({ op: fc.constant('cut' as const), from: replica, to: replica }) },
  { weight: 3, arbitrary: fc.record({ op: fc.constant('isolate' as const), replica }) },
  { weight: 3, arbitrary: fc.constant({ op: 'heal' as const }) },
  { weight: 2, arbitrary: fc.record({ op: fc.constant('freeze' as const), replica }) },
  { weight: 2, arbitrary: fc.constant({ op: 'thaw' as const }) },
  { weight: 3, arbitrary: fc.record({ op: fc.constant('crash' as const), replica, power: fc.boolean(), seed }) },
  { weight: 3, arbitrary: fc.constant({ op: 'restart' as const }) },
  { weight: 2, arbitrary: fc.record({ op: fc.constant('bounce' as const), replica, power: fc.boolean(), seed }) },
  { weight: 1, arbitrary: fc.record({ op: fc.constant('wipe' as const), replica }) },
  { weight: 2, arbitrary: fc.record({ op: fc.constant('addMember' as const), replica }) },
  { weight: 2, arbitrary: fc.record({ op: fc.constant('removeMember' as const), replica }) }
)

/** Input of a group run. */
export interface GroupSchedule {
  /** Number of initial members. */
  readonly size: number
  /** Seed of the random numbers of all replicas. */
  readonly seed: number
  readonly steps: readonly ScheduleStep[]
}

/** Schedules of up to 40 steps for groups of three or, less often, five replicas. */
export const groupSchedules: fc.Arbitrary<GroupSchedule> = fc.record({
  size: fc.constantFrom(3, 3, 3, 5),
  seed,
  steps: fc.array(step, { minLength: 8, maxLength: 40, size: 'max' })
})

/** Single messages, syncs, elections and restarts, which interleave more finely than the steps above. */
const fineStep: fc.Arbitrary<ScheduleStep> = fc.oneof(
  { weight: 12, arbitrary: fc.record({ op: fc.constant('deliver' as const), pick: seed, count: fc.nat({ max: 4 }) }) },
  { weight: 6, arbitrary: fc.record({ op: fc.constant('sync' as const), replica }) },
  { weight: 4, arbitrary: fc.record({ op: fc.constant('lag' as const), replica, ms: fc.constant(700) }) },
  { weight: 3, arbitrary: fc.record({ op: fc.constant('bounce' as const), replica, power: fc.boolean(), seed }) },
  { weight: 2, arbitrary: fc.record({ op: fc.constant('propose' as const), replica, count: fc.constant(1) }) },
  { weight: 1, arbitrary: fc.record({ op: fc.constant('isolate' as const), replica }) },
  { weight: 1, arbitrary: fc.constant({ op: 'heal' as const }) }
)

/** Schedules of up to 60 fine-grained steps for groups of three replicas. */
export const fineSchedules: fc.Arbitrary<GroupSchedule> = fc.record({
  size: fc.constant(3),
  seed,
  steps: fc.array(fineStep, { minLength: 20, maxLength: 60, size: 'max' })
})
