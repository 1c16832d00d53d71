import { expect, test } from 'vitest'
import { NamedLimit } from './NamedLimit.js'

function makeLimit (): NamedLimit {
  const limit = new NamedLimit()
  limit.setInstance('i-1', 0)
  return limit
}

test('a limit holds until an answer to a later request names none', () => {
  const limit = makeLimit()
  limit.recordAnswer(5, 0, 100)
  limit.recordAnswer(undefined, 90, 110)
  expect(limit.perS).toBe(5)
  limit.recordAnswer(undefined, 105, 120)
  expect(limit.perS).toBe(undefined)
})

test('the lowest limit that other nodes have heard counts until the instance has answered', () => {
  const limit = makeLimit()
  for (const perS of [8, 5, 7]) limit.recordHearsay({ instance: 'i-1', perS }, 10)
  expect(limit.perS).toBe(5)
  limit.recordAnswer(undefined, 30, 40)
  limit.recordHearsay({ instance: 'i-1', perS: 5 }, 50)
  expect(limit.perS).toBe(undefined)
})

test('an answer to a request from before the hearsay does not lift the limit', () => {
  const limit = makeLimit()
  limit.recordHearsay({ instance: 'i-1', perS: 5 }, 10)
  limit.recordAnswer(undefined, 5, 20)
  expect(limit.perS).toBe(5)
})

test('what other nodes have heard counts once the instance is known', () => {
  const limit = new NamedLimit()
  limit.recordHearsay({ instance: 'i-1', perS: 5 }, 10)
  expect(limit.perS).toBe(undefined)
  limit.setInstance('i-1', 20)
  expect(limit.perS).toBe(5)
})

test('a limit does not hold for the instance after', () => {
  const limit = makeLimit()
  limit.recordAnswer(5, 0, 100)
  limit.setInstance('i-2', 200)
  limit.recordHearsay({ instance: 'i-1', perS: 5 }, 300)
  expect(limit.perS).toBe(undefined)
})
