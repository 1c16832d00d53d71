import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { INITIAL_KNEE_HOLD_MS, MIN_RUNS_ABOVE_KNEE } from './Constants.js'
import { SlotLimit } from './SlotLimit.js'

/** Feeds runs whose times vary as on a shared VM: one in four takes five times as long. */
function feed (limit: SlotLimit, running: number, factor: number, runs: number, seed: number): void {
  const random = new SeededRandom(seed)
  for (let i = 0; i < runs; i++) {
    const workMs = 50 * factor * (random.next() < 0.25 ? 2.5 : 1) * (0.8 + 0.4 * random.next())
    limit.learn(running, 'route', workMs, 0)
  }
}

test('an instance that slows down when it is nearly full is filled to the knee', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const limit = new SlotLimit()
    limit.setSlots(6)
    feed(limit, 3, 1, 60, seed)
    expect(limit.current(0)).toBe(6)
    feed(limit, 6, 1.7, 3 * MIN_RUNS_ABOVE_KNEE, 100 + seed)
    expect(limit.current(0)).toBe(4)
    expect(limit.current(INITIAL_KNEE_HOLD_MS)).toBe(6)
  }
})

test('an instance that does not slow down uses most of its time all its slots', () => {
  let held = 0
  for (let seed = 1; seed <= 20; seed++) {
    const limit = new SlotLimit()
    limit.setSlots(9)
    feed(limit, 5, 1, 60, seed)
    feed(limit, 9, 1, MIN_RUNS_ABOVE_KNEE, 100 + seed)
    held += Number(limit.current(0) < 9)
  }
  expect(held).toBeLessThanOrEqual(10)
})

test('without slots nothing runs', () => {
  const limit = new SlotLimit()
  limit.setSlots(0)
  expect(limit.current(0)).toBe(0)
})
