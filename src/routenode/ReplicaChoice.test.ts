import { expect, test } from 'vitest'
import { SeededRandom } from '../parts/SeededRandom.js'
import { ReplicaChoice } from './ReplicaChoice.js'

test('no replica is tried again while another has not been tried, also when the list changes', () => {
  for (let seed = 0; seed < 20; seed++) {
    const choice = new ReplicaChoice(new SeededRandom(seed))
    const first = choice.next(['a', 'b', 'c'], [])
    const reordered = ['d', 'c', 'b', 'a']
    const later = [1, 2, 3].map(() => choice.next(reordered, reordered))
    expect(new Set([first, ...later]).size).toBe(4)
    expect(choice.next(reordered, reordered)).toBe(first)
  }
})

test('members are tried before addresses that only the settings name', () => {
  for (let seed = 0; seed < 20; seed++) {
    expect(new ReplicaChoice(new SeededRandom(seed)).next(['a', 'b', 'c'], ['b'])).toBe('b')
  }
})

// Otherwise all nodes of a replica that is lost connect to the same one next.
test('the nodes of a lost replica spread over the others', () => {
  const chosen = new Set(Array.from({ length: 40 }, (_, seed) => {
    const choice = new ReplicaChoice(new SeededRandom(seed))
    choice.next(['a'], [])
    return choice.next(['a', 'b', 'c'], ['a', 'b', 'c'])
  }))
  expect(chosen).toEqual(new Set(['b', 'c']))
})
