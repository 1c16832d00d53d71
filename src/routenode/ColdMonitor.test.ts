import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { ColdVm, type ColdVmOptions } from '../../test/support/ColdVm.js'
import { SeededRandom } from '../parts/SeededRandom.js'

const SETTING = { perS: 5, startMs: 3000 }

/** Interval of the reports of an instance, in milliseconds. */
const REPORT_INTERVAL_MS = 1500

/** Shortest time between two restarts of a node, in milliseconds; the start of the process alone takes as long. */
const MIN_NODE_RESTART_MS = 500

beforeEach(() => { vi.useFakeTimers({ now: 10_000 }) })

afterEach(() => { vi.useRealTimers() })

function makeVm (changes: Partial<ColdVmOptions> = {}): ColdVm {
  return new ColdVm({ setting: SETTING, slots: 20, runMs: 50, checkDelayMs: () => 2, ...changes })
}

/** Offers calls evenly for some time and returns how many started. */
function offerEvenly (vm: ColdVm, perS: number, forMs: number): number {
  const before = vm.started
  const stepMs = 1000 / perS
  for (let atMs = 0; atMs < forMs; atMs += stepMs) {
    vm.offer()
    vi.advanceTimersByTime(stepMs)
  }
  return vm.started - before
}

/** Starts a VM whose node has learned by a report and a check that the instance is warm. */
function startWarm (changes: Partial<ColdVmOptions> = {}): ColdVm {
  const vm = makeVm(changes)
  vm.report(0)
  offerEvenly(vm, 20, 3000)
  return vm
}

test('an instance that its node has just found is assumed cold until it says otherwise', () => {
  const vm = makeVm({ checkDelayMs: () => undefined })
  vm.becomeCold(0)
  vm.report(0)
  vi.advanceTimersByTime(1)
  vm.assumeCold()
  expect(offerEvenly(vm, 100, 2000)).toBeLessThanOrEqual(2 * SETTING.perS + 2)
})

test('a warm instance gets all that is offered, also far above the rate of a cold one', () => {
  const vm = startWarm()
  const checksBefore = vm.checks
  expect(offerEvenly(vm, 200, 5000)).toBe(1000)
  // The operators allow 60 checks a second.
  expect(vm.checks - checksBefore).toBeLessThanOrEqual(5 * 60)
})

test('a warm instance that gets few calls is not checked', () => {
  const vm = startWarm()
  offerEvenly(vm, 8, 2000)
  const checksBefore = vm.checks
  expect(offerEvenly(vm, 8, 10_000)).toBe(80)
  expect(vm.checks).toBe(checksBefore)
})

// Reports come every 1.5 s; at 200 calls a second that would be 300 calls before the node knows.
test('the bound holds in the second in which a busy instance becomes cold', () => {
  const vm = startWarm()
  offerEvenly(vm, 200, 1000)
  vm.becomeCold(4000)
  offerEvenly(vm, 200, 4000)
  expect(vm.worstExcess()).toBeLessThanOrEqual(0)
  expect(vm.declined).toBeGreaterThan(0)
})

test('an instance that is warm again gets its full share within a second', () => {
  const vm = startWarm()
  vm.becomeCold(2500)
  offerEvenly(vm, 100, 3500)
  expect(offerEvenly(vm, 100, 1000)).toBe(100)
})

test('a cold instance gets about the rate that it tolerates, evenly spaced', () => {
  const vm = startWarm()
  vm.becomeCold(10_000)
  offerEvenly(vm, 100, 1000)
  const before = vm.arrivalsMs.length
  const started = offerEvenly(vm, 100, 8000)
  expect(started).toBeGreaterThanOrEqual(0.9 * 8 * SETTING.perS)
  expect(started).toBeLessThanOrEqual(8 * SETTING.perS + 2)
  const timesMs = vm.arrivalsMs.slice(before)
  const gaps = timesMs.slice(2).map((ms, index) => ms - (timesMs[index + 1] ?? 0))
  expect(Math.min(...gaps)).toBeGreaterThanOrEqual(0.9 * 1000 / SETTING.perS)
})

test('a restarted node does not allow a second burst', () => {
  const vm = startWarm()
  offerEvenly(vm, 200, 500)
  vm.becomeCold(5000)
  offerEvenly(vm, 200, 100)
  vm.restartNode()
  vm.report(0)
  offerEvenly(vm, 200, 3000)
  expect(vm.worstExcess()).toBeLessThanOrEqual(0)
})

// The old run has sent all that it may without a proof; the report was sent before the instance became cold.
test('a restarted node that hears a delayed report does not allow a second burst', () => {
  const answering = { delayMs: 2 as number | undefined }
  const vm = startWarm({ checkDelayMs: () => answering.delayMs })
  vi.advanceTimersByTime(1000)
  vm.report(20)
  answering.delayMs = undefined
  vm.becomeCold(5000)
  for (let i = 0; i < 20; i++) vm.offer()
  vm.restartNode()
  offerEvenly(vm, 500, 1500)
  expect(vm.worstExcess()).toBeLessThanOrEqual(0)
})

// The report was sent before the instance became cold.
test('a delayed report does not make a cold instance warm', () => {
  const vm = startWarm()
  vm.report(1000)
  vi.advanceTimersByTime(1)
  vm.becomeCold(5000)
  offerEvenly(vm, 100, 500)
  expect(offerEvenly(vm, 100, 2000)).toBeLessThanOrEqual(2 * SETTING.perS + 2)
})

test('an instance that answers no checks is sent the rate of a cold one, and all again once it answers', () => {
  const answering = { delayMs: undefined as number | undefined }
  const vm = startWarm({ checkDelayMs: () => answering.delayMs })
  offerEvenly(vm, 100, 1000)
  expect(offerEvenly(vm, 100, 3000)).toBeLessThanOrEqual(3 * SETTING.perS + 2)
  answering.delayMs = 2
  offerEvenly(vm, 100, 200)
  expect(offerEvenly(vm, 100, 1000)).toBe(100)
})

test('a service without a limit is neither limited nor checked', () => {
  const vm = makeVm({ setting: { perS: 0, startMs: 3000 } })
  vm.becomeCold(5000)
  vm.report(0)
  vi.advanceTimersByTime(1)
  expect(offerEvenly(vm, 200, 2000)).toBe(400)
  expect(vm.checks).toBe(0)
})

/** Plays random arrivals, cold times, restarts, delayed reports and lost answers for some time. */
function playRandomly (seed: number, perS: number, callsPerS: number): ColdVm {
  const random = new SeededRandom(seed)
  const vm = makeVm({
    setting: { perS, startMs: 2000 },
    slots: 5 + Math.floor(60 * random.next()),
    checkDelayMs: () => random.next() < 0.1 ? undefined : 1 + 90 * random.next() ** 4
  })
  const chancePerMs = (everyMs: number): boolean => random.next() < 1 / everyMs
  let restartedAtMs = 0
  vm.restartInstance()
  for (let ms = 0; ms < 15_000; ms++) {
    if (ms % REPORT_INTERVAL_MS === 0) vm.report(3000 * random.next() ** 3)
    for (let dueCalls = callsPerS / 1000; random.next() < dueCalls; dueCalls--) vm.offer()
    if (chancePerMs(3000)) vm.becomeCold(500 + 3000 * random.next())
    if (chancePerMs(4000) && ms - restartedAtMs >= MIN_NODE_RESTART_MS) {
      restartedAtMs = ms
      vm.restartNode(1500 * random.next() ** 2)
    }
    if (chancePerMs(4000)) vm.restartInstance()
    if (chancePerMs(5000)) vm.assumeCold()
    if (chancePerMs(200)) vm.resend()
    vi.advanceTimersByTime(1)
  }
  return vm
}

test('in no second does a cold instance get more requests than the bound, checks and resends included', () => {
  const rate = (min: number, max: number): fc.Arbitrary<number> => fc.double({ min, max, noNaN: true })
  const rates = fc.tuple(fc.nat(), rate(0.2, 40), rate(1, 500))
  fc.assert(fc.property(rates, ([seed, perS, callsPerS]) => {
    vi.clearAllTimers()
    expect(playRandomly(seed, perS, callsPerS).worstExcess()).toBeLessThanOrEqual(0)
  }), { seed: 1, numRuns: 60, endOnFailure: true })
})
