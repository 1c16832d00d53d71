import * as fc from 'fast-check'
import { expect, test } from 'vitest'
import { EvacuationStore } from './EvacuationStore.js'
import type { EvacuationOrder } from './Types.js'

const order = fc.record({ type: fc.constantFrom('start', 'end'), zone: fc.constantFrom('a', 'b', 'c') })

test('an order that is already in force changes neither the zones nor the revision', () => {
  const store = new EvacuationStore()
  expect([store.apply({ type: 'start', zone: 'b' }), store.apply({ type: 'start', zone: 'b' })]).toEqual([true, false])
  expect([store.apply({ type: 'end', zone: 'a' }), store.state]).toEqual([false, { revision: 1, zones: ['b'] }])
})

// An earlier version must be able to read the snapshot where the function was never used.
test('orders that change nothing leave no trace in the snapshot, and the end of an evacuation does', () => {
  const store = new EvacuationStore()
  store.apply({ type: 'end', zone: 'a' })
  expect(store.snapshot()).toBeUndefined()
  store.apply({ type: 'start', zone: 'a' })
  store.apply({ type: 'end', zone: 'a' })
  expect(store.snapshot()).toEqual({ revision: 2, zones: [] })
})

// Replicas that restore a snapshot in the middle of the log must agree with those that applied all of it.
test('the zones are those of the last orders, with a revision for each change, also across snapshots', () => {
  fc.assert(fc.property(fc.array(fc.record({ order, isRestored: fc.boolean() })), steps => {
    let store = new EvacuationStore()
    const expected = new Set<string>()
    let revision = 0
    for (const { order, isRestored } of steps) {
      const { type, zone } = order as EvacuationOrder
      if (expected.has(zone) !== (type === 'start')) revision++
      if (type === 'start') expected.add(zone)
      else expected.delete(zone)
      store.apply({ type, zone })
      if (!isRestored) continue
      const restored = new EvacuationStore()
      restored.restore(store.snapshot())
      store = restored
    }
    expect(store.state).toEqual({ revision, zones: [...expected].sort() })
  }), { seed: 1 })
})
