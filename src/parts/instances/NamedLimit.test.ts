import { expect, test } from 'vitest'
import { NamedLimit } from './NamedLimit.js'

test('a limit holds until an answer to a later request names none', () => {
  const limit = new NamedLimit()
  limit.recordAnswer(5, 0, 100)
  limit.recordAnswer(undefined, 90, 110)
  expect(limit.perS).toBe(5)
  limit.recordAnswer(undefined, 105, 120)
  expect(limit.perS).toBe(undefined)
})

test('what other nodes have heard counts until the instance has answered', () => {
  const limit = new NamedLimit()
  limit.recordHearsay(8, 0)
  limit.recordHearsay(5, 10)
  limit.recordHearsay(7, 20)
  expect(limit.perS).toBe(5)
  limit.recordAnswer(undefined, 30, 40)
  limit.recordHearsay(5, 50)
  expect(limit.perS).toBe(undefined)
})

test('an answer to a request from before the hearsay does not lift the limit', () => {
  const limit = new NamedLimit()
  limit.recordHearsay(5, 10)
  limit.recordAnswer(undefined, 5, 20)
  expect(limit.perS).toBe(5)
})
