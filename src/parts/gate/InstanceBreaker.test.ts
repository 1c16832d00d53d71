import { expect, test } from 'vitest'
import { InstanceBreaker } from './InstanceBreaker.js'

test('three consecutive failures open the breaker, an answer in between prevents it', () => {
  const breaker = new InstanceBreaker()
  breaker.recordFailure(0)
  breaker.recordFailure(0)
  breaker.recordSuccess()
  breaker.recordFailure(0)
  breaker.recordFailure(0)
  expect(breaker.state).toBe('closed')
  breaker.recordFailure(0)
  expect(breaker.state).toBe('open')
})

test('each failed trial doubles the backoff before the next', () => {
  const breaker = new InstanceBreaker()
  breaker.open(0)
  expect(breaker.isTrialDue(249)).toBe(false)
  expect(breaker.isTrialDue(250)).toBe(true)
  breaker.startTrial()
  breaker.recordFailure(250)
  expect(breaker.state).toBe('open')
  expect(breaker.isTrialDue(250 + 499)).toBe(false)
  expect(breaker.isTrialDue(250 + 500)).toBe(true)
})

test('an instance that is lost twice within a while is flapping, also after it has answered', () => {
  const breaker = new InstanceBreaker()
  breaker.open(1000)
  breaker.recordSuccess()
  expect(breaker.isFlapping(1100)).toBe(false)
  breaker.open(5000)
  breaker.recordSuccess()
  expect([breaker.isFlapping(5100), breaker.isFlapping(40_000)]).toEqual([true, false])
})

test('an answered trial closes the breaker and resets the backoff', () => {
  const breaker = new InstanceBreaker()
  breaker.open(0)
  breaker.startTrial()
  breaker.recordSuccess()
  expect(breaker.state).toBe('closed')
  breaker.open(1000)
  expect(breaker.isTrialDue(1250)).toBe(true)
})
