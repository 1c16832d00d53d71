/**
 * Amplification in a chain of seven services, and goodput of one upstream under overload, on virtual time.
 * Each runs beside its baselines on the same seeds.
 */
import { spreadOf, writeReport } from './BenchReport.js'
import type { Spread } from './BenchReport.js'
import { Chain } from './chain/Chain.js'
import type { ChainPolicy, ChainScenario } from './chain/Chain.js'
import { ADMISSIONS, Overload } from './chain/Overload.js'
import type { OverloadScenario } from './chain/Overload.js'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]

const LOOKUPS = { kind: 'lookup', share: 1, meanMs: 5, deadlineMs: 250 } as const

const MIXED = [
  { kind: 'lookup', share: 0.88, meanMs: 5, deadlineMs: 250 },
  { kind: 'guarded', share: 0.1, meanMs: 8, deadlineMs: 500 },
  { kind: 'download', share: 0.02, meanMs: 100, deadlineMs: 5000 }
] as const

const OVERLOADS: readonly OverloadScenario[] = [
  { name: 'lookups at 130%', slots: 6, load: 1.3, work: [LOOKUPS] },
  { name: 'lookups at 200%', slots: 6, load: 2, work: [LOOKUPS] },
  { name: 'lookups at 130%, 9 slots', slots: 9, load: 1.3, work: [LOOKUPS] },
  { name: 'mixed at 130%', slots: 6, load: 1.3, work: MIXED },
  { name: 'mixed at 70%', slots: 6, load: 0.7, work: MIXED }
]

const CHAINS: readonly ChainScenario[] = [
  { name: 'healthy', failing: 0, slowdown: [1, 1, 1], leafSlots: 24, stalling: 0 },
  { name: 'last service fails 10%', failing: 0.1, slowdown: [1, 1, 1], leafSlots: 24, stalling: 0 },
  { name: 'last service fails 100%', failing: 1, slowdown: [1, 1, 1], leafSlots: 24, stalling: 0 },
  { name: '2% of the last service stall', failing: 0, slowdown: [1, 1, 1], leafSlots: 24, stalling: 0.02 },
  { name: 'one last instance 10 times slower', failing: 0, slowdown: [10, 1, 1], leafSlots: 24, stalling: 0 },
  { name: 'last service 10 times slower', failing: 0, slowdown: [10, 10, 10], leafSlots: 24, stalling: 0 },
  { name: 'last service overloaded', failing: 0, slowdown: [13, 13, 13], leafSlots: 1, stalling: 0 }
]

const POLICIES: readonly ChainPolicy[] = [
  { name: 'one layer with budget', options: {}, tellsLayers: true },
  { name: 'no retries', options: { maxAttempts: 1, hedging: false }, tellsLayers: true },
  {
    name: 'each layer without budget',
    options: { retryShare: 1, burst: 1e9, hedging: false },
    tellsLayers: false
  }
]

function spreads<Result extends object> (results: readonly Result[]): Record<keyof Result, Spread> {
  const fields = Object.keys(results[0] as Result) as Array<keyof Result>
  const entries = fields.map(field => [field, spreadOf(results.map(result => result[field] as number))])
  return Object.fromEntries(entries) as Record<keyof Result, Spread>
}

function row (scenario: string, variant: string, result: Record<string, Spread>): void {
  const cells = Object.entries(result).map(([field, { median, min, max }]) => `${field} ${median} [${min}, ${max}]`)
  console.log(`${scenario} | ${variant} | ${cells.join(' | ')}`)
}

/** An argument on the command line runs only the scenarios whose name has it, and writes nothing. */
const ONLY = process.argv[2] ?? ''

const chain = CHAINS.filter(({ name }) => name.includes(ONLY)).flatMap(scenario => POLICIES.map(policy => {
  const result = spreads(SEEDS.map(seed => new Chain(scenario, policy, seed).run()))
  row(scenario.name, policy.name, result)
  return { scenario: scenario.name, policy: policy.name, ...result }
}))

const overload = OVERLOADS.filter(({ name }) => name.includes(ONLY)).flatMap(scenario => ADMISSIONS.map(admission => {
  const result = spreads(SEEDS.map(seed => new Overload(scenario, admission, seed).run()))
  row(scenario.name, admission, result)
  return { scenario: scenario.name, admission, ...result }
}))

if (ONLY === '') {
  writeReport('chain', { seeds: SEEDS, chain, overload })
}
