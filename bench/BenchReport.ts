import { mkdirSync, writeFileSync } from 'node:fs'
import { describeRun } from './Provenance.js'

/** Read when the bench starts, as commits may be made while it runs. */
const PROVENANCE = describeRun()

/** Median and range of several repetitions. */
export interface RepetitionSummary {
  readonly median: number
  readonly min: number
  readonly max: number
}

/**
 * Summarises repetitions.
 * @param values One number for each repetition, at least one.
 */
export function summariseRepetitions (values: readonly number[]): RepetitionSummary {
  const sorted = [...values].sort((a, b) => a - b)
  return {
    median: round(sorted[Math.floor(sorted.length / 2)] ?? 0),
    min: round(sorted[0] ?? 0),
    max: round(sorted[sorted.length - 1] ?? 0)
  }
}

/**
 * Writes the results of a bench with the commit, machine and command that they come from.
 * @param name File name under bench/results without its extension.
 * @param content Seeds, settings and results.
 */
export function writeReport (name: string, content: object): void {
  const header = { ...PROVENANCE, command: `npm run bench:${name}` }
  mkdirSync('bench/results', { recursive: true })
  writeFileSync(`bench/results/${name}.json`, JSON.stringify({ ...header, ...content }, null, 2) + '\n')
}

/**
 * Returns the value below which a share of the samples lies, 0 without samples.
 * @param sorted Samples in ascending order.
 * @param share 0 to 1.
 */
export function quantile (sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

function round (value: number): number {
  return Number(value.toPrecision(4))
}
