import { expect, test } from 'vitest'
import { type FrameHolder, FrameMemory } from './FrameMemory.js'

const MB = 1024 * 1024

/** Memory with a limit of 20 MB. */
const MEMORY_MB = 160

function makeHolders (count: number, isKnown: boolean, cuts: string[]): FrameHolder[] {
  return Array.from({ length: count }, (_, i) => ({ isKnown, cut: () => { cuts.push(`${isKnown ? 'known' : 'new'} ${i}`) } }))
}

test('connections without a whole frame give way first, those without progress for longest before others', () => {
  const cuts: string[] = []
  const memory = new FrameMemory(MEMORY_MB)
  const [known, other] = makeHolders(2, true, cuts)
  const fresh = makeHolders(2, false, cuts)
  for (const holder of [known!, fresh[0]!, fresh[1]!]) memory.record(holder, 6 * MB)
  memory.record(fresh[0]!, 7 * MB)
  memory.record(other!, 6 * MB)
  expect(cuts).toEqual(['new 1'])
  memory.record(other!, 12 * MB)
  expect(cuts).toEqual(['new 1', 'new 0'])
  memory.record(other!, 16 * MB)
  expect(cuts).toEqual(['new 1', 'new 0', 'known 0'])
})

test('a single frame of the largest size has room in any memory', () => {
  const cuts: string[] = []
  const [holder] = makeHolders(1, false, cuts)
  new FrameMemory(4).record(holder!, 16 * MB)
  expect(cuts).toEqual([])
})
