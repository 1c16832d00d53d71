import { expect, test } from 'vitest'
import { Chain } from './Chain.js'
import { Overload } from './Overload.js'
import { CHAINS, OVERLOADS, POLICIES } from './Scenarios.js'

const SEED = 31

/** Attempts at any one service per call to the first one. */
const MAX_AMPLIFICATION = 1.2

/** Goodput above capacity load, as a fraction of capacity. */
const MIN_GOODPUT = 0.95

const [singleLayerPolicy, , everyLayerPolicy] = POLICIES

test.each(CHAINS)('retry amplification is bounded: $name', scenario => {
  const policy = singleLayerPolicy as typeof POLICIES[number]
  expect(new Chain(scenario, policy, SEED).run().worstAmplification).toBeLessThanOrEqual(MAX_AMPLIFICATION)
})

test('retry amplification is not bounded when every layer retries without a budget', () => {
  const failing = CHAINS.find(scenario => scenario.failing === 1) as typeof CHAINS[number]
  const policy = everyLayerPolicy as typeof POLICIES[number]
  expect(new Chain(failing, policy, SEED).run().worstAmplification).toBeGreaterThan(MAX_AMPLIFICATION)
})

test.each(OVERLOADS.filter(scenario => scenario.load > 1))('goodput stays near capacity under overload: $name', scenario => {
  expect(new Overload(scenario, 'controller', SEED).run().goodput).toBeGreaterThanOrEqual(MIN_GOODPUT)
})

test('an unbounded queue loses goodput under overload', () => {
  const scenario = OVERLOADS[0] as typeof OVERLOADS[number]
  expect(new Overload(scenario, 'unboundedQueue', SEED).run().goodput).toBeLessThan(MIN_GOODPUT)
})
