/**
 * Simulates retry amplification in a chain of seven services, and goodput of one upstream under overload, on a
 * virtual clock. Each scenario runs with the parts of this project and with baselines, on the same seeds.
 */
import { summariseRepetitions, writeReport } from './BenchReport.js'
import type { RepetitionSummary } from './BenchReport.js'
import { Chain } from './chain/Chain.js'
import { ADMISSIONS, Overload } from './chain/Overload.js'
import { CHAINS, OVERLOADS, POLICIES } from './chain/Scenarios.js'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]

function summarizeRuns<Result extends object> (results: readonly Result[]): Record<keyof Result, RepetitionSummary> {
  const fields = Object.keys(results[0] as Result) as Array<keyof Result>
  const entries = fields.map(field => [field, summariseRepetitions(results.map(result => result[field] as number))])
  return Object.fromEntries(entries) as Record<keyof Result, RepetitionSummary>
}

function printRow (scenario: string, variant: string, result: Record<string, RepetitionSummary>): void {
  const cells = Object.entries(result).map(([field, { median, min, max }]) => `${field} ${median} [${min}, ${max}]`)
  console.log(`${scenario} | ${variant} | ${cells.join(' | ')}`)
}

/** With a command-line argument only the scenarios whose name contains it run, and no report is written. */
const NAME_FILTER = process.argv[2] ?? ''

const chain = CHAINS.filter(({ name }) => name.includes(NAME_FILTER)).flatMap(scenario => POLICIES.map(policy => {
  const result = summarizeRuns(SEEDS.map(seed => new Chain(scenario, policy, seed).run()))
  printRow(scenario.name, policy.name, result)
  return { scenario: scenario.name, policy: policy.name, ...result }
}))

const overload = OVERLOADS.filter(
  ({ name }) => name.includes(NAME_FILTER)
).flatMap(scenario => ADMISSIONS.map(admission => {
  const result = summarizeRuns(SEEDS.map(seed => new Overload(scenario, admission, seed).run()))
  printRow(scenario.name, admission, result)
  return { scenario: scenario.name, admission, ...result }
}))

if (NAME_FILTER === '') {
  writeReport('chain', { seeds: SEEDS, chain, overload })
}
