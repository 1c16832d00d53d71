import * as fc from 'fast-check'
import { expect, test } from 'vitest'
import { DepartureStore, MAX_DEPARTURE_NODES } from './DepartureStore.js'

test('a departure is stored once for its node, and repeats change nothing', () => {
  const store = new DepartureStore()
  const left = { node: 'n:1', departures: [{ id: 'i-1', bornMs: 5 }] }
  expect([store.snapshot(), store.covers(left)]).toEqual([undefined, false])
  expect([store.apply(left), store.apply(left), store.covers(left)]).toEqual([true, false, true])
  expect([store.find('n:1'), store.find('n:2')]).toEqual([left.departures, []])
  expect(store.covers({ ...left, node: 'n:2' })).toBe(false)
})

test('the nodes with the latest departures are kept', () => {
  const store = new DepartureStore()
  for (let i = 0; i <= MAX_DEPARTURE_NODES; i++) store.apply({ node: `n:${i}`, departures: [{ id: 'i', bornMs: 1 }] })
  expect([store.size, store.find('n:0'), store.find('n:1')]).toEqual([MAX_DEPARTURE_NODES, [], [{ id: 'i', bornMs: 1 }]])
})

// Replicas that restore a snapshot in the middle of the log must agree with those that applied all of it.
test('departures survive snapshots at any place of the log', () => {
  const departure = fc.record({ id: fc.constantFrom('i-1', 'i-2', 'i-3'), bornMs: fc.nat(5) })
  const command = fc.record({ node: fc.constantFrom('n:1', 'n:2'), departures: fc.array(departure, { minLength: 1, maxLength: 3 }) })
  const steps = fc.array(fc.record({ command, isRestored: fc.boolean() }))
  fc.assert(fc.property(steps, list => {
    const whole = new DepartureStore()
    let cut = new DepartureStore()
    for (const { command, isRestored } of list) {
      expect(cut.apply(command)).toBe(whole.apply(command))
      if (!isRestored) continue
      const restored = new DepartureStore()
      restored.restore(cut.snapshot())
      cut = restored
    }
    expect(cut.snapshot()).toEqual(whole.snapshot())
  }), { seed: 1 })
})
