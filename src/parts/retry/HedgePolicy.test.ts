import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { HEDGE_MIN_SAMPLES } from './Constants.js'
import { HedgePolicy } from './HedgePolicy.js'

/** Records attempts of 80 to 120 ms, a fifth of which take five times as long. */
function recordLatencies (policy: HedgePolicy, count: number): void {
  const random = new SeededRandom(3)
  for (let i = 0; i < count; i++) {
    const typicalMs = 80 + 40 * random.next()
    policy.recordLatency('r', random.next() < 0.2 ? 5 * typicalMs : typicalMs)
  }
}

test('no request is hedged before the latency of its route is known', () => {
  const policy = new HedgePolicy()
  recordLatencies(policy, HEDGE_MIN_SAMPLES - 1)
  expect(policy.delayMs('r', 1000)).toBeUndefined()
  expect(policy.delayMs('other', 1000)).toBeUndefined()
})

test('a hedge starts early enough to meet the latency objective, and not before the median latency', () => {
  const policy = new HedgePolicy()
  recordLatencies(policy, 500)
  const urgentMs = policy.delayMs('r', 250) ?? 0
  expect(urgentMs).toBeGreaterThan(100)
  expect(urgentMs).toBeLessThan(175)
  expect(policy.delayMs('r', -50)).toBeGreaterThan(75)
})

test('an attempt is hedged only when it takes longer than most', () => {
  const policy = new HedgePolicy()
  recordLatencies(policy, 500)
  expect(policy.delayMs('r', 10_000)).toBeGreaterThan(110)
})
