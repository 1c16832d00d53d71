import { expect, test } from 'vitest'
import { BUDGET, DRAIN_MS } from './Constants.js'
import { bodyOf, SoakLedger } from './SoakLedger.js'
import type { Rule } from './Types.js'

function rules (play: (ledger: SoakLedger, wait: (ms: number) => void) => void): Rule[] {
  let nowMs = 0
  const ledger = new SoakLedger(() => nowMs)
  play(ledger, ms => { nowMs += ms })
  return ledger.violations.map(({ rule }) => rule)
}

test('a sound course breaks no promise', () => {
  expect(rules(ledger => {
    ledger.ask('a', true)
    ledger.run('a', 'i')
    ledger.answered('a', bodyOf('a'), 'a', true)
    ledger.ask('b', true)
    ledger.refused('b')
    ledger.checkBudget()
  })).toEqual([])
})

test('a second run of a request that must run once is found', () => {
  expect(rules(ledger => {
    ledger.ask('a', true)
    ledger.run('a', 'i')
    ledger.run('a', 'j')
  })).toEqual(['at-most-once'])
})

test('a refusal before or after a run is found', () => {
  expect(rules(ledger => {
    ledger.ask('a', false)
    ledger.run('a', 'i')
    ledger.refused('a')
    ledger.ask('b', false)
    ledger.refused('b')
    ledger.run('b', 'i')
  })).toEqual(['true-not-run', 'true-not-run'])
})

test('an answer that is short, foreign or unsigned is found', () => {
  expect(rules(ledger => {
    for (const id of ['a', 'b', 'c']) ledger.ask(id, false)
    ledger.answered('a', bodyOf('a').slice(1), 'a', true)
    ledger.answered('b', bodyOf('b'), 'a', true)
    ledger.answered('c', bodyOf('c'), 'c', false)
  })).toEqual(['whole-own-answer', 'whole-own-answer', 'whole-own-answer'])
})

test('a run long after a drain is found, one shortly after is not', () => {
  expect(rules((ledger, wait) => {
    for (const id of ['a', 'b']) ledger.ask(id, false)
    ledger.drained('i')
    wait(DRAIN_MS - 1)
    ledger.run('a', 'i')
    wait(2)
    ledger.run('b', 'i')
  })).toEqual(['no-run-after-drain'])
})

test('more repeats than the budget in a window are found', () => {
  expect(rules((ledger, wait) => {
    for (let i = 0; i < BUDGET.slack + 2; i++) {
      ledger.ask(`r${i}`, false)
      ledger.run(`r${i}`, 'i')
      wait(1)
      ledger.run(`r${i}`, 'j')
      ledger.run(`r${i}`, 'k')
    }
    ledger.checkBudget()
  })).toEqual(['budget'])
})
