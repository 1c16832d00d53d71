import fc from 'fast-check'
import { expect, test } from 'vitest'
import { CHUNK_BYTES, MAX_WINDOW_CHUNKS, WINDOW_GROWTH_BELOW_MS, WINDOW_SHRINK_ABOVE_MS } from './Constants.js'
import { ChunkWindow } from './ChunkWindow.js'
import type { ChunkAction } from './Types.js'

const FAST_MS = WINDOW_GROWTH_BELOW_MS - 1

const SLOW_MS = WINDOW_SHRINK_ABOVE_MS + 1

/** Opens a body of some chunks and acknowledges each after a time; returns the largest number under way at once. */
function measureWindow (window: ChunkWindow, id: number, chunkCount: number, ackMs: number, startMs = 0): number {
  let nowMs = startMs
  let underWay = window.step({ type: 'opened', id, bytes: chunkCount * CHUNK_BYTES }, nowMs).length
  let largest = underWay
  while (underWay > 0) {
    nowMs += ackMs
    const inRound = underWay
    for (let i = 0; i < inRound; i++) underWay += window.step({ type: 'acknowledged' }, nowMs).length - 1
    largest = Math.max(largest, underWay)
  }
  return largest
}

test('the window begins with one chunk, so that a first body does not flood a slow link', () => {
  const [action, ...others] = new ChunkWindow().step({ type: 'opened', id: 1, bytes: 10 * CHUNK_BYTES }, 0)
  expect(action).toEqual({ type: 'send', id: 1, start: 0, end: CHUNK_BYTES, isLast: false })
  expect(others).toEqual([])
})

test('the window grows to 64 KB while acknowledgements return quickly, and stays there', () => {
  expect(measureWindow(new ChunkWindow(), 1, 100, FAST_MS)).toBe(MAX_WINDOW_CHUNKS)
  expect(MAX_WINDOW_CHUNKS * CHUNK_BYTES).toBe(64 * 1024)
})

// A small frame waits behind all chunks that are under way.
test('the window shrinks to one chunk while acknowledgements return slowly', () => {
  const window = new ChunkWindow()
  measureWindow(window, 1, 100, FAST_MS)
  measureWindow(window, 2, 20, SLOW_MS, 10_000)
  expect(window.step({ type: 'opened', id: 3, bytes: 10 * CHUNK_BYTES }, 60_000)).toHaveLength(1)
})

test('short chunks do not widen the window, since they return quickly on any link', () => {
  const window = new ChunkWindow()
  for (let id = 0; id < 20; id++) {
    window.step({ type: 'opened', id, bytes: 10 }, id)
    window.step({ type: 'acknowledged' }, id)
  }
  expect(window.step({ type: 'opened', id: 99, bytes: 10 * CHUNK_BYTES }, 30)).toHaveLength(1)
})

test('bodies take turns, so that a short one does not wait for a long one', () => {
  const window = new ChunkWindow()
  const sent: ChunkAction[] = window.step({ type: 'opened', id: 1, bytes: 20 * CHUNK_BYTES }, 0)
  window.step({ type: 'opened', id: 2, bytes: 2 * CHUNK_BYTES }, 0)
  for (let nowMs = 30; nowMs < 200; nowMs += 30) sent.push(...window.step({ type: 'acknowledged' }, nowMs))
  const turns = sent.slice(0, 5).map(({ id, isLast }) => isLast ? `last of ${id}` : `${id}`)
  expect(turns).toEqual(['1', '1', '2', '1', 'last of 2'])
})

test('a closed body sends no more, and its chunks stay in the window until they are acknowledged', () => {
  const window = new ChunkWindow()
  window.step({ type: 'opened', id: 1, bytes: 2 * CHUNK_BYTES }, 0)
  expect(window.step({ type: 'closed', id: 1 }, 1)).toEqual([])
  expect(window.step({ type: 'opened', id: 2, bytes: 10 }, 2)).toEqual([])
  expect(window.step({ type: 'acknowledged' }, 30)).toMatchObject([{ id: 2, isLast: true }])
  expect(window.openCount).toBe(0)
})

test('an acknowledgement without a chunk changes nothing', () => {
  const window = new ChunkWindow()
  for (let i = 0; i < 10; i++) expect(window.step({ type: 'acknowledged' }, i)).toEqual([])
  expect(window.step({ type: 'opened', id: 1, bytes: 10 * CHUNK_BYTES }, 20)).toHaveLength(1)
})

test('each byte of each body is sent once and in order, with at most 64 KB under way', () => {
  const commands = fc.array(fc.record({
    kind: fc.constantFrom('open', 'acknowledge', 'acknowledge', 'acknowledge', 'close'),
    bytes: fc.integer({ min: 1, max: 6 * CHUNK_BYTES }),
    pick: fc.nat(20),
    stepMs: fc.nat(70)
  }), { maxLength: 150 })
  fc.assert(fc.property(commands, list => {
    const window = new ChunkWindow()
    const sentBytes = new Map<number, number>()
    const sizes = new Map<number, number>()
    const underWay: number[] = []
    let nowMs = 0
    const handle = (actions: readonly ChunkAction[]): void => {
      for (const { id, start, end, isLast } of actions) {
        expect(start).toBe(sentBytes.get(id))
        expect(isLast).toBe(end === sizes.get(id))
        sentBytes.set(id, end)
        underWay.push(end - start)
      }
      expect(underWay.reduce((sum, bytes) => sum + bytes, 0)).toBeLessThanOrEqual(64 * 1024)
    }
    list.forEach(({ kind, bytes, pick, stepMs }, id) => {
      nowMs += stepMs
      if (kind === 'open') {
        sizes.set(id, bytes)
        sentBytes.set(id, 0)
        handle(window.step({ type: 'opened', id, bytes }, nowMs))
      } else if (kind === 'acknowledge') {
        underWay.shift()
        handle(window.step({ type: 'acknowledged' }, nowMs))
      } else {
        const closed = [...sizes.keys()][pick]
        if (closed === undefined || sentBytes.get(closed) === sizes.get(closed)) return
        sizes.delete(closed)
        handle(window.step({ type: 'closed', id: closed }, nowMs))
      }
    })
    while (underWay.length > 0) {
      underWay.shift()
      handle(window.step({ type: 'acknowledged' }, nowMs += 30))
    }
    for (const [id, bytes] of sizes) expect(sentBytes.get(id)).toBe(bytes)
  }), { seed: 11, numRuns: 300 })
})
