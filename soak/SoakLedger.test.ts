import { expect, test } from 'vitest'
import { RETRY_BUDGET, DRAIN_GRACE_MS } from './Constants.js'
import { expectedBody, SoakLedger } from './SoakLedger.js'
import type { Rule } from './Types.js'

function findBrokenRules (record: (ledger: SoakLedger, wait: (ms: number) => void) => void): Rule[] {
  let nowMs = 0
  const ledger = new SoakLedger(() => nowMs)
  record(ledger, ms => { nowMs += ms })
  return ledger.violations.map(({ rule }) => rule)
}

test('a sound course breaks no promise', () => {
  expect(findBrokenRules(ledger => {
    ledger.recordRequest('a', true)
    ledger.recordRun('a', 'i')
    ledger.recordAnswer('a', expectedBody('a'), 'a', true)
    ledger.recordRequest('b', true)
    ledger.recordRefusal('b')
    ledger.checkRetryBudget()
  })).toEqual([])
})

test('a second run of a request that must run once is found', () => {
  expect(findBrokenRules(ledger => {
    ledger.recordRequest('a', true)
    ledger.recordRun('a', 'i')
    ledger.recordRun('a', 'j')
  })).toEqual(['at-most-once'])
})

test('a refusal before or after a run is found', () => {
  expect(findBrokenRules(ledger => {
    ledger.recordRequest('a', false)
    ledger.recordRun('a', 'i')
    ledger.recordRefusal('a')
    ledger.recordRequest('b', false)
    ledger.recordRefusal('b')
    ledger.recordRun('b', 'i')
  })).toEqual(['true-not-run', 'true-not-run'])
})

test('an answer that is short, foreign or unsigned is found', () => {
  expect(findBrokenRules(ledger => {
    for (const id of ['a', 'b', 'c']) ledger.recordRequest(id, false)
    ledger.recordAnswer('a', expectedBody('a').slice(1), 'a', true)
    ledger.recordAnswer('b', expectedBody('b'), 'a', true)
    ledger.recordAnswer('c', expectedBody('c'), 'c', false)
  })).toEqual(['whole-own-answer', 'whole-own-answer', 'whole-own-answer'])
})

test('a run long after a drain is found, one shortly after is not', () => {
  expect(findBrokenRules((ledger, wait) => {
    for (const id of ['a', 'b']) ledger.recordRequest(id, false)
    ledger.recordDrain('i')
    wait(DRAIN_GRACE_MS - 1)
    ledger.recordRun('a', 'i')
    wait(2)
    ledger.recordRun('b', 'i')
  })).toEqual(['no-run-after-drain'])
})

test('more repeats than the budget in a window are found', () => {
  expect(findBrokenRules((ledger, wait) => {
    for (let i = 0; i < RETRY_BUDGET.slack + 2; i++) {
      ledger.recordRequest(`r${i}`, false)
      ledger.recordRun(`r${i}`, 'i')
      wait(1)
      ledger.recordRun(`r${i}`, 'j')
      ledger.recordRun(`r${i}`, 'k')
    }
    ledger.checkRetryBudget()
  })).toEqual(['budget'])
})
