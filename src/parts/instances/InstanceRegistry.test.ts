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
  expect(new InstanceRegistry(ADDRESS).report(makeReport({ address: '10.0.0.2:80' }))).toBe('foreign')
})

test('a late report of an ended incarnation does not win', () => {
  const register = new InstanceRegistry(ADDRESS)
  register.report(makeReport({ id: 'i-2', bornMs: 200 }))
  expect(register.report(makeReport({ sequence: 99 }))).toBe('stale')
  expect(register.current?.id).toBe('i-2')
})

test('the same id with a later start is another incarnation whose counts start anew', () => {
  const register = new InstanceRegistry(ADDRESS)
  register.report(makeReport({ sequence: 50 }))
  expect(register.report(makeReport({ bornMs: 200, sequence: 1 }))).toBe('applied')
})

test('reports of one incarnation count in their order', () => {
  const register = new InstanceRegistry(ADDRESS)
  register.report(makeReport({ sequence: 2, slots: 8 }))
  expect(register.report(makeReport({ sequence: 1, slots: 4 }))).toBe('stale')
  expect(register.current?.slots).toBe(8)
})

test('an incarnation that leaves never becomes ready again', () => {
  const register = new InstanceRegistry(ADDRESS)
  register.report(makeReport({ sequence: 1, state: 'draining' }))
  register.report(makeReport({ sequence: 2, state: 'ready' }))
  expect(register.published?.state).toBe('draining')
  register.leave('i-1', 100)
  register.report(makeReport({ sequence: 3 }))
  expect(register.published?.state).toBe('left')
})

test('a late notice of an earlier incarnation does not end the present one', () => {
  const register = new InstanceRegistry(ADDRESS)
  register.report(makeReport({ bornMs: 200 }))
  expect(register.leave('i-1', 100)).toBe('stale')
  expect(register.leave('i-9', undefined)).toBe('foreign')
  expect(register.published?.state).toBe('ready')
})
