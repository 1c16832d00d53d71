import fc from 'fast-check'
import { expect, test } from 'vitest'
import { SlidingCounter } from './SlidingCounter.js'

const WINDOW_MS = 5000
const STEP_MS = 100

const uses = fc.array(fc.record({ atMs: fc.nat(12_000), count: fc.integer({ min: 1, max: 5 }) }), { maxLength: 60 })

test('the sum is never below the requests of the window, and counts none for longer than a step beyond it', () => {
  fc.assert(fc.property(uses, fc.nat(12_000), (entries, nowMs) => {
    const counter = new SlidingCounter(WINDOW_MS)
    entries.forEach(({ atMs, count }) => counter.add(count, atMs))
    const countAfter = (fromMs: number): number => {
      return entries.filter(({ atMs }) => atMs > fromMs).reduce((sum, { count }) => sum + count, 0)
    }
    const sum = counter.sum(nowMs)
    expect(sum).toBeGreaterThanOrEqual(countAfter(nowMs - WINDOW_MS))
    expect(sum).toBeLessThanOrEqual(countAfter(nowMs - WINDOW_MS - STEP_MS - 1))
  }), { seed: 1 })
})

test('memory is bounded by the steps, for any number of requests', () => {
  const counter = new SlidingCounter(WINDOW_MS)
  for (let atMs = 0; atMs < 60_000; atMs++) {
    counter.add(1, atMs)
    counter.sum(atMs)
  }
  expect(counter.size).toBeLessThanOrEqual(WINDOW_MS / STEP_MS + 1)
})

test('removed requests are the earliest of their span, and no more than there are', () => {
  const counter = new SlidingCounter(WINDOW_MS)
  counter.add(2, 1000)
  counter.add(3, 1200)
  counter.add(4, 3000)
  expect(counter.remove(4, 900, 2000)).toEqual([{ atMs: 1000, count: 2 }, { atMs: 1200, count: 2 }])
  expect(counter.remove(4, 900, 2000)).toEqual([{ atMs: 1200, count: 1 }])
  expect(counter.remove(4, 900, 2000)).toEqual([])
  expect(counter.sum(3000)).toBe(4)
})

test('it tells when a number of requests will have left the window', () => {
  const counter = new SlidingCounter(WINDOW_MS)
  counter.add(2, 1050)
  counter.add(3, 2000)
  expect(counter.freeAtMs(1)).toBe(6100)
  expect(counter.freeAtMs(3)).toBe(7100)
  expect(counter.freeAtMs(6)).toBeUndefined()
  expect(counter.sum(6099)).toBe(5)
  expect(counter.sum(6100)).toBe(3)
})
