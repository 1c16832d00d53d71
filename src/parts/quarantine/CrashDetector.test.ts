import { expect, test } from 'vitest'
import { LOSS_VERDICT_MS } from './Constants.js'
import { CrashDetector } from './CrashDetector.js'
import type { InstanceEvidence, LossVerdict } from './Types.js'

/** Returns the verdicts on pieces of evidence that come 10 ms apart. */
function judge (...evidence: InstanceEvidence[]): LossVerdict[] {
  const detector = new CrashDetector()
  return evidence.flatMap((item, index) => detector.step(item, index * 10))
}

const LOST = { type: 'lost' } as const
const REFUSED = { type: 'refused' } as const

test('an instance that refuses connections after a loss has crashed', () => {
  expect(judge(LOST, LOST, REFUSED, REFUSED)).toEqual(['crashed'])
})

test('an instance that refuses connections without a loss is not judged', () => {
  expect(judge(REFUSED)).toEqual([])
})

test('an instance that starts anew after a loss has crashed, also when it was leaving', () => {
  expect(judge(LOST, { type: 'restarted', wasReady: false })).toEqual(['crashed'])
})

test('an instance that starts anew without a loss has crashed unless it was leaving', () => {
  expect(judge({ type: 'restarted', wasReady: true })).toEqual(['crashed'])
  expect(judge({ type: 'restarted', wasReady: false })).toEqual([])
})

test('an answer to a request that was sent before the loss proves nothing', () => {
  expect(judge(LOST, { type: 'answered', sentAtMs: 0 }, REFUSED)).toEqual(['crashed'])
  expect(judge(LOST, { type: 'answered', sentAtMs: 1 }, REFUSED)).toEqual(['running'])
})

test('a loss without evidence stays unknown after a while', () => {
  const detector = new CrashDetector()
  detector.step(LOST, 0)
  expect(detector.step({ type: 'tick' }, LOSS_VERDICT_MS - 1)).toEqual([])
  expect(detector.step({ type: 'tick' }, LOSS_VERDICT_MS)).toEqual(['unknown'])
  expect(detector.isOpen).toBe(false)
})
