import { existsSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import type { RepetitionSummary } from '../BenchReport.js'
import type { Provenance } from '../Provenance.js'

type BenchResult = Provenance & { readonly command: string }

/** `bench/results/path.json`. */
export interface PathResult extends BenchResult {
  readonly rates: ReadonlyArray<{
    readonly rate: number
    readonly added: ReadonlyArray<{ readonly name: string, readonly p50Ms: number, readonly p99Ms: number }>
    readonly ingressMicros: number
    readonly upstreamSideMicros: number
  }>
}

/** `bench/results/footprint.json`. */
export interface FootprintResult extends BenchResult {
  readonly points: ReadonlyArray<{
    readonly nodes: number
    readonly nodeAtRest: ProcessCost
    readonly nodeUnderLoad: ProcessCost
    readonly replicaAtRest: ProcessCost
  }>
}

/** Processor time and memory of one process. */
export interface ProcessCost {
  readonly cpuPercentOfCore: number
  readonly memoryMegabytes: number
}

/** Cost of one process in a simulated mesh. */
export interface SpreadCost {
  readonly messagesPerSecond: number
  readonly bytesPerSecond: number
  readonly peakBytesInOneSecond: number
  readonly cpuPercentOfCore: number
}

/** `bench/results/spread.json`. */
export interface SpreadResult extends BenchResult {
  readonly points: ReadonlyArray<{
    readonly nodes: number
    readonly scenario: string
    readonly node: SpreadCost
    readonly replica: SpreadCost
    readonly spreadMs?: { readonly max: number }
  }>
}

/** `bench/results/records.json`. */
export interface RecordsResult extends BenchResult {
  readonly points: ReadonlyArray<{
    readonly records: number
    readonly bytesPerRecord: number
    readonly beginNs: number
    readonly finishNs: number
  }>
}

interface Quantiles {
  readonly p50: number
  readonly p99: number
  readonly max: number
}

/** `bench/results/state.json`. */
export interface StateResult extends BenchResult {
  readonly commits: ReadonlyArray<{
    readonly inFlight: number, readonly commitsPerSecond: number, readonly latencyMs: Quantiles
  }>
  readonly leaderLoss: { readonly kills: number, readonly untilCommitMs: Quantiles }
  readonly catchUp: ReadonlyArray<{ readonly entries: number, readonly emptyDiskMs: number }>
  readonly restart: { readonly changes: number, readonly untilServedMs: number }
  readonly snapshots: ReadonlyArray<{ readonly records: number, readonly takeMs: number, readonly partMs: Quantiles }>
  readonly inForce: ReadonlyArray<{
    readonly nodes: number
    readonly untilAllHaveMs: Quantiles
    readonly bytesPerNodeSecond: number
    readonly controlCorePercent: number
  }>
}

/** `bench/results/parts.json`. */
export interface PartsResult extends BenchResult {
  readonly costs: ReadonlyArray<{
    readonly part: string
    readonly decision: string
    readonly size: number
    readonly nanosecondsPerDecision: RepetitionSummary
  }>
}

/** All results that the capacity page is computed from. */
export interface Results {
  readonly path: PathResult
  readonly footprint: FootprintResult
  readonly spread: SpreadResult
  readonly records: RecordsResult
  readonly state: StateResult
  readonly parts: PartsResult
}

const RESULT_NAMES: ReadonlyArray<keyof Results> = ['path', 'footprint', 'spread', 'records', 'state', 'parts']

/**
 * Reads all results.
 * @throws Error that names every missing result and the command that creates it.
 */
export function readResults (folder: string): Results {
  const missing = RESULT_NAMES.filter(name => !existsSync(join(folder, `${name}.json`)))
  if (missing.length > 0) {
    throw new Error(`results missing: ${missing.map(name => `${name} (npm run bench:${name})`).join(', ')}`)
  }
  const entries = RESULT_NAMES.map(name => [name, JSON.parse(readFileSync(join(folder, `${name}.json`), 'utf8'))])
  return Object.fromEntries(entries) as Results
}
