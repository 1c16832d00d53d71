import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { type LossKind, VirtualGroup } from '../../test/support/VirtualGroup.js'
import { REPLACE_SILENT_AFTER_MS } from '../parts/agreement/VoterPlanner.js'
import { GONE_AFTER_MS, GROUP_TIMING, LEADERLESS_JOIN_MS } from './Constants.js'

/** `CatchUp` and `Recover` of the platform, in milliseconds. */
const CATCH_UP_MS = 4000
const RECOVER_MS = 15_000

/** Time after the loss of a voter, which may lead, from which the next loss is borne, in milliseconds. */
const NEXT_LOSS_MS = 1500

/** Time from the end of a process to the first request to join after its start, in milliseconds. */
const START_MS = 1000

/** Time after a loss within which the group has begun each change of its voters, in milliseconds. */
const REACTION_MS = 3000

const KINDS: readonly LossKind[] = ['hangs', 'is killed', 'loses its disk']

/** Times at which something changes for a lost voter, in milliseconds. */
const EDGES = [
  0, GONE_AFTER_MS, GROUP_TIMING.leaseMs!, GROUP_TIMING.electionMinMs!, REPLACE_SILENT_AFTER_MS,
  GROUP_TIMING.electionMaxMs!, GROUP_TIMING.catchUpSilenceMs!, NEXT_LOSS_MS, LEADERLESS_JOIN_MS
]

interface Loss {
  /** Which voter, counted from the leader on. */
  readonly pick: number
  readonly kind: LossKind
  /** Time since the loss before, in milliseconds. */
  readonly gapMs: number
}

function loss (gapMs: fc.Arbitrary<number>): fc.Arbitrary<Loss> {
  return fc.record({ pick: fc.nat({ max: 3 }), kind: fc.constantFrom(...KINDS), gapMs })
}

beforeEach(() => { vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval', 'setTimeout', 'clearTimeout'] }) })
afterEach(() => { vi.useRealTimers() })

/** Forms a group of three beside ready successors, then loses machines that vote. */
async function play (seed: number, successors: number, losses: readonly Loss[]): Promise<VirtualGroup> {
  const group = new VirtualGroup(seed)
  expect(await group.decides(3000)).toBe(true)
  for (let i = 0; i < successors; i++) group.startSuccessor(`s${i}`)
  await group.run(CATCH_UP_MS)
  for (const { pick, kind, gapMs } of losses) {
    await group.run(gapMs)
    const { voters } = group
    if (voters.length > 0) group.lose(voters[pick % voters.length]!, kind)
  }
  return group
}

/** Expects that the group decides once all changes of the voters are over, and holds what was acknowledged. */
async function expectKept (group: VirtualGroup): Promise<void> {
  await group.run(REACTION_MS)
  expect(await group.decides(RECOVER_MS - REACTION_MS)).toBe(true)
  expect(group.check()).toEqual([])
}

// A hung voter was replaced too late for the next loss, whatever that was.
test('a second voter may be lost in any way once the first one beside a ready successor is replaced', async () => {
  const gapMs = fc.integer({ min: NEXT_LOSS_MS, max: 4000 })
  await fc.assert(fc.asyncProperty(fc.nat(), loss(fc.nat({ max: 100 })), loss(gapMs), async (seed, first, second) => {
    const group = await play(seed, 1, [first, second])
    await expectKept(group)
    group.dispose()
  }), { seed: 11, numRuns: 300 })
}, 60_000)

test('two voters may be lost in any way at any time beside two ready successors', async () => {
  const gapMs = fc.oneof(fc.constantFrom(...EDGES), fc.nat({ max: 3000 }))
  await fc.assert(fc.asyncProperty(fc.nat(), loss(fc.nat({ max: 100 })), loss(gapMs), async (seed, first, second) => {
    const group = await play(seed, 2, [first, second])
    await expectKept(group)
    group.dispose()
  }), { seed: 12, numRuns: 200 })
}, 60_000)

test('no order of three losses leads to two leaders of a term or loses what was acknowledged', async () => {
  const gapMs = fc.oneof(
    fc.constantFrom(...EDGES).chain(edge => fc.integer({ min: Math.max(0, edge - 60), max: edge + 60 })),
    fc.nat({ max: 3000 })
  )
  const losses = fc.array(loss(gapMs), { minLength: 3, maxLength: 3 })
  await fc.assert(fc.asyncProperty(fc.nat(), fc.nat({ max: 2 }), losses, async (seed, successors, list) => {
    const group = await play(seed, successors, list)
    await group.run(5000)
    expect(group.check()).toEqual([])
    group.dispose()
  }), { seed: 13, numRuns: 200 })
}, 60_000)

// Each machine that is lost for good has had a successor that ran for CatchUp, and a lost disk is filled again by then.
test('losses of which each is over before the next leave a group that decides', async () => {
  const gapMs = fc.integer({ min: CATCH_UP_MS + START_MS - REACTION_MS, max: 4000 })
  const losses = fc.array(loss(gapMs), { minLength: 2, maxLength: 5 })
  await fc.assert(fc.asyncProperty(fc.nat(), losses, async (seed, list) => {
    const group = await play(seed, 0, [])
    for (const [i, { pick, kind, gapMs }] of list.entries()) {
      if (kind !== 'loses its disk') group.startSuccessor(`s${i}`)
      await group.run(gapMs)
      const { voters } = group
      group.lose(voters[pick % voters.length]!, kind)
      await expectKept(group)
    }
    group.dispose()
  }), { seed: 14, numRuns: 60 })
}, 60_000)

// A learner that had just ended was added all the same, and its vote stood against the two voters that were left.
test('a voter may be lost in any way at any time after a ready successor was lost', async () => {
  const gapMs = fc.oneof(fc.constantFrom(...EDGES), fc.nat({ max: 3000 }))
  await fc.assert(fc.asyncProperty(fc.nat(), fc.constantFrom(...KINDS), loss(gapMs), async (seed, kind, next) => {
    const group = await play(seed, 1, [])
    group.lose('s0', kind)
    await group.run(next.gapMs)
    group.lose(group.voters[next.pick % 3]!, next.kind)
    await expectKept(group)
    group.dispose()
  }), { seed: 15, numRuns: 100 })
}, 60_000)

// A voter that is cut off is taken for lost like one that hangs, and comes back.
test('a split in two halves beside a loss loses nothing, and the group decides after it', async () => {
  const gapMs = fc.oneof(fc.constantFrom(...EDGES), fc.nat({ max: 3000 }))
  const splits = fc.record({
    picks: fc.array(fc.nat({ max: 4 }), { minLength: 1, maxLength: 2 }),
    lengthMs: fc.nat({ max: 4000 })
  })
  const parameters = [fc.nat(), fc.nat({ max: 2 }), splits, loss(gapMs)] as const
  await fc.assert(fc.asyncProperty(...parameters, async (seed, successors, split, next) => {
    const group = await play(seed, successors, [])
    const { running } = group
    group.split(split.picks.map(pick => running[pick % running.length]!))
    await group.run(next.gapMs)
    group.lose(running[next.pick % running.length]!, next.kind)
    await group.run(split.lengthMs)
    expect(group.check()).toEqual([])
    group.split([])
    await expectKept(group)
    group.dispose()
  }), { seed: 16, numRuns: 200 })
}, 60_000)

/** Lines that were logged, without the fields that depend on times. */
function linesOf (group: VirtualGroup, message: string): object[] {
  return group.lines.filter(line => line.message === message).map(({ name, fields }) => {
    const { silenceMs, ...others } = fields as { readonly silenceMs?: number }
    return { name, ...others }
  })
}

// Neither a silent voter that nobody can replace nor the lack of a quorum could be told from the logs.
test('the leader logs a voter that falls silent, and the last voter logs that it finds no leader', async () => {
  const group = await play(1, 0, [])
  const [leader, ...followers] = group.voters as [string, string, string]
  const [lost, last] = followers as [string, string]
  group.lose(lost, 'hangs')
  await group.run(REACTION_MS)
  const silent = linesOf(group, 'voter is silent')
  expect(silent).toMatchObject([{ name: leader, voter: expect.stringMatching(`^${lost}~`) as string }])
  expect(group.silentVoters(leader)).toBe(1)
  expect(group.silentVoters(last)).toBe(0)
  group.lose(leader, 'hangs')
  await group.run(2 * LEADERLESS_JOIN_MS)
  expect(linesOf(group, 'no leader is found')).toMatchObject([{ name: last, heard: 1, quorum: 2 }])
  expect(group.silentVoters(last)).toBe(2)
  group.dispose()
})
