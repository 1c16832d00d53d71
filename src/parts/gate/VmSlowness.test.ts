import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { MIN_SLOWNESS_PERIOD_MS, SLOWNESS_RECOVERY_MS } from './Constants.js'
import { VmSlowness } from './VmSlowness.js'

const WORK_MS = 100

test('a run on a VM that is slow for a moment loses the difference', () => {
  const vm = new VmSlowness()
  vm.learn(1, 0)
  vm.learn(5, 150)
  expect(vm.extraRunMs(WORK_MS, 151)).toBe(4 * WORK_MS)
  vm.learn(1, 300)
  expect(vm.extraRunMs(WORK_MS, 301)).toBe(0)
})

test('an old figure does not tell the pace', () => {
  const vm = new VmSlowness()
  vm.learn(5, 0)
  expect(vm.extraRunMs(WORK_MS, 140)).toBeUndefined()
  expect(vm.extraRunMs(SLOWNESS_RECOVERY_MS / 10, 140)).toBe(0)
})

test('waiting brings nothing on a VM that stays slow, as after a start', () => {
  const vm = new VmSlowness()
  for (let nowMs = 0; nowMs <= 3 * MIN_SLOWNESS_PERIOD_MS; nowMs += 50) vm.learn(2, nowMs)
  expect(vm.extraRunMs(WORK_MS, 3 * MIN_SLOWNESS_PERIOD_MS)).toBe(0)
  vm.learn(10, 3 * MIN_SLOWNESS_PERIOD_MS + 50)
  expect(vm.extraRunMs(WORK_MS, 3 * MIN_SLOWNESS_PERIOD_MS + 51)).toBe(8 * WORK_MS)
})

test('holding runs until a VM is quick again shortens them on a VM that changes its pace', () => {
  const random = new SeededRandom(4)
  const slownessAt = Array.from({ length: 2000 }, () => random.next() < 0.35 ? 5 : 1)
  const simulate = (waitsWhileSlow: boolean): number => {
    const vm = new VmSlowness()
    let totalMs = 0
    for (let arrivedMs = 0; arrivedMs < 200_000; arrivedMs += 97) {
      let nowMs = arrivedMs
      const slowness = (): number => slownessAt[Math.floor(nowMs / 150)] ?? 1
      vm.learn(slowness(), nowMs)
      const shouldWait = (): boolean => waitsWhileSlow && (vm.extraRunMs(WORK_MS, nowMs) ?? 0) > SLOWNESS_RECOVERY_MS
      while (shouldWait()) {
        nowMs += 30
        vm.learn(slowness(), nowMs)
      }
      totalMs += nowMs - arrivedMs + WORK_MS * slowness()
    }
    return totalMs
  }
  expect(simulate(true)).toBeLessThan(0.75 * simulate(false))
})
