import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { LEAST_SLOWNESS_PERIOD_MS, SLOWNESS_RECOVERY_MS } from './Constants.js'
import { VmSlowness } from './VmSlowness.js'

const WORK_MS = 100

test('a run on a temporarily slow VM takes longer by the difference to the usual slowness', () => {
  const vm = new VmSlowness()
  vm.recordSample(1, 0)
  vm.recordSample(5, 150)
  expect(vm.extraRunMs(WORK_MS, 151)).toBe(4 * WORK_MS)
  vm.recordSample(1, 300)
  expect(vm.extraRunMs(WORK_MS, 301)).toBe(0)
})

test('an old sample does not give the slowness of a run that starts now', () => {
  const vm = new VmSlowness()
  vm.recordSample(5, 0)
  expect(vm.extraRunMs(WORK_MS, 140)).toBeUndefined()
  expect(vm.extraRunMs(SLOWNESS_RECOVERY_MS / 10, 140)).toBe(0)
})

test('a VM that stays slow, as after its start, is not expected to recover', () => {
  const vm = new VmSlowness()
  for (let nowMs = 0; nowMs <= 3 * LEAST_SLOWNESS_PERIOD_MS; nowMs += 50) vm.recordSample(2, nowMs)
  expect(vm.extraRunMs(WORK_MS, 3 * LEAST_SLOWNESS_PERIOD_MS)).toBe(0)
  vm.recordSample(10, 3 * LEAST_SLOWNESS_PERIOD_MS + 50)
  expect(vm.extraRunMs(WORK_MS, 3 * LEAST_SLOWNESS_PERIOD_MS + 51)).toBe(8 * WORK_MS)
})

// Guards against delaying calls without a gain: on a VM whose slowness changes often, the total of wait and run time
// must fall clearly when runs wait for the VM to recover.
test('runs that wait for the VM to recover finish sooner on a VM whose slowness changes', () => {
  const random = new SeededRandom(4)
  const slownessAt = Array.from({ length: 2000 }, () => random.next() < 0.35 ? 5 : 1)
  const simulate = (waitsWhileSlow: boolean): number => {
    const vm = new VmSlowness()
    let totalMs = 0
    for (let arrivedMs = 0; arrivedMs < 200_000; arrivedMs += 97) {
      let nowMs = arrivedMs
      const slowness = (): number => slownessAt[Math.floor(nowMs / 150)] ?? 1
      vm.recordSample(slowness(), nowMs)
      const shouldWait = (): boolean => waitsWhileSlow && (vm.extraRunMs(WORK_MS, nowMs) ?? 0) > SLOWNESS_RECOVERY_MS
      while (shouldWait()) {
        nowMs += 30
        vm.recordSample(slowness(), nowMs)
      }
      totalMs += nowMs - arrivedMs + WORK_MS * slowness()
    }
    return totalMs
  }
  expect(simulate(true)).toBeLessThan(0.75 * simulate(false))
})
