import { execFileSync } from 'node:child_process'
import { mkdirSync, writeFileSync } from 'node:fs'
import { cpus } from 'node:os'
import { join } from 'node:path'

const FOLDER = join('bench', 'results')

/** Where a result comes from. */
export interface Provenance {
  readonly commit: string
  readonly cores: number
  readonly node: string
  readonly date: string
  readonly command: string
}

/** Describes this run. */
export function describeRun (command: string): Provenance {
  const commit = execFileSync('git', ['rev-parse', '--short', 'HEAD']).toString().trim()
  const changed = execFileSync('git', ['status', '--porcelain', '--', 'src', 'bench/support']).toString().trim()
  return {
    commit: changed === '' ? commit : `${commit} with changes`,
    cores: cpus().length,
    node: process.version,
    date: new Date().toISOString().slice(0, 10),
    command
  }
}

/**
 * Writes `bench/results/NAME.json`.
 * @param name Of the bench.
 */
export function writeResult (name: string, command: string, result: object): void {
  mkdirSync(FOLDER, { recursive: true })
  const text = JSON.stringify({ ...describeRun(command), ...result }, null, 2)
  writeFileSync(join(FOLDER, `${name}.json`), `${text}\n`)
}
