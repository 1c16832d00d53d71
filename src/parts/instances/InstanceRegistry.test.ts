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
  expect(new InstanceRegistry(ADDRESS).recordReport(makeReport({ address: '10.0.0.2:80' }))).toBe('foreign')
})

test('a delayed report of an earlier incarnation is stale', () => {
  const registry = new InstanceRegistry(ADDRESS)
  registry.recordReport(makeReport({ id: 'i-2', bornMs: 200 }))
  expect(registry.recordReport(makeReport({ sequence: 99 }))).toBe('stale')
  expect(registry.current?.id).toBe('i-2')
})

test('the same id with a later start is a new incarnation with its own sequence', () => {
  const registry = new InstanceRegistry(ADDRESS)
  registry.recordReport(makeReport({ sequence: 50 }))
  expect(registry.recordReport(makeReport({ bornMs: 200, sequence: 1 }))).toBe('applied')
})

test('reports of one incarnation are applied in the order of their sequence', () => {
  const registry = new InstanceRegistry(ADDRESS)
  registry.recordReport(makeReport({ sequence: 2, slots: 8 }))
  expect(registry.recordReport(makeReport({ sequence: 1, slots: 4 }))).toBe('stale')
  expect(registry.current?.slots).toBe(8)
})

test('an incarnation that drains or has left never becomes ready again', () => {
  const registry = new InstanceRegistry(ADDRESS)
  registry.recordReport(makeReport({ sequence: 1, state: 'draining' }))
  registry.recordReport(makeReport({ sequence: 2, state: 'ready' }))
  expect(registry.published?.state).toBe('draining')
  registry.deregister('i-1', 100)
  registry.recordReport(makeReport({ sequence: 3 }))
  expect(registry.published?.state).toBe('left')
})

test('a delayed deregistration of an earlier incarnation does not affect the current one', () => {
  const registry = new InstanceRegistry(ADDRESS)
  registry.recordReport(makeReport({ bornMs: 200 }))
  expect(registry.deregister('i-1', 100)).toBe('stale')
  expect(registry.deregister('i-9', undefined)).toBe('foreign')
  expect(registry.published?.state).toBe('ready')
})

test('an incarnation that says that it leaves is draining, whatever it reports', () => {
  const registry = new InstanceRegistry(ADDRESS)
  registry.recordReport(makeReport())
  expect(registry.drain({ id: 'i-1', bornMs: 99 })).toBe('foreign')
  expect([registry.drain({ id: 'i-1', bornMs: 100 }), registry.drain({ id: 'i-1', bornMs: 100 })]).toEqual(['applied', 'stale'])
  registry.recordReport(makeReport({ sequence: 2 }))
  expect(registry.published?.state).toBe('draining')
})

test('the first report of an instance that was found by a health check tells its start and keeps its state', () => {
  const registry = new InstanceRegistry(ADDRESS)
  registry.recordReport(makeReport({ bornMs: 1, isBornAssumed: true, sequence: -1 }))
  registry.drain({ id: 'i-1', bornMs: 1 })
  expect(registry.recordReport(makeReport())).toBe('applied')
  expect(registry.published).toEqual({ id: 'i-1', bornMs: 100, service: 's', slots: 6, state: 'draining' })
  expect(registry.recordReport(makeReport({ bornMs: 200 }))).toBe('applied')
  expect(registry.published?.state).toBe('ready')
})
