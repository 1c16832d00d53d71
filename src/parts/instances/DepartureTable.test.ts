import { expect, test } from 'vitest'
import { DepartureTable, MAX_DEPARTURES } from './DepartureTable.js'

test('a departure covers the incarnation and earlier ones of its id, and no later one', () => {
  const table = new DepartureTable()
  expect([table.record({ id: 'i-1', bornMs: 100 }), table.record({ id: 'i-1', bornMs: 90 })]).toEqual([true, false])
  expect([90, 100, 101].map(bornMs => table.covers({ id: 'i-1', bornMs }))).toEqual([true, true, false])
  expect(table.covers({ id: 'i-2', bornMs: 1 })).toBe(false)
  expect(table.departures).toEqual([{ id: 'i-1', bornMs: 100 }])
})

// A health check names no start, so the instance that left would get calls again.
test('an incarnation whose start is assumed counts as the one that has left', () => {
  const table = new DepartureTable()
  table.record({ id: 'i-1', bornMs: 100 })
  expect(table.covers({ id: 'i-1', bornMs: 500, isBornAssumed: true })).toBe(true)
})

test('the departures of the instances that left last are kept', () => {
  const table = new DepartureTable()
  for (let i = 0; i <= MAX_DEPARTURES; i++) table.record({ id: `i-${i}`, bornMs: 1 })
  expect(table.departures).toHaveLength(MAX_DEPARTURES)
  expect([0, 1].map(i => table.covers({ id: `i-${i}`, bornMs: 1 }))).toEqual([false, true])
})
