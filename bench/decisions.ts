/** Compares ways of choosing an upstream in virtual time: `--scenario NAME --size NAME --seeds N --json --trial`. */
import { execFileSync } from 'node:child_process'
import { mkdirSync, writeFileSync } from 'node:fs'
import { cpus } from 'node:os'
import { parseArgs } from 'node:util'
import { encode } from 'cbor-x'
import { plotOf } from './virtual/Plot.js'
import { runSeeds } from './virtual/Runner.js'
import type { Result } from './virtual/Runner.js'
import { SCENARIOS } from './virtual/Scenarios.js'
import { STRATEGY_NAMES } from './virtual/Strategies.js'
import type { StrategyName } from './virtual/Strategies.js'
import { verdictOf } from './virtual/Targets.js'
import type { Verdict } from './virtual/Targets.js'

const { values } = parseArgs({
  options: {
    scenario: { type: 'string', default: '' },
    size: { type: 'string', default: '' },
    strategy: { type: 'string', default: '' },
    seeds: { type: 'string', default: '10' },
    json: { type: 'boolean', default: false },
    trial: { type: 'boolean', default: false }
  }
})

const EVIDENCE_BYTES = encode([6, 12, 6, 5.25]).length
const seeds = Number(values.seeds)
const names = values.strategy === '' ? STRATEGY_NAMES : values.strategy.split(',') as StrategyName[]
const results: Result[] = []
const verdicts: Verdict[] = []

function print (line: string): void {
  if (!values.json) {
    process.stdout.write(`${line}\n`)
  }
}

function figure (result: Result, name: keyof Result['figures'], digits: number): string {
  const { mean, deviation } = result.figures[name]
  return `${mean.toFixed(digits)}±${deviation.toFixed(digits)}`.padStart(13)
}

function row (result: Result): string {
  const f = result.figures
  return [
    `${result.scenario} ${result.size}`.padEnd(20),
    result.strategy.padEnd(14),
    figure(result, 'p50', 1), figure(result, 'p99', 1), figure(result, 'p999', 1),
    f.refused.mean.toFixed(4).padStart(8), f.failed.mean.toFixed(4).padStart(8), f.retried.mean.toFixed(3).padStart(7),
    f.goodput.mean.toFixed(3).padStart(7), f.messagesPerCall.mean.toFixed(4).padStart(8),
    f.bytesPerCall.mean.toFixed(1).padStart(7), f.recovery.mean.toFixed(2).padStart(6)
  ].join(' ')
}

const started = Date.now()
print('scenario size        strategy                 p50           p99         p99.9  refused   failed retried goodput messages   bytes  recov')
for (const scenario of SCENARIOS.filter(each => values.scenario === '' || values.scenario.split(',').includes(each.name))) {
  for (const size of scenario.sizes.filter(each => values.size === '' || values.size.split(',').includes(each.name))) {
    const group = names.map(name => runSeeds(scenario, size, name, seeds))
    group.forEach(result => print(row(result)))
    results.push(...group)
    const verdict = verdictOf(group)
    if (verdict !== undefined) {
      verdicts.push(verdict)
      const missed = verdict.misses.length === 0 ? 'met' : `MISSED: ${verdict.misses.join('; ')}`
      print(`  p99 ${verdict.p99OverOracle.toFixed(2)}x oracle, ${verdict.p99OverBestBaseline.toFixed(2)}x ${verdict.bestBaseline}: ${missed}`)
    }
  }
}

const missed = verdicts.filter(verdict => verdict.misses.length > 0)
print(`${verdicts.length - missed.length} of ${verdicts.length} met, ${missed.length} missed, ${((Date.now() - started) / 1000).toFixed(0)} s`)

const report = {
  commit: execFileSync('git', ['rev-parse', '--short', 'HEAD']).toString().trim(),
  cores: cpus().length,
  node: process.version,
  date: new Date().toISOString(),
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
  mkdirSync('bench/results', { recursive: true })
  writeFileSync('bench/results/decisions.json', `${JSON.stringify(report, null, 1)}\n`)
  writeFileSync('bench/results/decisions.svg', plotOf(results))
}
