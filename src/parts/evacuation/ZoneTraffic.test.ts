import * as fc from 'fast-check'
import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { GATE_CLOSE_DELAY_MS, TRAFFIC_SHIFT_MS } from './Constants.js'
import { ZoneTraffic } from './ZoneTraffic.js'

const ZONES = ['a', 'b', 'c']

/** Returns the share of 2,000 draws at a time that leave a zone out. */
function measureExcludedShare (traffic: ZoneTraffic, zone: string, nowMs: number): number {
  const random = new SeededRandom(1)
  const draws = Array.from({ length: 2000 }, () => traffic.drawExclusion(random, nowMs))
  const excluding = draws.filter(draw => draw?.avoidedZones.has(zone) === true || draw?.closedZones.has(zone) === true)
  return excluding.length / draws.length
}

test('choices leave an evacuated zone linearly and return to it in the same way', () => {
  const traffic = new ZoneTraffic()
  expect(traffic.drawExclusion(new SeededRandom(1), 0)).toBeUndefined()
  traffic.apply({ revision: 1, zones: ['a'] }, 1000)
  const shares = [0, 0.25, 0.5, 1, 5].map(part => traffic.share('a', 1000 + part * TRAFFIC_SHIFT_MS))
  expect(shares).toEqual([1, 0.75, 0.5, 0, 0])
  traffic.apply({ revision: 2, zones: [] }, 20_000)
  expect([0, 0.25, 1, 5].map(part => traffic.share('a', 20_000 + part * TRAFFIC_SHIFT_MS))).toEqual([0, 0.25, 1, 1])
})

test('the drawn zones follow the share, and a zone without a share is closed', () => {
  const traffic = new ZoneTraffic()
  traffic.apply({ revision: 1, zones: ['a'] }, 0)
  expect(measureExcludedShare(traffic, 'a', 0)).toBe(0)
  expect(Math.abs(measureExcludedShare(traffic, 'a', 0.7 * TRAFFIC_SHIFT_MS) - 0.7)).toBeLessThan(0.05)
  expect(traffic.drawExclusion(new SeededRandom(1), TRAFFIC_SHIFT_MS)?.closedZones).toEqual(new Set(['a']))
  expect(measureExcludedShare(traffic, 'b', TRAFFIC_SHIFT_MS)).toBe(0)
})

test('the gates close after the delay and open at the end', () => {
  const traffic = new ZoneTraffic()
  traffic.apply({ revision: 1, zones: ['a'] }, 100)
  const closed = [99 + GATE_CLOSE_DELAY_MS, 100 + GATE_CLOSE_DELAY_MS].map(nowMs => traffic.isClosed('a', nowMs))
  expect([...closed, traffic.isClosed('b', 100_000)]).toEqual([false, true, false])
  traffic.apply({ revision: 2, zones: [] }, 50_000)
  expect(traffic.isClosed('a', 50_000)).toBe(false)
})

// A restarted node would otherwise send requests to a zone that has long been empty.
test('an evacuation that has been in force before takes effect as if it had been known since', () => {
  for (const [ageMs, share, isClosed] of [[Infinity, 0, true], [1000, 0.5, false], [2300, 0, false]] as const) {
    const traffic = new ZoneTraffic()
    traffic.apply({ revision: 7, zones: ['a'] }, 10, ageMs)
    expect([traffic.share('a', 10), traffic.isClosed('a', 10)]).toEqual([share, isClosed])
  }
})

// A replica that lags behind the one before must not reopen a zone.
test('an older revision is ignored', () => {
  const traffic = new ZoneTraffic()
  traffic.apply({ revision: 3, zones: ['a'] }, 0)
  expect(traffic.apply({ revision: 2, zones: [] }, 5000)).toBeUndefined()
  expect([traffic.state.revision, traffic.isClosed('a', 5000)]).toEqual([3, true])
})

// The clock of a suspended node stands still, so after it resumes its own shift lags behind that of all others.
test('a known state moves on to the age that a control replica tells, and never back', () => {
  const traffic = new ZoneTraffic()
  const state = { revision: 3, zones: ['a'] }
  traffic.apply(state, 0)
  traffic.apply(state, 100, 1500)
  expect(traffic.share('a', 100)).toBe(0.25)
  traffic.apply(state, 100, 0)
  expect([traffic.share('a', 100), traffic.isClosed('a', 1099), traffic.isClosed('a', 1100)]).toEqual([0.25, false, true])
  traffic.apply({ revision: 4, zones: ['a', 'b'] }, 200, 3000)
  expect([traffic.isClosed('a', 200), traffic.isClosed('b', 200)]).toEqual([true, true])
})

test('whatever the orders and their times, traffic shifts gradually and ends up where the last order wants it', () => {
  const step = fc.record({ zones: fc.subarray(ZONES), afterMs: fc.integer({ min: 0, max: 4000 }) })
  fc.assert(fc.property(fc.array(step, { minLength: 1 }), steps => {
    const traffic = new ZoneTraffic()
    const random = new SeededRandom(1)
    let nowMs = 0
    let revision = 0
    const shares = new Map(ZONES.map(zone => [zone, 1]))
    const advance = (ms: number): void => {
      nowMs += ms
      traffic.drawExclusion(random, nowMs)
      for (const zone of ZONES) {
        const share = traffic.share(zone, nowMs)
        expect(Math.abs(share - shares.get(zone)!)).toBeLessThanOrEqual(ms / TRAFFIC_SHIFT_MS + 1e-9)
        shares.set(zone, share)
      }
    }
    for (const { zones, afterMs } of steps) {
      traffic.apply({ revision: ++revision, zones }, nowMs)
      for (let i = 0; i < 4; i++) advance(afterMs / 4)
    }
    advance(GATE_CLOSE_DELAY_MS)
    const wanted = steps.at(-1)!.zones
    expect(ZONES.map(zone => shares.get(zone))).toEqual(ZONES.map(zone => Number(!wanted.includes(zone))))
    expect(ZONES.filter(zone => traffic.isClosed(zone, nowMs))).toEqual(wanted)
  }), { seed: 1 })
})
