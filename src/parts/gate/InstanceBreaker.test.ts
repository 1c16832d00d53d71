import { expect, test } from 'vitest'
import { InstanceBreaker } from './InstanceBreaker.js'

test('three failures in a row open it, an answer in between does not', () => {
  const breaker = new InstanceBreaker()
  breaker.fail(0)
  breaker.fail(0)
  breaker.succeed()
  breaker.fail(0)
  breaker.fail(0)
  expect(breaker.state).toBe('closed')
  breaker.fail(0)
  expect(breaker.state).toBe('open')
})

test('it is tried after a pause that grows with each failed trial', () => {
  const breaker = new InstanceBreaker()
  breaker.open(0)
  expect(breaker.isDue(249)).toBe(false)
  expect(breaker.isDue(250)).toBe(true)
  breaker.tryAgain()
  breaker.fail(250)
  expect(breaker.state).toBe('open')
  expect(breaker.isDue(250 + 499)).toBe(false)
  expect(breaker.isDue(250 + 500)).toBe(true)
})

test('an answered trial closes it and its pause starts anew', () => {
  const breaker = new InstanceBreaker()
  breaker.open(0)
  breaker.tryAgain()
  breaker.succeed()
  expect(breaker.state).toBe('closed')
  breaker.open(1000)
  expect(breaker.isDue(1250)).toBe(true)
})
