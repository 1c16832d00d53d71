import fc from 'fast-check'
import { expect, test } from 'vitest'
import { RequestRateLimit } from './RequestRateLimit.js'

/** Sends a request whenever the limit allows one, every millisecond, and returns when they were sent. */
function sendAll (limit: RequestRateLimit, untilMs: number): number[] {
  const sentMs: number[] = []
  for (let nowMs = 0; nowMs < untilMs; nowMs++) {
    if (limit.available(nowMs) < 1) continue
    limit.take(nowMs)
    sentMs.push(nowMs)
  }
  return sentMs
}

test('without a limit everything is available', () => {
  const limit = new RequestRateLimit()
  expect([limit.available(0), limit.waitMs(5, 0), limit.isSet]).toEqual([Infinity, 0, false])
})

test('a limit that has just been named allows nothing yet', () => {
  const limit = new RequestRateLimit()
  limit.set(4, 0)
  expect([limit.available(0), limit.waitMs(1, 0)]).toEqual([0, 251])
})

test('over any time no more is sent than the rate and one burst allow', () => {
  const limit = new RequestRateLimit()
  limit.set(8.3, 0)
  const sentMs = sendAll(limit, 20_000)
  for (const fromMs of sentMs) {
    const count = sentMs.filter(ms => ms >= fromMs && ms < fromMs + 4000).length
    expect(count).toBeLessThanOrEqual(Math.ceil(8.3 * 4 + 8.3))
  }
  expect(sentMs.length).toBeGreaterThan(8 * 20)
})

test('a lower limit takes effect at once', () => {
  const limit = new RequestRateLimit()
  limit.set(20, 0)
  expect(limit.available(5000)).toBe(20)
  limit.set(2, 5000)
  expect(limit.available(5000)).toBe(2)
})

test('a lifted limit allows everything, and counts anew when it is named again', () => {
  const limit = new RequestRateLimit()
  limit.set(5, 0)
  limit.set(undefined, 1000)
  expect(limit.available(1000)).toBe(Infinity)
  limit.set(5, 2000)
  expect(limit.available(2000)).toBe(0)
})

// Otherwise nothing would ever show that the instance names a higher limit again.
test('a limit of 0 still allows a request now and then', () => {
  const limit = new RequestRateLimit()
  limit.set(0, 0)
  expect(sendAll(limit, 4000).length).toBeGreaterThan(0)
  expect(sendAll(limit, 4000).length).toBeLessThanOrEqual(5)
})

test('after the time that a limit tells to wait, a request is available', () => {
  const steps = fc.array(fc.double({ min: 0, max: 400, noNaN: true }), { minLength: 1, maxLength: 50 })
  fc.assert(fc.property(fc.double({ min: 0.1, max: 50, noNaN: true }), steps, (perS, stepsMs) => {
    const limit = new RequestRateLimit()
    let nowMs = 0
    limit.set(perS, nowMs)
    for (const stepMs of stepsMs) {
      nowMs += stepMs
      if (limit.available(nowMs) >= 1) limit.take(nowMs)
    }
    nowMs += limit.waitMs(1, nowMs)
    return limit.available(nowMs) >= 1 && limit.waitMs(1, nowMs) === 0
  }), { seed: 1 })
})
