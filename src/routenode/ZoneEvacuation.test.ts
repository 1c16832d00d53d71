import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { GATE_CLOSE_DELAY_MS } from '../parts/evacuation/Constants.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import { ZoneEvacuation } from './ZoneEvacuation.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const clock = { nowMs: () => Date.now(), wallMs: () => Date.now() }

let evacuation: ZoneEvacuation
let events: string[] = []

beforeEach(() => {
  vi.useFakeTimers({ now: 1000 })
  events = []
  evacuation = new ZoneEvacuation({ zone: 'a', clock, random: new SeededRandom(1), log: SILENT })
  evacuation.onGateChange(() => events.push(evacuation.isGateClosed ? 'closed' : 'open'))
  evacuation.onEnd(() => events.push('end'))
})

afterEach(() => {
  evacuation.dispose()
  vi.useRealTimers()
})

function apply (revision: number, zones: readonly string[], ageMs = 0): void {
  evacuation.apply({ evacuation: { revision, zones }, ageMs })
}

// Without a timer, queued calls would start after the gate should have closed.
test('the gate closes after the delay and opens at once at the end', () => {
  apply(1, ['a'])
  vi.advanceTimersByTime(GATE_CLOSE_DELAY_MS - 1)
  expect(events).toEqual([])
  vi.advanceTimersByTime(1)
  expect(events).toEqual(['closed'])
  apply(2, [])
  expect(events).toEqual(['closed', 'open', 'end'])
})

test('an evacuation that ends before the gate has closed leaves it open, and the next one counts anew', () => {
  apply(1, ['a'])
  vi.advanceTimersByTime(GATE_CLOSE_DELAY_MS - 100)
  apply(2, [])
  apply(3, ['a'])
  vi.advanceTimersByTime(GATE_CLOSE_DELAY_MS - 1)
  expect(events).toEqual(['end'])
  vi.advanceTimersByTime(1)
  expect(events).toEqual(['end', 'closed'])
})

test('the gate of a node that learns of the evacuation at its start is closed at once', () => {
  apply(1, ['a'], Infinity)
  expect(events).toEqual(['closed'])
})

test('the gate of a node that was suspended closes by the age that it hears when it connects again', () => {
  apply(1, ['a'])
  vi.advanceTimersByTime(500)
  apply(1, ['a'], GATE_CLOSE_DELAY_MS - 100)
  vi.advanceTimersByTime(99)
  expect(events).toEqual([])
  vi.advanceTimersByTime(1)
  expect(events).toEqual(['closed'])
})

test('other zones and older revisions do not change the gate', () => {
  apply(2, ['b'])
  apply(1, ['a', 'b'])
  vi.advanceTimersByTime(10 * GATE_CLOSE_DELAY_MS)
  apply(3, ['c'])
  expect([events, evacuation.state.revision]).toEqual([[], 3])
})
