import { expect, test } from 'vitest'
import { drawSchedule } from './FaultSchedule.js'

test('the same seed and length give the same schedule', () => {
  expect(drawSchedule(3, 20_000)).toEqual(drawSchedule(3, 20_000))
  expect(drawSchedule(3, 20_000)).not.toEqual(drawSchedule(4, 20_000))
})

test('faults are ordered by time, and the first twenty schedules contain every kind', () => {
  const schedules = Array.from({ length: 20 }, (_, index) => drawSchedule(index + 1, 20_000))
  for (const faults of schedules) expect([...faults].sort((a, b) => a.atMs - b.atMs)).toEqual(faults)
  expect(new Set(schedules.flat().map(({ kind }) => kind)).size).toBe(23)
})
