import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { LOSS_VERDICT_MS } from '../parts/quarantine/Constants.js'
import type { CallId } from '../parts/Types.js'
import { CrashAttribution } from './CrashAttribution.js'
import type { Quarantine } from './Quarantine.js'
import type { RoutedCall } from './Types.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const clock = { nowMs: () => Date.now(), wallMs: () => Date.now() }
const CALL = { requestId: 'r' } as RoutedCall

let running = new Set<CallId>()
/** Calls that were in flight at each crash. */
let crashes: CallId[][] = []
let isRefused = false

beforeEach(() => { vi.useFakeTimers({ now: 1000 }) })

afterEach(() => {
  vi.useRealTimers()
  running = new Set()
  crashes = []
  isRefused = false
})

function makeAttribution (): CrashAttribution {
  const quarantine = {
    recordStart: (id: CallId) => running.add(id),
    recordEnd: (id: CallId) => running.delete(id),
    recordCrash: () => {
      crashes.push([...running])
      running.clear()
    }
  }
  return new CrashAttribution({
    quarantine: quarantine as unknown as Quarantine,
    clock,
    log: SILENT,
    checkListener: onResult => setImmediate(() => onResult(isRefused))
  })
}

function startCalls (attribution: CrashAttribution, ...ids: CallId[]): void {
  ids.forEach(id => attribution.recordStart(id, 'i', CALL))
}

test('all calls in flight are blamed once when nothing listens after a loss', async () => {
  const attribution = makeAttribution()
  startCalls(attribution, 1, 2, 3)
  attribution.recordAnswer(3)
  isRefused = true
  attribution.recordLoss(1)
  await vi.advanceTimersByTimeAsync(10)
  attribution.recordLoss(2)
  await vi.advanceTimersByTimeAsync(10 * LOSS_VERDICT_MS)
  expect(crashes).toEqual([[1, 2]])
})

test('a call that was sent after the loss did not reach the instance and is not blamed', async () => {
  const attribution = makeAttribution()
  startCalls(attribution, 1)
  attribution.recordLoss(1)
  await vi.advanceTimersByTimeAsync(10)
  startCalls(attribution, 2)
  isRefused = true
  await vi.advanceTimersByTimeAsync(100)
  expect(crashes).toEqual([[1]])
})

test('an instance that starts anew has crashed, also when its new listener accepts at once', async () => {
  const attribution = makeAttribution()
  startCalls(attribution, 1)
  attribution.recordLoss(1)
  await vi.advanceTimersByTimeAsync(1000)
  attribution.recordRestart(true)
  expect(crashes).toEqual([[1]])
})

test('a lost connection to an instance that answers later requests blames nobody', async () => {
  const attribution = makeAttribution()
  startCalls(attribution, 1)
  attribution.recordLoss(1)
  await vi.advanceTimersByTimeAsync(10)
  startCalls(attribution, 2)
  attribution.recordAnswer(2)
  expect(running.size).toBe(0)
  attribution.recordRestart(true)
  expect(crashes).toEqual([])
})

test('a lost call is forgotten when nothing tells what became of the instance', async () => {
  const attribution = makeAttribution()
  startCalls(attribution, 1)
  attribution.recordLoss(1)
  await vi.advanceTimersByTimeAsync(2 * LOSS_VERDICT_MS)
  expect([running.size, vi.getTimerCount()]).toEqual([0, 0])
})

test('an instance that was leaving has not crashed when the next one starts', () => {
  const attribution = makeAttribution()
  startCalls(attribution, 1)
  attribution.recordRestart(false)
  expect(crashes).toEqual([])
})
