import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { INITIAL_KNEE_HOLD_MS, MIN_RUNS_ABOVE_KNEE } from './Constants.js'
import { SlotLimit } from './SlotLimit.js'

/** Records runs whose times vary as on a shared VM: one in four takes 2.5 times as long. */
function recordRuns (limit: SlotLimit, running: number, factor: number, runs: number, seed: number): void {
  const random = new SeededRandom(seed)
  for (let i = 0; i < runs; i++) {
    const workMs = 50 * factor * (random.next() < 0.25 ? 2.5 : 1) * (0.8 + 0.4 * random.next())
    limit.recordRun(running, 'route', workMs, 0)
  }
}

test('the limit of an instance that slows down when nearly full falls to the knee', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const limit = new SlotLimit()
    limit.setSlots(6)
    recordRuns(limit, 3, 1, 60, seed)
    expect(limit.current(0)).toBe(6)
    recordRuns(limit, 6, 1.7, 3 * MIN_RUNS_ABOVE_KNEE, 100 + seed)
    expect(limit.current(0)).toBe(4)
    expect(limit.current(INITIAL_KNEE_HOLD_MS)).toBe(6)
  }
})

// Varying run times may look like a slowdown above the knee; that must not hold the limit down most of the time.
test('the limit of an instance that does not slow down is mostly all its slots', () => {
  let reducedCount = 0
  for (let seed = 1; seed <= 20; seed++) {
    const limit = new SlotLimit()
    limit.setSlots(9)
    recordRuns(limit, 5, 1, 60, seed)
    recordRuns(limit, 9, 1, MIN_RUNS_ABOVE_KNEE, 100 + seed)
    reducedCount += Number(limit.current(0) < 9)
  }
  expect(reducedCount).toBeLessThanOrEqual(10)
})

test('the limit is 0 without slots', () => {
  const limit = new SlotLimit()
  limit.setSlots(0)
  expect(limit.current(0)).toBe(0)
})
