import { SeededRandom } from '../../src/parts/SeededRandom.js'

/** Kinds of faults, with their relative frequency. */
const FAULT_WEIGHTS = {
  killControl: 3,
  killAllControls: 2,
  killEverything: 1,
  killAfterAcknowledgement: 3,
  killAllAfterAcknowledgement: 2,
  stopControl: 3,
  pauseControl: 3,
  pauseMajority: 1,
  wipeControl: 2,
  wipeAndKillAll: 2,
  replacePlanned: 2,
  replaceLost: 2,
  killNode: 3,
  stopNode: 3,
  pauseNode: 3,
  hangUp: 2
} as const

/** A kind of fault. */
export type HistoryFaultKind = keyof typeof FAULT_WEIGHTS

/** A fault of a schedule. */
export interface HistoryFault {
  /** Milliseconds since the first configuration was acknowledged. */
  readonly atMs: number
  readonly kind: HistoryFaultKind
  /** Number from 0 to below 1 that selects the machine. */
  readonly pick: number
  readonly forMs: number
}

/** What a run plays. */
export interface HistoryPlan {
  readonly seed: number
  readonly controls: number
  readonly nodes: number
  readonly operators: number
  /** Processes that take processor time beside the run. */
  readonly busyProcesses: number
  readonly faults: readonly HistoryFault[]
}

/** Time without faults at the start and at the end, in milliseconds. */
const FAULT_FREE_MS = 3000

/** Mean pauses between two faults, in milliseconds: overlapping, in series, and far enough apart for calm between. */
const MEAN_PAUSES_MS = [600, 2000, 6000] as const

/** Shortest fault, the range above it, and that of the long ones, in ms: the group is stable in the midst of these. */
const MIN_FAULT_MS = 100
const FAULT_RANGE_MS = 3500
const LONG_FAULT_SHARE = 0.3
const LONG_FAULT_RANGE_MS = 12_000

/** Every so many seeds, a run is beside busy processes, and another with many nodes. */
const BUSY_EVERY = 7
const BUSY_PROCESSES = 6
const LARGE_EVERY = 10

/** Draws what a run plays; the same seed and length give the same plan. */
export function drawPlan (seed: number, lengthMs: number): HistoryPlan {
  const random = new SeededRandom(seed * 6007 + 3)
  const draw = (from: number, to: number): number => from + Math.floor((to - from + 1) * random.next())
  const isLarge = seed % LARGE_EVERY === LARGE_EVERY - 1
  const controls = 3 + 2 * draw(0, 2)
  const nodes = isLarge ? draw(30, 45) : draw(3, 6)
  const operators = draw(2, 6)
  const meanPauseMs = MEAN_PAUSES_MS[draw(0, MEAN_PAUSES_MS.length - 1)] as number
  const faults: HistoryFault[] = []
  for (let atMs = FAULT_FREE_MS; atMs < lengthMs - FAULT_FREE_MS; atMs += 2 * meanPauseMs * random.next()) {
    const kind = drawKind(random.next())
    const rangeMs = random.next() < LONG_FAULT_SHARE ? LONG_FAULT_RANGE_MS : FAULT_RANGE_MS
    faults.push({ atMs: Math.round(atMs), kind, pick: random.next(), forMs: MIN_FAULT_MS + draw(0, rangeMs) })
  }
  const busyProcesses = seed % BUSY_EVERY === BUSY_EVERY - 1 ? BUSY_PROCESSES : 0
  return { seed, controls, nodes, operators, busyProcesses, faults }
}

function drawKind (share: number): HistoryFaultKind {
  const kinds = Object.entries(FAULT_WEIGHTS) as Array<[HistoryFaultKind, number]>
  let remaining = share * kinds.reduce((sum, [, weight]) => sum + weight, 0)
  for (const [kind, weight] of kinds) {
    remaining -= weight
    if (remaining < 0) return kind
  }
  return 'hangUp'
}
