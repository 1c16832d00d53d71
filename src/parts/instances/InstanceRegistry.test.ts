import { expect, test } from 'vitest'
import { InstanceRegistry } from './InstanceRegistry.js'
import type { InstanceReport } from './Types.js'

const ADDRESS = '10.0.0.1:80'

function makeReport (changes: Partial<InstanceReport> = {}): InstanceReport {
  return {
    id: 'i-1', bornMs: 100, sequence: 1, service: 's', address: ADDRESS, slots: 6, state: 'ready', coldMs: 0, ...changes
  }
}

test('a report of another address is foreign', () => {
  expect(new InstanceRegistry(ADDRESS, 's').recordReport(makeReport({ address: '10.0.0.2:80' }), 0)).toBe('foreign')
})

test('a delayed report of an earlier incarnation is stale', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport({ id: 'i-2', bornMs: 200 }), 0)
  expect(registry.recordReport(makeReport({ sequence: 99 }), 0)).toBe('stale')
  expect(registry.current?.id).toBe('i-2')
})

test('the same id with a later start is a new incarnation with its own sequence', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport({ sequence: 50 }), 0)
  expect(registry.recordReport(makeReport({ bornMs: 200, sequence: 1 }), 0)).toBe('applied')
})

test('reports of one incarnation are applied in the order of their sequence', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport({ sequence: 2, slots: 8 }), 0)
  expect(registry.recordReport(makeReport({ sequence: 1, slots: 4 }), 0)).toBe('stale')
  expect(registry.current?.slots).toBe(8)
})

test('an incarnation that drains or has left never becomes ready again', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport({ sequence: 1, state: 'draining' }), 0)
  registry.recordReport(makeReport({ sequence: 2, state: 'ready' }), 0)
  expect(registry.published?.state).toBe('draining')
  registry.deregister('i-1', 100)
  registry.recordReport(makeReport({ sequence: 3 }), 0)
  expect(registry.published?.state).toBe('left')
})

test('a delayed deregistration of an earlier incarnation does not affect the current one', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport({ bornMs: 200 }), 0)
  expect(registry.deregister('i-1', 100)).toBe('stale')
  expect(registry.deregister('i-9', undefined)).toBe('foreign')
  expect(registry.published?.state).toBe('ready')
})

test('an incarnation that says that it leaves is draining, whatever it reports', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport(), 0)
  expect(registry.drain({ id: 'i-1', bornMs: 99 })).toBe('foreign')
  expect([registry.drain({ id: 'i-1', bornMs: 100 }), registry.drain({ id: 'i-1', bornMs: 100 })]).toEqual(['applied', 'stale'])
  registry.recordReport(makeReport({ sequence: 2 }), 0)
  expect(registry.published?.state).toBe('draining')
})

test('the first report of an instance that was found by a health check tells its start and keeps its state', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport({ bornMs: 1, isBornAssumed: true, sequence: -1 }), 0)
  registry.drain({ id: 'i-1', bornMs: 1 })
  expect(registry.recordReport(makeReport(), 0)).toBe('applied')
  expect(registry.published).toEqual({ id: 'i-1', bornMs: 100, service: 's', slots: 6, state: 'draining' })
  expect(registry.recordReport(makeReport({ bornMs: 200 }), 0)).toBe('applied')
  expect(registry.published?.state).toBe('ready')
})

test('a report of another service is foreign', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  expect(registry.recordReport(makeReport({ service: 'other' }), 0)).toBe('foreign')
  expect([registry.setService('s'), registry.setService('other')]).toEqual([false, true])
  expect(registry.recordReport(makeReport({ service: 'other' }), 0)).toBe('applied')
  expect(registry.setService('s')).toBe(true)
  expect(registry.current).toBe(undefined)
})

/** Reports of the instance as it sends them, one every 1.5 s; returns the outcomes. */
function reportOn (registry: InstanceRegistry, count: number, changes: Partial<InstanceReport> = {}): string[] {
  return Array.from({ length: count }, (_, index) => {
    return registry.recordReport(makeReport({ sequence: 10 + index, ...changes }), 1500 * index)
  })
}

// A report of another writer with numbers at the top of their range made all later reports count as old.
for (const odd of [{ bornMs: 1e15 }, { sequence: Number.MAX_SAFE_INTEGER }, { id: 'i-x', bornMs: 1e15 }]) {
  test(`the instance is followed again after an odd report with ${Object.keys(odd).join()}`, () => {
    const registry = new InstanceRegistry(ADDRESS, 's')
    registry.recordReport(makeReport(), 0)
    expect(registry.recordReport(makeReport({ sequence: 2, slots: 1000, ...odd }), 0)).toBe('applied')
    expect(reportOn(registry, 4)).toEqual(['stale', 'stale', 'applied', 'applied'])
    expect(registry.published).toEqual({ id: 'i-1', bornMs: 100, service: 's', slots: 6, state: 'ready' })
    expect(registry.recordReport(makeReport({ sequence: 20, state: 'draining' }), 9000)).toBe('applied')
  })
}

test('an instance drains also when its report counts as old', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport({ sequence: Number.MAX_SAFE_INTEGER }), 0)
  expect(registry.recordReport(makeReport({ state: 'draining' }), 0)).toBe('applied')
  expect(registry.published?.state).toBe('draining')
})

test('reports of an earlier incarnation that were delayed together do not bring it back', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport({ bornMs: 200 }), 0)
  for (let sequence = 1; sequence < 20; sequence++) {
    expect(registry.recordReport(makeReport({ sequence }), 10 * sequence)).toBe('stale')
  }
})

test('an earlier incarnation does not come back while the current one reports', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  for (let sequence = 1; sequence < 20; sequence++) {
    expect(registry.recordReport(makeReport({ sequence }), 1500 * sequence)).toBe(sequence === 1 ? 'applied' : 'stale')
    expect(registry.recordReport(makeReport({ bornMs: 200, sequence }), 1500 * sequence)).toBe('applied')
  }
})

test('an incarnation of the same id that is followed again does not become ready when it was to drain', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport({ bornMs: 1e15, state: 'draining' }), 0)
  expect(reportOn(registry, 3)).toEqual(['stale', 'stale', 'applied'])
  expect(registry.published?.state).toBe('draining')
})
