import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { summariseRepetitions } from '../BenchReport.js'
import type { RepetitionSummary } from '../BenchReport.js'

/** A part at one size, with a decision to measure. */
export interface PartCase {
  readonly part: string
  /** Events that make up one decision, for example `choose and answered`. */
  readonly decision: string
  /** Number of instances, records or members that the part holds. */
  readonly size: number
  /** Builds the part at its size and returns a function that takes one decision; its argument grows by 1 per call. */
  readonly build: () => (decision: number) => unknown
}

/** Measured cost of one case. */
export interface PartCost {
  readonly part: string
  readonly decision: string
  readonly size: number
  /** Processor time of the process, including garbage collection. */
  readonly nanosecondsPerDecision: RepetitionSummary
  /** Heap allocated per decision. */
  readonly bytesPerDecision: RepetitionSummary
  /** Heap held by the newly built part, without buffers outside the heap. */
  readonly heapBytes: RepetitionSummary
}

const REPETITIONS = 7

const WARM_UP_DECISIONS = 20_000

const TIMED_DECISIONS = 50_000

/** Few enough that their allocations fit in the young generation without a garbage collection. */
const ALLOCATING_DECISIONS = 1000

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/**
 * Measures a case over several repetitions, each with a newly built part.
 * @param partCase Case to measure.
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

/** Measures one newly built part. A separate function, so that the part can be collected once it returns. */
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

/** Heap in use after a full garbage collection. */
function measureHeapBytes (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

/** Processor time of the whole process, including garbage collector threads but not time spent waiting for a core. */
function cpuTimeNs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) * 1000
}

/** Takes `count` decisions and returns the number of the next one. */
function runDecisions (decide: (decision: number) => unknown, from: number, count: number): number {
  const end = from + count
  for (let decision = from; decision < end; decision++) {
    decide(decision)
  }
  return end
}
