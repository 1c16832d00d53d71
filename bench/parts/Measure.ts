import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { summariseRepetitions } from '../BenchReport.js'
import type { RepetitionSummary } from '../BenchReport.js'

/** One part at one size, ready to take decisions. */
export interface PartCase {
  readonly part: string
  /** What one decision is, for example `choose and answered`. */
  readonly decision: string
  /** Instances, records or members that the part knows. */
  readonly size: number
  /** Builds the part at its size and returns one decision; the number grows by one from call to call. */
  readonly build: () => (decision: number) => unknown
}

/** What one case gave. */
export interface PartCost {
  readonly part: string
  readonly decision: string
  readonly size: number
  /** Processor time. */
  readonly nanosecondsPerDecision: RepetitionSummary
  readonly bytesPerDecision: RepetitionSummary
  /** Heap that the built part holds, in bytes, without buffers outside the heap. */
  readonly heapBytes: RepetitionSummary
}

const REPETITIONS = 7

const WARM_UP_DECISIONS = 20_000

const TIMED_DECISIONS = 50_000

/** Few enough that what they allocate fits the young generation without a collection. */
const ALLOCATING_DECISIONS = 1000

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/**
 * Measures a case over some repetitions, each with a newly built part.
 * @param partCase What to measure.
 */
export function measure (partCase: PartCase): PartCost {
  const repetitions = Array.from({ length: REPETITIONS }, () => measureRepetition(partCase))
  const { part, decision, size } = partCase
  return {
    part,
    decision,
    size,
    nanosecondsPerDecision: summariseRepetitions(repetitions.map(({ nanoseconds }) => nanoseconds)),
    bytesPerDecision: summariseRepetitions(repetitions.map(({ bytes }) => bytes)),
    heapBytes: summariseRepetitions(repetitions.map(({ heapBytes }) => heapBytes))
  }
}

interface Repetition {
  readonly nanoseconds: number
  readonly bytes: number
  readonly heapBytes: number
}

/** A function of its own, so that the part is garbage once it returns. */
function measureRepetition (partCase: PartCase): Repetition {
  const baselineBytes = measureHeapBytes()
  const decide = partCase.build()
  const heapBytes = measureHeapBytes() - baselineBytes
  let decision = runDecisions(decide, 0, WARM_UP_DECISIONS)
  const startNs = cpuTimeNs()
  decision = runDecisions(decide, decision, TIMED_DECISIONS)
  const nanoseconds = (cpuTimeNs() - startNs) / TIMED_DECISIONS
  const beforeBytes = measureHeapBytes()
  runDecisions(decide, decision, ALLOCATING_DECISIONS)
  const bytes = Math.max(0, process.memoryUsage().heapUsed - beforeBytes) / ALLOCATING_DECISIONS
  return { nanoseconds, bytes, heapBytes }
}

function measureHeapBytes (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

/** Processor time of the whole process, with its collector's threads; waiting for a busy machine doesn't count. */
function cpuTimeNs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) * 1000
}

function runDecisions (decide: (decision: number) => unknown, from: number, count: number): number {
  const end = from + count
  for (let decision = from; decision < end; decision++) {
    decide(decision)
  }
  return end
}
