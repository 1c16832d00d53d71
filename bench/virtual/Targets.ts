import type { Result } from './Runner.js'

/** Largest p99 over the oracle's. */
const MAX_P99_OVER_ORACLE = 1.3

/** Smallest goodput at 130% load, over the capacity. */
const MIN_OVERLOAD_GOODPUT = 0.95

/** Most measuring messages for each call. */
const MAX_MESSAGES_PER_CALL = 0.01

/** Largest p99 from 50 ms after a slow-down, over the p99 before. */
const MAX_P99_AFTER_RECOVERY = 1.5

/** Whether the project's way of choosing meets its targets in one scenario at one size. */
export interface Verdict {
  readonly scenario: string
  readonly size: string
  readonly p99OverOracle: number
  readonly p99OverBestBaseline: number
  readonly bestBaseline: string
  /** What is missed, in words; empty when all is met. */
  readonly misses: readonly string[]
}

/**
 * Holds the results of one scenario and size against the targets.
 * @param results One result for each strategy.
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
