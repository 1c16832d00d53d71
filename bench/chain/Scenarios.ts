import type { ChainPolicy, ChainScenario } from './Chain.js'
import type { OverloadScenario } from './Overload.js'

const LOOKUPS = { kind: 'lookup', share: 1, meanMs: 5, deadlineMs: 250 } as const

const MIXED = [
  { kind: 'lookup', share: 0.88, meanMs: 5, deadlineMs: 250 },
  { kind: 'guarded', share: 0.1, meanMs: 8, deadlineMs: 500 },
  { kind: 'download', share: 0.02, meanMs: 100, deadlineMs: 5000 }
] as const

/** Offered loads on one upstream. */
export const OVERLOADS: readonly OverloadScenario[] = [
  { name: 'lookups at 130%', slots: 6, load: 1.3, work: [LOOKUPS] },
  { name: 'lookups at 200%', slots: 6, load: 2, work: [LOOKUPS] },
  { name: 'lookups at 130%, 9 slots', slots: 9, load: 1.3, work: [LOOKUPS] },
  { name: 'mixed at 130%', slots: 6, load: 1.3, work: MIXED },
  { name: 'mixed at 70%', slots: 6, load: 0.7, work: MIXED }
]

/** Faults of the last service of the chain. */
export const CHAINS: readonly ChainScenario[] = [
  { name: 'healthy', failing: 0, slowdown: [1, 1, 1], leafSlots: 24, stalling: 0 },
  { name: 'last service fails 10%', failing: 0.1, slowdown: [1, 1, 1], leafSlots: 24, stalling: 0 },
  { name: 'last service fails 100%', failing: 1, slowdown: [1, 1, 1], leafSlots: 24, stalling: 0 },
  { name: '2% of the last service stall', failing: 0, slowdown: [1, 1, 1], leafSlots: 24, stalling: 0.02 },
  { name: 'one last instance 10 times slower', failing: 0, slowdown: [10, 1, 1], leafSlots: 24, stalling: 0 },
  { name: 'last service 10 times slower', failing: 0, slowdown: [10, 10, 10], leafSlots: 24, stalling: 0 },
  { name: 'last service overloaded', failing: 0, slowdown: [13, 13, 13], leafSlots: 1, stalling: 0 }
]

/** Retry policies to compare; the first is the one of this project, the others are baselines. */
export const POLICIES: readonly ChainPolicy[] = [
  { name: 'one layer with budget', options: {}, signalsRetriesAbove: true },
  { name: 'no retries', options: { maxAttempts: 1, hedging: false }, signalsRetriesAbove: true },
  {
    name: 'each layer without budget',
    options: { retryShare: 1, burst: 1e9, hedging: false },
    signalsRetriesAbove: false
  }
]
