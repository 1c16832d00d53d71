import { expect, test } from 'vitest'
import { ColdLedger } from './ColdLedger.js'
import { COLD_RULE } from './Constants.js'
import type { Rule } from './Types.js'

const ALLOWED = Math.floor(COLD_RULE.ratio * COLD_RULE.perS + COLD_RULE.slack)

/** Returns the rules that are broken by so many arrivals at each of some times, in milliseconds. */
function findBroken (countsByMs: ReadonlyArray<readonly [number, number]>, isCold = (_atMs: number) => true): Rule[] {
  let nowMs = 0
  const rules: Rule[] = []
  const ledger = new ColdLedger(() => nowMs, rule => rules.push(rule))
  for (const [atMs, count] of countsByMs) {
    nowMs = atMs
    for (let i = 0; i < count; i++) ledger.recordArrival('i', isCold(atMs))
  }
  return rules
}

test('more requests in a second than a cold instance tolerates are a violation', () => {
  expect(findBroken([[0, ALLOWED]])).toEqual([])
  expect(findBroken([[0, ALLOWED - 1], [COLD_RULE.windowMs - 1, 2]])).toEqual(['cold-limit'])
  expect(findBroken([[0, ALLOWED], [COLD_RULE.windowMs, ALLOWED]])).toEqual([])
})

test('requests to a warm instance do not count', () => {
  expect(findBroken([[0, 1000], [1, ALLOWED]], atMs => atMs > 0)).toEqual([])
})
