import { expect, test } from 'vitest'
import { InstanceBreaker } from './InstanceBreaker.js'

test('three failures in a row open it, an answer in between does not', () => {
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

test('it is tried after a pause that grows with each failed trial', () => {
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

test('an answered trial closes it and its pause starts anew', () => {
  const breaker = new InstanceBreaker()
  breaker.open(0)
  breaker.startTrial()
  breaker.recordSuccess()
  expect(breaker.state).toBe('closed')
  breaker.open(1000)
  expect(breaker.isTrialDue(1250)).toBe(true)
})
