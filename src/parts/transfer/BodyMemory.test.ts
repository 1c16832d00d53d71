import { expect, test } from 'vitest'
import { BodyMemory } from './BodyMemory.js'

const MB = 1024 * 1024

test('uploads take at most a quarter of the memory', () => {
  const memory = new BodyMemory(40)
  const leases = [memory.lease(), memory.lease()] as const
  expect([leases[0].tryGrow(6 * MB), leases[1].tryGrow(5 * MB), leases[1].tryGrow(4 * MB)]).toEqual([true, false, true])
  expect([memory.heldBytes, memory.hasRoomFor(1)]).toEqual([10 * MB, false])
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
  expect(memory.lease().tryGrow(1)).toBe(false)
})
