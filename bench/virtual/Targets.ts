import type { Result } from './Runner.js'

/** Maximum p99 as a multiple of the oracle's. */
const MAX_P99_OVER_ORACLE = 1.3

/** Minimum goodput at 130% load, as a fraction of the nominal capacity. */
const MIN_OVERLOAD_GOODPUT = 0.95

/** Maximum number of measuring messages per call. */
const MAX_MESSAGES_PER_CALL = 0.01

/** Maximum p99 from 50 ms after a slow-down, as a multiple of the p99 before it. */
const MAX_P99_AFTER_RECOVERY = 1.5

/** How the strategy of this project meets its targets in one scenario at one mesh size. */
export interface Verdict {
  readonly scenario: string
  readonly size: string
  readonly p99OverOracle: number
  readonly p99OverBestBaseline: number
  readonly bestBaseline: string
  /** Descriptions of the missed targets; empty when all are met. */
  readonly misses: readonly string[]
}

/**
 * Compares the results of one scenario and size with the targets. Returns undefined unless the results include the
 * oracle, the strategy of this project and at least one baseline.
 * @param results One result per strategy.
 */
export function evaluateTargets (results: readonly Result[]): Verdict | undefined {
  const ours = results.find(result => result.strategy === 'sassafraslead')
  const oracle = results.find(result => result.strategy === 'oracle')
  const baselines = results.filter(result => result !== ours && result !== oracle)
  const best = baselines.sort((first, second) => first.figures.p99.mean - second.figures.p99.mean)[0]
  if (ours === undefined || oracle === undefined || best === undefined) {
    return undefined
  }
  return {
    scenario: ours.scenario,
    size: ours.size,
    p99OverOracle: ours.figures.p99.mean / oracle.figures.p99.mean,
    p99OverBestBaseline: ours.figures.p99.mean / best.figures.p99.mean,
    bestBaseline: best.strategy,
    misses: findMisses(ours, oracle, best)
  }
}

function findMisses (ours: Result, oracle: Result, best: Result): string[] {
  const { p99, goodput, messagesPerCall, recovery } = ours.figures
  const misses: string[] = []
  if (p99.mean > MAX_P99_OVER_ORACLE * oracle.figures.p99.mean) {
    misses.push(`p99 above ${MAX_P99_OVER_ORACLE}x oracle`)
  }
  if (p99.mean > best.figures.p99.mean + p99.deviation + best.figures.p99.deviation) {
    misses.push(`p99 above ${best.strategy}`)
  }
  if (ours.scenario.startsWith('overload') && goodput.mean < MIN_OVERLOAD_GOODPUT) {
    misses.push(`goodput under ${MIN_OVERLOAD_GOODPUT}`)
  }
  if (messagesPerCall.mean > MAX_MESSAGES_PER_CALL) {
    misses.push('messages over 1% of calls')
  }
  if (recovery.mean > MAX_P99_AFTER_RECOVERY) {
    misses.push(`after 50 ms p99 above ${MAX_P99_AFTER_RECOVERY}x steady`)
  }
  return misses
}
