import { Mesh } from './Mesh.js'
import type { RunPlan, MeshSize } from './Mesh.js'
import { FAULT_AT_MS, applyScenario } from './Scenarios.js'
import type { Scenario } from './Scenarios.js'
import type { StrategyName } from './Strategies.js'

/** Figures of one run; latencies are in milliseconds. */
export interface Figures {
  readonly p50: number
  readonly p99: number
  readonly p999: number
  /** `refused` and `failed` calls and additional attempts (`retried`), as fractions of the calls. */
  readonly refused: number
  readonly failed: number
  readonly retried: number
  /** Attempts per call, including those of callers' retries. */
  readonly amplification: number
  /** Successful calls as a fraction of the nominal capacity. */
  readonly goodput: number
  readonly messagesPerCall: number
  readonly bytesPerCall: number
  /**
   * p99 of calls that arrive from 50 ms after the fault, divided by the p99 before the fault;
   * 0 in scenarios that do not measure recovery.
   */
  readonly recovery: number
}

/** Mean and standard deviation of a figure over the seeds. */
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
 * Runs one simulation.
 * @param scenario Load and faults.
 * @param size Size of the mesh.
 * @param strategy Strategy of the ingress nodes.
 * @param seed Integer; the same seed gives the same run.
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
 * Runs one simulation per seed and summarizes the figures.
 * @param scenario Load and faults.
 * @param size Size of the mesh.
 * @param strategy Strategy of the ingress nodes.
 * @param seeds Number of seeds; they are 1 to this number.
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
