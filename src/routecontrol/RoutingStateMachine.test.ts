import { expect, test } from 'vitest'
import type { EvacuationOrder } from '../parts/evacuation/Types.js'
import type { RoutingChange } from '../parts/routing/Types.js'
import { RoutingStateMachine } from './RoutingStateMachine.js'

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 }
const CHANGE: RoutingChange = {
  type: 'replace', version: 3, base: 0, configuration: { routes: [], services: [], limits: LIMITS }
}

/** Entry and snapshot as the version before evacuations (5a94eb1) wrote them for `CHANGE`. */
const EARLIER_ENTRY = 'uQACZmNoYW5nZbkABGR0eXBlZ3JlcGxhY2VndmVyc2lvbgNkYmFzZQBtY29uZmlndXJhdGlvbrkAA2Zyb3V0ZXOAaHNlcnZpY2VzgGZsaW1pdHO5AARubWF4SGVhZGVyQnl0ZXMBbG1heEJvZHlCeXRlcwJvaGVhZGVyVGltZW91dE1zA21pZGxlVGltZW91dE1zBGZkaWdlc3R4LHpWL0g2V2RKcTdnL2xEVStPL0sxVzJPYzArNCtuZFczY3hTNmxOUzBwQWc9'
const EARLIER_SNAPSHOT = 'uQADZmZvcm1hdAFnaW5Gb3JjZbkAAmd2ZXJzaW9uA21jb25maWd1cmF0aW9uuQADZnJvdXRlc4Boc2VydmljZXOAZmxpbWl0c7kABG5tYXhIZWFkZXJCeXRlcwFsbWF4Qm9keUJ5dGVzAm9oZWFkZXJUaW1lb3V0TXMDbWlkbGVUaW1lb3V0TXMEaGFjY2VwdGVkgYJ4LHpWL0g2V2RKcTdnL2xEVStPL0sxVzJPYzArNCtuZFczY3hTNmxOUzBwQWc9Aw=='

function apply (machine: RoutingStateMachine, data: Uint8Array): object {
  return machine.apply({ index: 1, term: 1, kind: 'command', data })
}

function order (machine: RoutingStateMachine, type: EvacuationOrder['type'], zone: string): object {
  return apply(machine, machine.encodeOrder({ type, zone }))
}

function takeSnapshot (machine: RoutingStateMachine): Buffer {
  return Buffer.concat([...machine.snapshot() as IterableIterator<Uint8Array>])
}

// Replicas of the version before, and the disks that they have written, must stay usable.
test('without an order, entries and snapshots have the bytes of the version before', () => {
  const machine = new RoutingStateMachine()
  const data = machine.encode(CHANGE)
  apply(machine, data)
  expect(Buffer.from(data).toString('base64')).toBe(EARLIER_ENTRY)
  expect(takeSnapshot(machine).toString('base64')).toBe(EARLIER_SNAPSHOT)
})

test('entries and snapshots of the version before are read', () => {
  const applied = new RoutingStateMachine()
  expect(apply(applied, Buffer.from(EARLIER_ENTRY, 'base64'))).toEqual({ type: 'accepted', version: 3 })
  const restored = new RoutingStateMachine()
  restored.restore(Buffer.from(EARLIER_SNAPSHOT, 'base64'))
  expect([restored.store.inForce.version, restored.evacuation]).toEqual([3, { revision: 0, zones: [] }])
})

test('an order is in force once applied, is acknowledged again, and survives a snapshot', () => {
  const machine = new RoutingStateMachine()
  const seen: number[] = []
  machine.onEvacuation(({ revision }) => seen.push(revision))
  apply(machine, machine.encode(CHANGE))
  const evacuation = { revision: 1, zones: ['a'] }
  expect(order(machine, 'start', 'a')).toEqual({ type: 'evacuation', changed: true, evacuation })
  expect(order(machine, 'start', 'a')).toEqual({ type: 'evacuation', changed: false, evacuation })
  const restored = new RoutingStateMachine()
  restored.onEvacuation(({ revision }) => seen.push(revision))
  restored.restore(takeSnapshot(machine))
  expect([restored.evacuation, restored.store.inForce.version]).toEqual([evacuation, 3])
  expect(order(restored, 'end', 'a')).toMatchObject({ evacuation: { revision: 2, zones: [] } })
  expect(seen).toEqual([1, 1, 2])
})

// A snapshot without them would bring back instances whose departure was acknowledged.
test('departures are stored once applied, and survive a snapshot', () => {
  const machine = new RoutingStateMachine()
  const nodes: string[] = []
  machine.onDeparture(node => nodes.push(node))
  const departed = { node: '10.0.0.1:7600', departures: [{ id: 'i-1', bornMs: 5 }] }
  const data = machine.encodeDepartures(departed)
  expect([apply(machine, data), apply(machine, data)])
    .toEqual([{ type: 'departure', changed: true }, { type: 'departure', changed: false }])
  const restored = new RoutingStateMachine()
  restored.restore(takeSnapshot(machine))
  expect([restored.departures.find(departed.node), nodes]).toEqual([departed.departures, [departed.node]])
})
