/**
 * Compares strategies for choosing an upstream, in a simulation on a virtual clock.
 * Options: `--scenario`, `--size` and `--strategy` take comma-separated names; `--seeds N` runs seeds 1 to N;
 * `--json` prints the report as JSON instead of a table; `--trial` writes no files; `--workers N` simulates
 * N scenarios at a time, each in a process of its own.
 */
import { execFile } from 'node:child_process'
import { writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { parseArgs, promisify } from 'node:util'
import { encode } from 'cbor-x'
import { writeReport } from './BenchReport.js'
import { renderPlot } from './virtual/Plot.js'
import { runSeeds } from './virtual/Runner.js'
import type { Result } from './virtual/Runner.js'
import { SCENARIOS } from './virtual/Scenarios.js'
import type { Scenario } from './virtual/Scenarios.js'
import { STRATEGY_NAMES } from './virtual/Strategies.js'
import type { StrategyName } from './virtual/Strategies.js'
import { evaluateTargets } from './virtual/Targets.js'
import type { Verdict } from './virtual/Targets.js'

const { values } = parseArgs({
  options: {
    scenario: { type: 'string', default: '' },
    size: { type: 'string', default: '' },
    strategy: { type: 'string', default: '' },
    seeds: { type: 'string', default: '10' },
    json: { type: 'boolean', default: false },
    workers: { type: 'string', default: '1' },
    trial: { type: 'boolean', default: false }
  }
})

/** Encoded size of the load evidence that each answer carries. */
const EVIDENCE_BYTES = encode([6, 12, 6, 5.25]).length
const seeds = Number(values.seeds)
const strategyNames = values.strategy === '' ? STRATEGY_NAMES : values.strategy.split(',') as StrategyName[]
const results: Result[] = []
const verdicts: Verdict[] = []

function print (line: string): void {
  if (!values.json) {
    process.stdout.write(`${line}\n`)
  }
}

function formatFigure (result: Result, name: keyof Result['figures'], digits: number): string {
  const { mean, deviation } = result.figures[name]
  return `${mean.toFixed(digits)}±${deviation.toFixed(digits)}`.padStart(13)
}

function formatRow (result: Result): string {
  const figures = result.figures
  return [
    `${result.scenario} ${result.size}`.padEnd(20),
    result.strategy.padEnd(14),
    formatFigure(result, 'p50', 1), formatFigure(result, 'p99', 1), formatFigure(result, 'p999', 1),
    figures.refused.mean.toFixed(4).padStart(8), figures.failed.mean.toFixed(4).padStart(8),
    figures.retried.mean.toFixed(3).padStart(7),
    figures.goodput.mean.toFixed(3).padStart(7), figures.messagesPerCall.mean.toFixed(4).padStart(8),
    figures.bytesPerCall.mean.toFixed(1).padStart(7), figures.recovery.mean.toFixed(2).padStart(6)
  ].join(' ')
}

/** Simulates one scenario at each selected size with each selected strategy. */
function runScenario (scenario: Scenario): Result[] {
  return scenario.sizes
    .filter(size => values.size === '' || values.size.split(',').includes(size.name))
    .flatMap(size => strategyNames.map(name => runSeeds(scenario, size, name, seeds)))
}

/** Simulates one scenario in a child process, so that several scenarios run in parallel. */
async function runInChildProcess (scenario: Scenario): Promise<Result[]> {
  const args = [fileURLToPath(import.meta.url), '--json', '--trial', '--seeds', values.seeds, '--scenario', scenario.name]
  const options = { maxBuffer: 64 * 1024 * 1024 }
  const child = await promisify(execFile)(process.execPath, [
    ...args, '--size', values.size, '--strategy', values.strategy
  ], options)
  return (JSON.parse(child.stdout) as { results: Result[] }).results
}

/** Prints the rows of one scenario, compares them with the targets and adds both to the report. */
function recordResults (scenarioResults: readonly Result[]): void {
  for (const size of new Set(scenarioResults.map(result => result.size))) {
    const group = scenarioResults.filter(result => result.size === size)
    group.forEach(result => print(formatRow(result)))
    results.push(...group)
    const verdict = evaluateTargets(group)
    if (verdict === undefined) {
      continue
    }
    verdicts.push(verdict)
    const outcome = verdict.misses.length === 0 ? 'met' : `MISSED: ${verdict.misses.join('; ')}`
    const ratios = `${verdict.p99OverOracle.toFixed(2)}x oracle, ${verdict.p99OverBestBaseline.toFixed(2)}x ${verdict.bestBaseline}`
    print(`  p99 ${ratios}: ${outcome}`)
  }
}

const started = Date.now()
print('scenario size        strategy                 p50           p99         p99.9  refused   failed retried goodput messages   bytes  recov')
const selectedScenarios = SCENARIOS.filter(each => values.scenario === '' || values.scenario.split(',').includes(each.name))
const workers = Number(values.workers)
if (workers <= 1) {
  selectedScenarios.forEach(scenario => recordResults(runScenario(scenario)))
} else {
  const resultsByScenario = new Map<Scenario, Result[]>()
  const queue = [...selectedScenarios].reverse()
  await Promise.all(Array.from({ length: workers }, async () => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      resultsByScenario.set(next, await runInChildProcess(next))
    }
  }))
  selectedScenarios.forEach(scenario => recordResults(resultsByScenario.get(scenario) ?? []))
}

const missed = verdicts.filter(verdict => verdict.misses.length > 0)
print(`${verdicts.length - missed.length} of ${verdicts.length} met, ${missed.length} missed, ${((Date.now() - started) / 1000).toFixed(0)} s`)

const report = {
  command: `npm run bench:decisions -- ${process.argv.slice(2).join(' ')}`.trim(),
  seeds,
  evidenceBytesPerAnswer: EVIDENCE_BYTES,
  verdicts,
  results
}
if (values.json) {
  process.stdout.write(`${JSON.stringify(report)}\n`)
}
if (!values.trial) {
  writeReport('decisions', report)
  writeFileSync('bench/results/decisions.svg', renderPlot(results))
}
