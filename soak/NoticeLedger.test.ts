import { expect, test } from 'vitest'
import { DRAIN_GRACE_MS, LIMIT_RULE, STABLE_WINDOW_MS } from './Constants.js'
import { NoticeLedger } from './NoticeLedger.js'
import type { Rule } from './Types.js'

const LIMITED = { namesLimit: true, isLeaving: false }
const LEAVING = { namesLimit: false, isLeaving: true }

interface Play {
  readonly ledger: NoticeLedger
  readonly rules: Rule[]
  /** Moves the time and returns it. */
  wait (ms: number): number
}

function play (): Play {
  let nowMs = 0
  const rules: Rule[] = []
  const ledger = new NoticeLedger(() => nowMs, rule => rules.push(rule))
  return { ledger, rules, wait: ms => { nowMs += ms; return nowMs } }
}

/** Names a limit of 2 a second, tells node `a`, and lets the time pass until the limit binds. */
function playLimited (): Play {
  const started = play()
  started.ledger.setLimit('i', 2)
  started.ledger.recordAnswer('a', 'i', LIMITED)
  started.wait(STABLE_WINDOW_MS)
  return started
}

const ALLOWED = LIMIT_RULE.ratio * 2 * LIMIT_RULE.windowMs / 1000 + LIMIT_RULE.slack

test('more requests than the limit allows from nodes that were told are a violation', () => {
  const { ledger, rules } = playLimited()
  for (let i = 0; i < ALLOWED; i++) ledger.recordArrival('i', 'a', 0)
  expect(rules).toEqual([])
  ledger.recordArrival('i', 'a', 0)
  expect(rules).toEqual(['request-limit'])
})

test('requests from nodes that were not told, or excused since, do not count', () => {
  const { ledger, rules } = playLimited()
  for (let i = 0; i < 2 * ALLOWED; i++) ledger.recordArrival('i', 'b', 0)
  ledger.excuse('a')
  for (let i = 0; i < 2 * ALLOWED; i++) ledger.recordArrival('i', 'a', 0)
  expect(rules).toEqual([])
})

test('requests spread over a longer time than the window do not count together', () => {
  const { ledger, rules, wait } = playLimited()
  for (let i = 0; i < ALLOWED; i++) ledger.recordArrival('i', 'a', 0)
  wait(LIMIT_RULE.windowMs)
  for (let i = 0; i < ALLOWED; i++) ledger.recordArrival('i', 'a', 0)
  expect(rules).toEqual([])
})

test('a request sent later than the grace after a node was told of a departure is a violation', () => {
  const { ledger, rules, wait } = play()
  ledger.recordAnswer('a', 'i', LEAVING)
  const lateMs = wait(DRAIN_GRACE_MS + 1)
  ledger.recordArrival('i', 'a', lateMs - 1)
  ledger.recordArrival('i', 'b', lateMs)
  expect(rules).toEqual([])
  ledger.recordArrival('i', 'a', lateMs)
  expect(rules).toEqual(['no-run-after-leaving'])
})
