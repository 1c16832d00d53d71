import { expect, test } from 'vitest'
import { ConnectionLimit } from './ConnectionLimit.js'

/** Descriptors that leave room for ten idle connections. */
const MAX_DESCRIPTORS = 280

test('the connection that has been idle for longest closes, and one that is in use does not', () => {
  const closed: number[] = []
  const limit = new ConnectionLimit<number>(MAX_DESCRIPTORS, connection => closed.push(connection))
  for (let i = 0; i < 10; i++) limit.recordIdle(i)
  limit.remove(0)
  limit.recordIdle(1)
  limit.recordIdle(10)
  expect(closed).toEqual([])
  limit.recordIdle(11)
  limit.recordIdle(12)
  expect(closed).toEqual([2, 3])
})

test('few descriptors leave room for some connections', () => {
  const closed: number[] = []
  const limit = new ConnectionLimit<number>(0, connection => closed.push(connection))
  for (let i = 0; i < 8; i++) limit.recordIdle(i)
  expect(closed).toEqual([])
})
