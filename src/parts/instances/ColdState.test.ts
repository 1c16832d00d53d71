import { expect, test } from 'vitest'
import { ColdState } from './ColdState.js'

const INSTANCE = { id: 'i-1', bornMs: 100 }
const START_MS = 3000

function makeState (nowMs = 0): ColdState {
  const state = new ColdState()
  state.setInstance(INSTANCE, nowMs)
  return state
}

test('an instance is assumed cold from when it was found, until a report tells otherwise', () => {
  const state = makeState(500)
  expect([state.coldUntilMs(START_MS), state.source]).toEqual([3500, 'assumed'])
  state.recordReport(0, 600)
  expect([state.coldUntilMs(START_MS), state.source]).toEqual([600, 'report'])
})

test('a new incarnation is assumed cold, also under the same id', () => {
  const state = makeState()
  state.recordReport(0, 10)
  state.setInstance({ ...INSTANCE, bornMs: 200 }, 20)
  expect(state.coldUntilMs(START_MS)).toBe(20 + START_MS)
  state.recordReport(0, 30)
  state.setInstance({ ...INSTANCE, bornMs: 200 }, 40)
  expect(state.coldUntilMs(START_MS)).toBe(30)
})

// The start of an instance that a health check has found is not known before its first report.
test('the first report of an instance that a health check has found is not of a new incarnation', () => {
  const state = new ColdState()
  expect(state.recordHealth('i-1', 800, 9, 10)).toBe(false)
  state.setInstance({ id: 'i-1', bornMs: 1, isBornAssumed: true }, 10)
  expect([state.coldUntilMs(START_MS), state.source]).toEqual([810, 'health'])
  state.setInstance(INSTANCE, 500)
  expect(state.coldUntilMs(START_MS)).toBe(810)
})

test('an answer of another instance says nothing, also when that instance is found much later', () => {
  const state = makeState()
  expect(state.recordHealth('i-2', 0, 5, 6)).toBe(false)
  expect(state.coldUntilMs(START_MS)).toBe(START_MS)
  state.setInstance({ id: 'i-2', bornMs: 300 }, 5000)
  expect(state.coldUntilMs(START_MS)).toBe(5000 + START_MS)
})

test('an answer proves an instance warm unless it was asked before the last evidence that it is cold', () => {
  const state = makeState()
  expect(state.recordHealth('i-1', 0, 1, 2)).toBe(true)
  expect(state.recordHealth('i-1', 1000, 10, 12)).toBe(false)
  expect(state.coldUntilMs(START_MS)).toBe(1012)
  expect(state.recordHealth('i-1', 0, 11, 13)).toBe(false)
  expect(state.coldUntilMs(START_MS)).toBe(1012)
  expect(state.recordHealth('i-1', 0, 14, 15)).toBe(true)
  expect(state.coldUntilMs(START_MS)).toBeLessThanOrEqual(15)
  state.assumeCold(20)
  expect(state.recordHealth('i-1', 0, 19, 21)).toBe(false)
  expect(state.coldUntilMs(START_MS)).toBe(20 + START_MS)
})

test('answers out of order do not shorten the cold time', () => {
  const state = makeState()
  state.recordHealth('i-1', 2000, 10, 12)
  state.recordHealth('i-1', 500, 8, 13)
  expect(state.coldUntilMs(START_MS)).toBe(2012)
})

// It may have been sent before the check was answered.
test('a report does not end the cold time that a health check has told', () => {
  const state = makeState()
  state.recordHealth('i-1', 2000, 10, 12)
  state.recordReport(0, 500)
  state.recordReport(1600, 600)
  expect([state.coldUntilMs(START_MS), state.source]).toEqual([2012, 'health'])
  state.recordReport(0, 2500)
  expect(state.coldUntilMs(START_MS)).toBe(2500)
})

test('a report of a longer cold time than a health check has told makes the instance cold for longer', () => {
  const state = makeState()
  state.recordHealth('i-1', 500, 10, 12)
  state.recordReport(3000, 400)
  expect([state.coldUntilMs(START_MS), state.source]).toEqual([3400, 'report'])
  expect(state.recordHealth('i-1', 0, 399, 410)).toBe(false)
})

test('after it is assumed cold, an instance is cold until a report or a check tells otherwise', () => {
  const state = makeState()
  state.recordHealth('i-1', 0, 1, 2)
  state.assumeCold(1000)
  expect(state.coldUntilMs(START_MS)).toBe(1000 + START_MS)
  expect(state.recordHealth('i-1', 0, 1001, 1002)).toBe(true)
  state.assumeCold(2000)
  state.recordReport(0, 2100)
  expect(state.coldUntilMs(START_MS)).toBe(2100)
})
