import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { VirtualGroup } from '../../test/support/VirtualGroup.js'

/** `Recover` of the platform, in milliseconds. */
const RECOVER_MS = 15_000

/** Time within which the processes have started, and a first group usually forms, in milliseconds. */
const STARTED_MS = 10
const FORMED_MS = 1500

/** Time from the loss of a machine to the start of another one at a new address, in milliseconds. */
const SUCCESSOR_MS = 1900

const seeds = fc.constantFrom('a', 'b', 'c')
const timesMs = fc.nat({ max: FORMED_MS })

beforeEach(() => { vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval', 'setTimeout', 'clearTimeout'] }) })
afterEach(() => { vi.useRealTimers() })

async function startGroup (seed: number): Promise<VirtualGroup> {
  const group = new VirtualGroup(seed)
  await group.run(STARTED_MS)
  return group
}

test('a seed that loses its disk during the first start takes part with an empty one', async () => {
  await fc.assert(fc.asyncProperty(fc.nat(), seeds, timesMs, async (seed, name, lostMs) => {
    const group = await startGroup(seed)
    await group.run(lostMs)
    group.lose(name, 'loses its disk')
    expect(await group.decides(RECOVER_MS)).toBe(true)
    expect(group.check()).toEqual([])
    group.dispose()
  }), { seed: 21, numRuns: 200 })
}, 60_000)

// A replica that heard an outdated notice formed a second group with a disk that was new.
test('no losses during the first start lead to two groups', async () => {
  const kinds = fc.constantFrom('hangs' as const, 'is killed' as const, 'loses its disk' as const)
  const losses = fc.array(fc.record({ kind: kinds, name: seeds, gapMs: timesMs }), { minLength: 2, maxLength: 4 })
  await fc.assert(fc.asyncProperty(fc.nat(), losses, async (seed, list) => {
    const group = await startGroup(seed)
    for (const { kind, name, gapMs } of list) {
      await group.run(gapMs)
      if (group.running.includes(name)) group.lose(name, kind)
    }
    await group.run(5000)
    expect(group.check()).toEqual([])
    group.dispose()
  }), { seed: 22, numRuns: 200 })
}, 60_000)

// The others waited for the lost seed for good: review/12.
test('a seed that is lost for good during the first start leaves the others a group', async () => {
  const kinds = fc.constantFrom('hangs' as const, 'is killed' as const)
  await fc.assert(fc.asyncProperty(fc.nat(), seeds, timesMs, kinds, async (seed, name, lostMs, kind) => {
    const group = await startGroup(seed)
    await group.run(lostMs)
    group.lose(name, kind)
    await group.run(SUCCESSOR_MS)
    group.startSuccessor('s0')
    expect(await group.decides(RECOVER_MS)).toBe(true)
    expect(group.check()).toEqual([])
    group.dispose()
  }), { seed: 23, numRuns: 50 })
}, 60_000)
