import fc from 'fast-check'
import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { WeightedRoundRobin } from './WeightedRoundRobin.js'
import type { SplitShare } from './Types.js'

/** Most by which the part of a service may differ from its weight, over 200 requests or more. */
const MAX_OFF = 0.2

function makeShares (weights: readonly number[]): SplitShare[] {
  return weights.map((weight, index) => ({ service: `s${index}`, weight }))
}

/** Largest difference between the part of a service of the requests and of the weights. */
function largestOff (shares: readonly SplitShare[], chosen: readonly string[]): number {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0)
  return Math.max(...shares.map(({ service, weight }) =>
    Math.abs(chosen.filter(name => name === service).length / chosen.length - weight / total)))
}

// Weights that do not add up to a few hundred let all nodes start with the same service.
test('nodes that each begin a round robin keep the weights together, whatever the scale of the weights', () => {
  const scale = fc.constantFrom(1, 100, 1000, 12_345, 0.01)
  const weights = fc.array(fc.integer({ min: 0, max: 20 }), { minLength: 2, maxLength: 4 })
    .filter(items => items.some(weight => weight > 0))
  fc.assert(fc.property(weights, scale, fc.integer({ min: 1, max: 5 }), fc.nat(), (items, factor, perNode, seed) => {
    const shares = makeShares(items.map(weight => weight * factor))
    const random = new SeededRandom(seed)
    const chosen: string[] = []
    while (chosen.length < 400) {
      const roundRobin = new WeightedRoundRobin(shares, random.next())
      for (let i = 0; i < perNode; i++) chosen.push(roundRobin.next())
    }
    expect(largestOff(shares, chosen)).toBeLessThan(MAX_OFF)
  }), { seed: 31, numRuns: 500 })
})

test('the requests after each of many changes of the weights keep the new weights', () => {
  const random = new SeededRandom(3)
  for (let change = 0; change < 100; change++) {
    const shares = makeShares([random.next() * 100, random.next() * 100, random.next() * 100])
    const nodes = Array.from({ length: 10 }, () => new WeightedRoundRobin(shares, random.next()))
    const chosen = Array.from({ length: 200 }, (_, i) => nodes[i % nodes.length]!.next())
    expect(largestOff(shares, chosen)).toBeLessThan(MAX_OFF)
  }
})
