import { SeededRandom } from '../src/parts/SeededRandom.js'
import type { Fault, FaultKind } from './Types.js'

/** Time without new faults at the start and at the end, in milliseconds. */
const FAULT_FREE_MS = 1500

/** Shortest and longest duration of a fault, in milliseconds. */
const MIN_FAULT_MS = 200
const MAX_FAULT_MS = 2500

/** Mean time between the starts of two faults, in milliseconds; shorter than most faults, so that they overlap. */
const MEAN_PAUSE_MS = 500

/** Relative frequency of each kind. */
const KIND_WEIGHTS: Readonly<Record<FaultKind, number>> = {
  killNode: 3,
  pauseNode: 2,
  stopNode: 4,
  killControl: 3,
  pauseControl: 2,
  stopControl: 2,
  wipeControl: 1,
  killAll: 1,
  crashInstance: 2,
  drainInstance: 3,
  limitInstance: 3,
  leaveInstance: 2,
  silenceInstance: 2,
  muteInstance: 2,
  resetInstance: 2,
  delayInstance: 2,
  silenceCallers: 1,
  resetCallers: 1,
  delayCallers: 1,
  poisonRequest: 1,
  hangUp: 2,
  change: 6,
  evacuate: 3
}

/**
 * Draws a random schedule of faults, in the order of time; the same seed and length give the same schedule.
 * @param seed Any integer.
 * @param lengthMs Length of the soak in milliseconds.
 */
export function drawSchedule (seed: number, lengthMs: number): Fault[] {
  const random = new SeededRandom(seed * 7919 + 1)
  const faults: Fault[] = []
  let atMs = FAULT_FREE_MS
  while (atMs < lengthMs - FAULT_FREE_MS) {
    const kind = drawKind(random.next())
    const forMs = MIN_FAULT_MS + Math.round((MAX_FAULT_MS - MIN_FAULT_MS) * random.next())
    faults.push({ atMs: Math.round(atMs), kind, pick: random.next(), forMs })
    atMs += 2 * MEAN_PAUSE_MS * random.next()
  }
  return faults
}

function drawKind (share: number): FaultKind {
  const kinds = Object.entries(KIND_WEIGHTS) as Array<[FaultKind, number]>
  let remaining = share * kinds.reduce((sum, [, weight]) => sum + weight, 0)
  for (const [kind, weight] of kinds) {
    remaining -= weight
    if (remaining < 0) return kind
  }
  return 'change'
}
