import { expect, test } from 'vitest'
import { FIRST_LATE_ROOM } from './Constants.js'
import { LateQueueLimit } from './LateQueueLimit.js'

test('late calls stop waiting when they wait in vain, and wait again once the line has been empty', () => {
  const room = new LateQueueLimit()
  expect(room.size).toBe(FIRST_LATE_ROOM)
  for (let i = 0; i < 3; i++) room.starved()
  expect(room.size).toBe(0)
  room.idle()
  expect(room.size).toBe(1)
})

test('more late calls wait while they get their turn, up to the slots', () => {
  const room = new LateQueueLimit()
  for (let i = 0; i < 100; i++) room.served(6)
  expect(room.size).toBe(6)
})
