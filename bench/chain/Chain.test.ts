import { expect, test } from 'vitest'
import { Chain } from './Chain.js'
import { Overload } from './Overload.js'
import { CHAINS, OVERLOADS, POLICIES } from './Scenarios.js'

const SEED = 31

/** Attempts at any service for each first call, and goodput as a share of capacity, at 130% load. */
const MAX_AMPLIFICATION = 1.2

const MIN_GOODPUT = 0.95

const [singleLayerPolicy, , everyLayerPolicy] = POLICIES

test.each(CHAINS)('amplification is bounded: $name', scenario => {
  const policy = singleLayerPolicy as typeof POLICIES[number]
  expect(new Chain(scenario, policy, SEED).run().worstAmplification).toBeLessThanOrEqual(MAX_AMPLIFICATION)
})

test('amplification is not bounded when each layer retries without budget', () => {
  const failing = CHAINS.find(scenario => scenario.failing === 1) as typeof CHAINS[number]
  const policy = everyLayerPolicy as typeof POLICIES[number]
  expect(new Chain(failing, policy, SEED).run().worstAmplification).toBeGreaterThan(MAX_AMPLIFICATION)
})

test.each(OVERLOADS.filter(scenario => scenario.load > 1))('goodput holds: $name', scenario => {
  expect(new Overload(scenario, 'controller', SEED).run().goodput).toBeGreaterThanOrEqual(MIN_GOODPUT)
})

test('goodput does not hold with an unbounded queue', () => {
  const scenario = OVERLOADS[0] as typeof OVERLOADS[number]
  expect(new Overload(scenario, 'unboundedQueue', SEED).run().goodput).toBeLessThan(MIN_GOODPUT)
})
