import { expect, test } from 'vitest'
import { type AnswerLease, AnswerMemory, RECEIVER_STALL_MS } from './AnswerMemory.js'

const MB = 1024 * 1024

/** Memory with a limit of 20 MB. */
const MEMORY_MB = 160

interface HeldBody {
  readonly lease: AnswerLease
  isCut: boolean
}

function hold (memory: AnswerMemory, bytes: number, nowMs: number): HeldBody {
  const body: HeldBody = { lease: memory.open({ onCut: () => { body.isCut = true } }), isCut: false }
  body.lease.grow(bytes, nowMs)
  return body
}

test('a large answer waits while receivers hold the memory, and a small one does not', () => {
  const memory = new AnswerMemory(MEMORY_MB)
  let rooms = 0
  const first = hold(memory, 19 * MB, 0)
  const large = memory.open({ onRoom: () => { rooms++ } })
  expect(large.tryGrow(2 * MB)).toBe(false)
  expect(memory.open({}).tryGrow(4096)).toBe(true)
  first.lease.release()
  expect(rooms).toBe(1)
  expect(large.tryGrow(2 * MB)).toBe(true)
})

test('the oldest answer that is read goes on without room when no receiver holds any', () => {
  const memory = new AnswerMemory(MEMORY_MB)
  const [first, second] = [memory.open({}), memory.open({})]
  expect(first.tryGrow(10 * MB)).toBe(true)
  expect(second.tryGrow(10 * MB)).toBe(true)
  expect(second.tryGrow(MB)).toBe(false)
  expect(first.tryGrow(MB)).toBe(true)
})

test('stalled receivers lose their answers only while others need the room, the longest stalled first', () => {
  const memory = new AnswerMemory(MEMORY_MB)
  const slow = hold(memory, 9 * MB, 0)
  const stalled = hold(memory, 9 * MB, 0)
  slow.lease.recordProgress(10)
  memory.relieve(2 * RECEIVER_STALL_MS)
  expect([slow.isCut, stalled.isCut]).toEqual([false, false])
  const large = memory.open({ onRoom: () => { large.tryGrow(5 * MB) } })
  large.tryGrow(5 * MB)
  memory.relieve(RECEIVER_STALL_MS)
  expect([slow.isCut, stalled.isCut, memory.heldBytes]).toEqual([false, true, 14 * MB])
})

test('beyond twice the limit the receiver without progress for longest loses its answer at once', () => {
  const memory = new AnswerMemory(MEMORY_MB)
  const bodies = Array.from({ length: 5 }, (_, i) => hold(memory, 10 * MB, i))
  expect(bodies.map(({ isCut }) => isCut)).toEqual([true, false, false, false, false])
  expect(memory.heldBytes).toBe(40 * MB)
})

test('a lease that is released twice gives its bytes back once', () => {
  const memory = new AnswerMemory(MEMORY_MB)
  const body = hold(memory, MB, 0)
  body.lease.release()
  body.lease.release()
  expect(memory.heldBytes).toBe(0)
})
