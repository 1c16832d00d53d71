import { expect, test } from 'vitest'
import { DRAIN_GRACE_MS, QUARANTINE_RULE, RETRY_BUDGET, STABLE_WINDOW_MS } from './Constants.js'
import { expectedBody, SoakLedger, uploadBody } from './SoakLedger.js'
import type { Rule } from './Types.js'

/** Returns the rules that were violated by what `record` does to a ledger. */
function findBrokenRules (record: (ledger: SoakLedger, wait: (ms: number) => void) => void): Rule[] {
  let nowMs = 0
  const ledger = new SoakLedger(() => nowMs)
  record(ledger, ms => { nowMs += ms })
  return ledger.violations.map(({ rule }) => rule)
}

test('a run and a refusal that fit violate no guarantee', () => {
  expect(findBrokenRules(ledger => {
    ledger.recordRequest('a', true)
    ledger.recordRun('a', 'i')
    ledger.recordAnswer('a', expectedBody('a'), 'a', true)
    ledger.recordRequest('b', true)
    ledger.recordRefusal('b')
    ledger.checkRetryBudget()
  })).toEqual([])
})

test('a second run of an at-most-once request is a violation', () => {
  expect(findBrokenRules(ledger => {
    ledger.recordRequest('a', true)
    ledger.recordRun('a', 'i')
    ledger.recordRun('a', 'j')
  })).toEqual(['at-most-once'])
})

test('a refusal of a request that runs before or after it is a violation', () => {
  expect(findBrokenRules(ledger => {
    ledger.recordRequest('a', false)
    ledger.recordRun('a', 'i')
    ledger.recordRefusal('a')
    ledger.recordRequest('b', false)
    ledger.recordRefusal('b')
    ledger.recordRun('b', 'i')
  })).toEqual(['true-not-run', 'true-not-run'])
})

test('an answer that is truncated, for another request or unsigned is a violation', () => {
  expect(findBrokenRules(ledger => {
    for (const id of ['a', 'b', 'c']) ledger.recordRequest(id, false)
    ledger.recordAnswer('a', expectedBody('a').slice(1), 'a', true)
    ledger.recordAnswer('b', expectedBody('b'), 'a', true)
    ledger.recordAnswer('c', expectedBody('c'), 'c', false)
  })).toEqual(['whole-own-answer', 'whole-own-answer', 'whole-own-answer'])
})

test('only a run after the drain grace is a violation', () => {
  expect(findBrokenRules((ledger, wait) => {
    for (const id of ['a', 'b']) ledger.recordRequest(id, false)
    ledger.recordDrain('i')
    wait(DRAIN_GRACE_MS - 1)
    ledger.recordRun('a', 'i')
    wait(2)
    ledger.recordRun('b', 'i')
  })).toEqual(['no-run-after-drain'])
})

test('more retries in a window than the budget allows are a violation', () => {
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

test('a path that goes on crashing instances after it has crashed three is a violation', () => {
  const crashFor = (count: number) => (ledger: SoakLedger, wait: (ms: number) => void): void => {
    for (let i = 0; i < count; i++) {
      ledger.recordPoisonRun('/p')
      wait(i < QUARANTINE_RULE.crashes - 1 ? 0 : STABLE_WINDOW_MS + 1)
    }
  }
  expect(findBrokenRules(crashFor(QUARANTINE_RULE.crashes + QUARANTINE_RULE.runs))).toEqual([])
  expect(findBrokenRules(crashFor(QUARANTINE_RULE.crashes + QUARANTINE_RULE.runs + 1))).toEqual(['quarantine'])
})

test('an upload that an instance reads with a lost or changed byte is a violation', () => {
  expect(findBrokenRules(ledger => {
    const body = uploadBody('a')
    ledger.recordUpload('a', 'i', body)
    ledger.recordUpload('a', 'i', body.subarray(1))
    body[0] = (body[0] ?? 0) ^ 1
    ledger.recordUpload('a', 'i', body)
  })).toEqual(['whole-upload', 'whole-upload'])
})
