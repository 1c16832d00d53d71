import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { FLOOR_PERIOD_MS, PACE_STAY_MS } from './Constants.js'
import { VmSlowness } from './VmSlowness.js'

const WORK_MS = 100

test('a run on a VM that is slow for a moment loses the difference', () => {
  const pace = new VmSlowness()
  pace.learn(1, 0)
  pace.learn(5, 150)
  expect(pace.lossMs(WORK_MS, 151)).toBe(4 * WORK_MS)
  pace.learn(1, 300)
  expect(pace.lossMs(WORK_MS, 301)).toBe(0)
})

test('an old figure does not tell the pace', () => {
  const pace = new VmSlowness()
  pace.learn(5, 0)
  expect(pace.lossMs(WORK_MS, 140)).toBeUndefined()
  expect(pace.lossMs(PACE_STAY_MS / 10, 140)).toBe(0)
})

test('waiting brings nothing on a VM that stays slow, as after a start', () => {
  const pace = new VmSlowness()
  for (let nowMs = 0; nowMs <= 3 * FLOOR_PERIOD_MS; nowMs += 50) pace.learn(2, nowMs)
  expect(pace.lossMs(WORK_MS, 3 * FLOOR_PERIOD_MS)).toBe(0)
  pace.learn(10, 3 * FLOOR_PERIOD_MS + 50)
  expect(pace.lossMs(WORK_MS, 3 * FLOOR_PERIOD_MS + 51)).toBe(8 * WORK_MS)
})

test('holding runs until a VM is quick again shortens them on a VM that changes its pace', () => {
  const random = new SeededRandom(4)
  const slownessAt = Array.from({ length: 2000 }, () => random.next() < 0.35 ? 5 : 1)
  const play = (holds: boolean): number => {
    const pace = new VmSlowness()
    let totalMs = 0
    for (let arrivedMs = 0; arrivedMs < 200_000; arrivedMs += 97) {
      let nowMs = arrivedMs
      const slowness = (): number => slownessAt[Math.floor(nowMs / 150)] ?? 1
      pace.learn(slowness(), nowMs)
      const waits = (): boolean => holds && (pace.lossMs(WORK_MS, nowMs) ?? 0) > PACE_STAY_MS
      while (waits()) {
        nowMs += 30
        pace.learn(slowness(), nowMs)
      }
      totalMs += nowMs - arrivedMs + WORK_MS * slowness()
    }
    return totalMs
  }
  expect(play(true)).toBeLessThan(0.75 * play(false))
})
