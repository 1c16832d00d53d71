import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { MAX_DEPARTURES } from '../parts/instances/DepartureTable.js'
import type { Departure } from '../parts/instances/Types.js'
import { DEPARTURE_RESEND_INTERVAL_MS } from './Constants.js'
import { DepartureOutbox } from './DepartureOutbox.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const FIRST: Departure = { id: 'i-1', bornMs: 5 }
const SECOND: Departure = { id: 'i-2', bornMs: 6 }

let sent: Array<readonly Departure[]> = []
let outbox: DepartureOutbox

beforeEach(() => {
  vi.useFakeTimers()
  sent = []
  const clock = { nowMs: () => Date.now(), wallMs: () => Date.now() }
  outbox = new DepartureOutbox({ clock, log: SILENT, send: departures => sent.push(departures) })
})

afterEach(() => {
  outbox.dispose()
  vi.useRealTimers()
})

test('a departure is sent until it is stored, and acknowledged only then', async () => {
  outbox.update([FIRST])
  const stored = outbox.whenStored(FIRST, 1000)
  vi.advanceTimersByTime(DEPARTURE_RESEND_INTERVAL_MS)
  expect(sent).toEqual([[FIRST], [FIRST]])
  outbox.receiveStored([FIRST])
  expect(await stored).toBe(true)
  vi.advanceTimersByTime(10 * DEPARTURE_RESEND_INTERVAL_MS)
  outbox.update([FIRST])
  expect([sent.length, outbox.pendingCount, await outbox.whenStored(FIRST, 1000)]).toEqual([2, 0, true])
})

test('only what is not stored is sent, also on a new connection', () => {
  outbox.update([FIRST])
  outbox.receiveStored([FIRST])
  outbox.update([FIRST, SECOND])
  outbox.handleConnected(true)
  expect(sent).toEqual([[FIRST], [SECOND], [SECOND]])
})

test('a departure that is not stored in time is not acknowledged, and still sent', async () => {
  outbox.update([FIRST])
  const stored = outbox.whenStored(FIRST, 100)
  vi.advanceTimersByTime(100)
  expect(await stored).toBe(false)
  vi.advanceTimersByTime(DEPARTURE_RESEND_INTERVAL_MS)
  expect([sent.length, outbox.pendingCount]).toEqual([2, 1])
})

// A replica drops a list that is longer than what a node remembers, so no later departure would have been stored.
test('what the node has forgotten is not sent any more', () => {
  const departures = Array.from({ length: 3 * MAX_DEPARTURES }, (_, i) => ({ id: `i-${i}`, bornMs: i }))
  for (let i = 0; i <= departures.length - MAX_DEPARTURES; i++) outbox.update(departures.slice(i, i + MAX_DEPARTURES))
  expect(sent.at(-1)).toEqual(departures.slice(-MAX_DEPARTURES))
})

test('a replica of a version that stores no departures is not waited for', async () => {
  outbox.update([FIRST])
  const stored = outbox.whenStored(FIRST, 1000)
  outbox.handleConnected(false)
  expect([await stored, await outbox.whenStored(FIRST, 1000)]).toEqual([true, true])
})
