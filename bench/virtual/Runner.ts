import { Mesh } from './Mesh.js'
import type { RunPlan, MeshSize } from './Mesh.js'
import { FAULT_AT_MS, applyScenario } from './Scenarios.js'
import type { Scenario } from './Scenarios.js'
import type { StrategyName } from './Strategies.js'

/** Figures of one run. */
export interface Figures {
  readonly p50: number
  readonly p99: number
  readonly p999: number
  /** Shares of the calls. */
  readonly refused: number
  readonly failed: number
  readonly retried: number
  /** Attempts for each call, comings-back of callers included. */
  readonly amplification: number
  /** Good answers over the nominal capacity. */
  readonly goodput: number
  readonly messagesPerCall: number
  readonly bytesPerCall: number
  /** p99 of arrivals from 50 ms after the fault over the p99 before it; 0 where it has no meaning. */
  readonly recovery: number
}

/** Mean and standard deviation over the seeds. */
export interface SeedStatistics {
  readonly mean: number
  readonly deviation: number
}

/** Result of one strategy in one scenario at one size. */
export interface Result {
  readonly scenario: string
  readonly size: string
  readonly strategy: StrategyName
  readonly figures: { readonly [F in keyof Figures]: SeedStatistics }
}

const MEASURE_FROM_MS = 400
const MEASURE_TO_MS = 2600
const RECOVERY_MS = 50
const RECOVERY_SPAN_MS = 450

/**
 * Runs one strategy once.
 * @param scenario What happens.
 * @param size Size of the service.
 * @param strategy Way of choosing.
 * @param seed Whole number; the same seed gives the same run.
 */
export function runOnce (scenario: Scenario, size: MeshSize, strategy: StrategyName, seed: number): Figures {
  const plan: RunPlan = {
    size,
    strategy,
    seed,
    load: scenario.load,
    callerRetries: 0,
    announcedFactor: 1,
    reportsNoLoad: false,
    messagesPerCall: 0.01,
    measureFromMs: MEASURE_FROM_MS,
    measureToMs: MEASURE_TO_MS,
    ...scenario.plan
  }
  const mesh = new Mesh(plan)
  applyScenario(mesh, scenario)
  mesh.clock.run(plan.measureToMs + mesh.deadlineMs)
  return computeFigures(mesh, scenario)
}

function computeFigures (mesh: Mesh, scenario: Scenario): Figures {
  const { stats, plan } = mesh
  const seconds = (plan.measureToMs - plan.measureFromMs) / 1000
  const calls = Math.max(1, stats.calls)
  return {
    p50: stats.quantile(0.5),
    p99: stats.quantile(0.99),
    p999: stats.quantile(0.999),
    refused: stats.refused / calls,
    failed: stats.failed / calls,
    retried: (stats.attempts - calls) / calls,
    amplification: stats.attempts / calls,
    goodput: stats.ok / (mesh.capacityPerSecond * seconds),
    messagesPerCall: stats.measuringMessages / calls,
    bytesPerCall: stats.measuringBytes / calls,
    recovery: scenario.measuresRecovery === true ? computeRecovery(mesh) : 0
  }
}

function computeRecovery (mesh: Mesh): number {
  const fromMs = FAULT_AT_MS + RECOVERY_MS
  const after = mesh.stats.quantile(0.99, fromMs, fromMs + RECOVERY_SPAN_MS)
  return after / mesh.stats.quantile(0.99, 0, FAULT_AT_MS - RECOVERY_MS)
}

/**
 * Runs one strategy with several seeds.
 * @param scenario What happens.
 * @param size Size of the service.
 * @param strategy Way of choosing.
 * @param seeds Seeds are 1 to this number.
 */
export function runSeeds (scenario: Scenario, size: MeshSize, strategy: StrategyName, seeds: number): Result {
  const runs = Array.from({ length: seeds }, (_none, index) => runOnce(scenario, size, strategy, index + 1))
  const names = Object.keys(runs[0] as Figures) as Array<keyof Figures>
  const entries = names.map(name => [name, computeStatistics(runs.map(run => run[name]))])
  return { scenario: scenario.name, size: size.name, strategy, figures: Object.fromEntries(entries) }
}

function computeStatistics (values: readonly number[]): SeedStatistics {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / Math.max(1, values.length - 1)
  return { mean, deviation: Math.sqrt(variance) }
}
