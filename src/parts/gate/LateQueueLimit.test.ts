import { expect, test } from 'vitest'
import { INITIAL_LATE_QUEUE_LIMIT } from './Constants.js'
import { LateQueueLimit } from './LateQueueLimit.js'

test('late calls that expire lower the limit to 0, and an empty queue raises it to 1', () => {
  const limit = new LateQueueLimit()
  expect(limit.current).toBe(INITIAL_LATE_QUEUE_LIMIT)
  for (let i = 0; i < 3; i++) limit.recordExpired()
  expect(limit.current).toBe(0)
  limit.recordEmpty()
  expect(limit.current).toBe(1)
})

test('late calls that start raise the limit up to the slots', () => {
  const limit = new LateQueueLimit()
  for (let i = 0; i < 100; i++) limit.recordStart(6)
  expect(limit.current).toBe(6)
})
