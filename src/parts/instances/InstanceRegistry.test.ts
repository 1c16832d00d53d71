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
  registry.deregister('i-1', 100, 5000)
  registry.recordReport(makeReport({ sequence: 3 }), 0)
  expect(registry.published?.state).toBe('left')
})

test('a delayed deregistration of an earlier incarnation does not affect the current one', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport({ bornMs: 200 }), 0)
  expect(registry.deregister('i-1', 100, 5000)).toBe('stale')
  expect(registry.deregister('i-9', undefined, 5000)).toBe('foreign')
  expect(registry.published?.state).toBe('ready')
})

// A health check finds the next incarnation without its start, so its departure counted as one of the one before.
test('a deregistration of a later start than the known one takes it out, also for its first report', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport({ sequence: 50 }), 0)
  expect(registry.deregister('i-1', 200, 5000)).toBe('applied')
  expect(registry.published).toMatchObject({ bornMs: 200, state: 'left' })
  registry.recordReport(makeReport({ bornMs: 200, sequence: 1 }), 1)
  expect(registry.published).toMatchObject({ bornMs: 200, state: 'left' })
  expect(registry.recordReport(makeReport({ sequence: 51 }), 2)).toBe('stale')
  expect(registry.recordReport(makeReport({ bornMs: 300 }), 3)).toBe('applied')
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

// A well-formed report of another writer took the instance out of use, and its running requests counted as crashed.
for (const [name, changes] of Object.entries({
  'another id': { id: 'i-x', bornMs: 300 },
  'another id that drains': { id: 'i-x', bornMs: 300, state: 'draining' },
  'an earlier start and another id': { id: 'i-x', bornMs: 50 },
  'its own id, a later start and draining': { bornMs: 300, state: 'draining' }
} as const)) {
  test(`a report with ${name} has no effect when the instance says that it is the known one`, () => {
    const registry = new InstanceRegistry(ADDRESS, 's')
    registry.recordReport(makeReport(), 0)
    const foreign = makeReport(changes)
    expect(registry.recordReport(foreign, 1, true)).toBe('claimed')
    expect(registry.current).toEqual(makeReport())
    expect(registry.settleClaim(foreign, { id: 'i-1', isHealthy: true })).toBe('foreign')
    expect(registry.recordReport(makeReport({ sequence: 2 }), 2, true)).toBe('applied')
    expect(registry.published).toEqual({ id: 'i-1', bornMs: 100, service: 's', slots: 6, state: 'ready' })
  })
}

test('a report of another id is applied when the instance confirms it, or does not answer', () => {
  for (const identity of [{ id: 'i-2', isHealthy: true }, { id: 'i-2', isHealthy: false }, { id: 'i-3', isHealthy: true }, undefined]) {
    const registry = new InstanceRegistry(ADDRESS, 's')
    registry.recordReport(makeReport(), 0)
    const next = makeReport({ id: 'i-2', bornMs: 200 })
    expect(registry.recordReport(next, 1, true)).toBe('claimed')
    expect(registry.settleClaim(next, identity)).toBe('applied')
    expect(registry.current).toEqual(next)
  }
})

test('a delayed report of an earlier incarnation stays without effect when the instance does not answer', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport({ id: 'i-2', bornMs: 200 }), 0)
  const late = makeReport()
  expect(registry.recordReport(late, 1, true)).toBe('claimed')
  expect(registry.settleClaim(late, undefined)).toBe('stale')
  expect(registry.current?.id).toBe('i-2')
})

test('an instance that counts as old is followed at once when it says that it runs', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport({ id: 'i-x', bornMs: 300, state: 'draining' }), 0)
  const own = makeReport()
  expect(registry.recordReport(own, 1, true)).toBe('claimed')
  expect(registry.settleClaim(own, { id: 'i-1', isHealthy: true })).toBe('applied')
  expect(registry.published?.state).toBe('ready')
})

test('a restarted instance that is about to stop drains, also under its former id', () => {
  for (const identity of [{ id: 'i-1', isHealthy: false }, undefined]) {
    const registry = new InstanceRegistry(ADDRESS, 's')
    registry.recordReport(makeReport(), 0)
    const last = makeReport({ bornMs: 200, state: 'draining' })
    expect(registry.recordReport(last, 1, true)).toBe('claimed')
    expect(registry.settleClaim(last, identity)).toBe('applied')
    expect(registry.published?.state).toBe('draining')
  }
})

// An incarnation of another writer that drained kept the instance of the same id out until its node restarted.
test('an instance that goes on reporting is ready again once it says that it is healthy, and not before', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport({ bornMs: 300, state: 'draining' }), 0)
  expect(reportOn(registry, 2)).toEqual(['stale', 'stale'])
  const answers = [[undefined, 'draining'], [{ id: 'i-1', isHealthy: false }, 'draining'], [{ id: 'i-1', isHealthy: true }, 'ready']] as const
  answers.forEach(([identity, state], index) => {
    const report = makeReport({ sequence: 12 + index })
    expect(registry.recordReport(report, 3000 + 1500 * index, true)).toBe('claimed')
    registry.settleClaim(report, identity)
    expect(registry.published?.state).toBe(state)
  })
})

test('the own draining and deregistration of the instance need no confirmation', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport(), 0)
  expect(registry.recordReport(makeReport({ sequence: 2, state: 'draining' }), 1, true)).toBe('applied')
  expect(registry.deregister('i-1', 100, 5000)).toBe('applied')
  const late = makeReport({ bornMs: 50, sequence: 9 })
  expect(registry.recordReport(late, 2, true)).toBe('stale')
  expect(registry.published?.state).toBe('left')
})

test('only the open claim is settled', () => {
  const registry = new InstanceRegistry(ADDRESS, 's')
  registry.recordReport(makeReport(), 0)
  const [first, second] = [makeReport({ id: 'i-2', bornMs: 200 }), makeReport({ id: 'i-3', bornMs: 300 })]
  registry.recordReport(first, 1, true)
  registry.recordReport(second, 2, true)
  expect(registry.settleClaim(first, { id: 'i-2', isHealthy: true })).toBe('stale')
  registry.dropClaim()
  expect([registry.hasClaim, registry.settleClaim(second, { id: 'i-3', isHealthy: true })]).toEqual([false, 'stale'])
  expect(registry.current?.id).toBe('i-1')
})
