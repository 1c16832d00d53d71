import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { HEDGE_MIN_SAMPLES } from './Constants.js'
import { HedgePlan } from './HedgePolicy.js'

/** Most runs take their usual time, a fifth of them five times as long. */
function learn (plan: HedgePlan, count: number): void {
  const random = new SeededRandom(3)
  for (let i = 0; i < count; i++) {
    const usualMs = 80 + 40 * random.next()
    plan.learnTime('r', random.next() < 0.2 ? 5 * usualMs : usualMs)
  }
}

test('nothing is hedged before the times of a route are known', () => {
  const plan = new HedgePlan()
  learn(plan, HEDGE_MIN_SAMPLES - 1)
  expect(plan.delayMs('r', 1000)).toBeUndefined()
  expect(plan.delayMs('other', 1000)).toBeUndefined()
})

test('a second attempt starts early enough to meet the objective, and not before the usual time', () => {
  const plan = new HedgePlan()
  learn(plan, 500)
  const urgentMs = plan.delayMs('r', 250) ?? 0
  expect(urgentMs).toBeGreaterThan(100)
  expect(urgentMs).toBeLessThan(175)
  expect(plan.delayMs('r', -50)).toBeGreaterThan(75)
})

test('an attempt is overtaken only when it takes longer than most', () => {
  const plan = new HedgePlan()
  learn(plan, 500)
  expect(plan.delayMs('r', 10_000)).toBeGreaterThan(110)
})
