import { expect, test } from 'vitest'
import { EMPTY_AFTER_MS } from './Constants.js'
import { EvacuationLedger } from './EvacuationLedger.js'

let nowMs = 0
let violations: string[] = []

function makeLedger (): EvacuationLedger {
  nowMs = 0
  violations = []
  const ledger = new EvacuationLedger(() => nowMs, rule => violations.push(rule))
  ledger.recordInstance('i-0', 'zone-0')
  ledger.recordInstance('i-1', 'zone-1')
  return ledger
}

test('only a request to the evacuated zone, after its time and before the end, is a violation', () => {
  const ledger = makeLedger()
  ledger.recordStart('zone-0')
  nowMs = EMPTY_AFTER_MS - 1
  ledger.recordArrival('i-0', 'early')
  nowMs = EMPTY_AFTER_MS
  ledger.recordArrival('i-1', 'elsewhere')
  expect(violations).toEqual([])
  ledger.recordArrival('i-0', 'late')
  expect(violations).toEqual(['evacuated-zone-empty'])
  ledger.recordEnd('zone-0')
  ledger.recordArrival('i-0', 'returned')
  expect(violations).toHaveLength(1)
})

test('a loss of the quorum excuses a zone only before it must be empty', () => {
  const ledger = makeLedger()
  ledger.recordStart('zone-0')
  nowMs = EMPTY_AFTER_MS - 1
  ledger.recordQuorumLoss(1000)
  nowMs += EMPTY_AFTER_MS + 999
  ledger.recordArrival('i-0', 'excused')
  expect(violations).toEqual([])
  nowMs += 1
  ledger.recordQuorumLoss(1000)
  ledger.recordArrival('i-0', 'late')
  expect(violations).toEqual(['evacuated-zone-empty'])
})
