import { expect, test } from 'vitest'
import { SeededRandom } from './SeededRandom.js'

test('equal seeds give equal sequences', () => {
  const first = new SeededRandom(7)
  const second = new SeededRandom(7)
  const pairs = Array.from({ length: 100 }, () => [first.next(), second.next()])
  expect(pairs.every(([a, b]) => a === b)).toBe(true)
})

test('numbers are in [0, 1)', () => {
  const random = new SeededRandom(11)
  const numbers = Array.from({ length: 1000 }, () => random.next())
  expect(numbers.every(number => number >= 0 && number < 1)).toBe(true)
})
