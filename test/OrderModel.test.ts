import fc from 'fast-check'
import { expect, test } from 'vitest'
import { decodeChange, encodeRouting } from '../platform/RoutingCodec.js'
import { RoutingStore } from '../src/parts/routing/RoutingStore.js'
import { FIRST_ORDER, fillVersions, normalise, OrderModel, orders } from './support/OrderModel.js'

const RUNS = 400
const ORDERS = 20

test('an order is acknowledged exactly when it is valid, and what is in force is what was sent', () => {
  const counts = { valid: 0, invalid: 0 }
  fc.assert(fc.property(fc.array(orders, { minLength: ORDERS, maxLength: ORDERS }), list => {
    const store = new RoutingStore()
    const model = new OrderModel()
    for (const order of [FIRST_ORDER, ...list]) {
      const text = fillVersions(order.text, model.version)
      const before = store.inForce
      const change = decodeChange(order.type, text)
      const reply = change.ok ? store.apply(change.val, text) : undefined
      const isValid = model.take(order, text)
      expect([reply?.type === 'accepted', text]).toEqual([isValid, text])
      counts[isValid ? 'valid' : 'invalid']++
      if (isValid) expect(normalise(JSON.parse(JSON.stringify(encodeRouting(store.inForce))))).toEqual(model.expected)
      else expect(store.inForce).toBe(before)
    }
  }), { seed: 43, numRuns: RUNS })
  expect(Math.min(counts.valid, counts.invalid)).toBeGreaterThan(RUNS * ORDERS / 10)
})
