import { expect, test } from 'vitest'
import { type BodyLease, BodyMemory } from './BodyMemory.js'

const KB = 1024
const MB = 1024 * KB

test('uploads take at most a quarter of the memory', () => {
  const memory = new BodyMemory(40)
  const leases = [memory.lease(), memory.lease()] as const
  expect([leases[0].tryGrow(6 * MB), leases[1].tryGrow(5 * MB), leases[1].tryGrow(4 * MB)]).toEqual([true, false, true])
  expect([memory.heldBytes, memory.hasRoomFor(MB)]).toEqual([10 * MB, false])
})

test('a lease returns what it holds once', () => {
  const memory = new BodyMemory(40)
  const lease = memory.lease()
  lease.tryGrow(MB)
  lease.grow(20 * MB)
  lease.release()
  lease.release()
  expect(memory.heldBytes).toBe(0)
})

// Bodies that are never refused must still keep uploads from taking what is left of the memory.
test('bodies beyond the bound leave no room for uploads', () => {
  const memory = new BodyMemory(40)
  memory.lease().grow(11 * MB)
  expect(memory.lease().tryGrow(MB)).toBe(false)
})

test('a large body may exceed the bound while no other large one is held, up to half of the memory', () => {
  const memory = new BodyMemory(40)
  expect([memory.hasRoomFor(20 * MB), memory.hasRoomFor(20 * MB + 1)]).toEqual([true, false])
  const lease = memory.lease()
  expect(lease.tryGrow(10 * MB) && lease.tryGrow(10 * MB)).toBe(true)
  lease.release()
  memory.lease().grow(2 * MB)
  expect([memory.hasRoomFor(8 * MB), memory.hasRoomFor(9 * MB)]).toEqual([true, false])
})

// A node whose memory for bodies is taken by large ones would refuse all ordinary requests.
test('small bodies have a reserved part', () => {
  const memory = new BodyMemory(40)
  memory.lease().grow(10 * MB)
  let count = 0
  while (memory.lease().tryGrow(KB)) count++
  expect(count * KB).toBe(10 * MB / 8)
})

test('a body that has stalled gives way to others, the one of the oldest progress first', () => {
  const memory = new BodyMemory(40)
  const lost: string[] = []
  const open = (name: string, atMs: number): BodyLease => {
    const lease = memory.openArriving(atMs, () => lost.push(name))
    expect(lease.tryGrow(3 * MB, atMs)).toBe(true)
    return lease
  }
  open('a', 0)
  open('b', 100)
  const c = open('c', 200)
  expect([memory.tryMakeRoom(3 * MB, 999), lost]).toEqual([false, []])
  expect([memory.tryMakeRoom(3 * MB, 1000), lost, memory.heldBytes]).toEqual([true, ['a'], 6 * MB])
  expect([c.tryGrow(4 * MB, 1050), c.tryGrow(6 * MB, 1100), lost]).toEqual([true, true, ['a', 'b']])
})

test('a body that arrives below the least rate gives way, one above it and a whole one do not', () => {
  const memory = new BodyMemory(40)
  const lost: string[] = []
  const [slow, steady, whole] = ['slow', 'steady', 'whole'].map(name => memory.openArriving(0, () => lost.push(name)))
  for (const lease of [slow!, steady!, whole!]) lease.tryGrow(3 * MB, 0)
  whole!.endArrival()
  for (let nowMs = 500; nowMs <= 2000; nowMs += 500) {
    slow!.tryGrow(KB, nowMs)
    steady!.tryGrow(16 * KB, nowMs)
  }
  expect([memory.tryMakeRoom(9 * MB, 2000), lost]).toEqual([false, ['slow']])
})

test('nobody gives way for a body that can not be held at all', () => {
  const memory = new BodyMemory(40)
  const lost: string[] = []
  memory.openArriving(0, () => lost.push('a')).tryGrow(3 * MB, 0)
  expect([memory.tryMakeRoom(21 * MB, 5000), lost]).toEqual([false, []])
})
