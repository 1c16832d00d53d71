import fc from 'fast-check'
import { expect, test } from 'vitest'
import { type NetworkConditions, QuotaWorld, type WorldNode } from '../../../test/support/QuotaWorld.js'
import type { Quota } from './Types.js'

const RUNS = 40
const SEED = 3
const FIRST_MS = 2000
const END_MS = 50_000

/** Bound of the users' requirements on the requests that run in any sliding 5 s. */
function boundOf ({ ratePerS, burst }: Quota): number {
  return (ratePerS * 5 + burst) * 1.1 + 20
}

type FaultKind =
  | 'pause'
  | 'stopClock'
  | 'restart'
  | 'cut'
  | 'cutThird'
  | 'loseLeader'
  | 'freezeLeader'
  | 'loseLeaderAndCutThird'
  | 'loseLeaderAndRestart'

interface Fault {
  readonly kind: FaultKind
  readonly atMs: number
  readonly forMs: number
  readonly node: number
}

/** Nodes that the workspace sends its requests to: one, all, or one after the other. */
type Pattern = 'one' | 'all' | 'moving'

interface Scenario {
  readonly seed: number
  readonly nodes: number
  readonly quota: Quota
  readonly pattern: Pattern
  readonly usualShare: number
  readonly surgeMs: number
  readonly network: NetworkConditions
  readonly returnShare: number
  readonly faults: readonly Fault[]
}

const QUOTAS = fc.oneof(
  fc.record({ ratePerS: fc.constantFrom(0.5, 1.6, 4), burst: fc.constantFrom(0, 2, 10) }),
  fc.record({ ratePerS: fc.constantFrom(20, 60, 150), burst: fc.constantFrom(0, 20, 200) })
)

/** From a network that is quick to one that delays, reorders and loses messages. */
const NETWORKS: fc.Arbitrary<NetworkConditions> = fc.constantFrom(
  { minMs: 1, maxMs: 8, loss: 0 },
  { minMs: 1, maxMs: 120, loss: 0.02 },
  { minMs: 1, maxMs: 800, loss: 0.1 }
)

function scenarios (kinds: readonly FaultKind[], most: number): fc.Arbitrary<Scenario> {
  return fc.record({
    seed: fc.integer({ min: 1, max: 1e6 }),
    nodes: fc.constantFrom(3, 12, 40),
    quota: QUOTAS,
    pattern: fc.constantFrom<Pattern>('one', 'all', 'moving'),
    usualShare: fc.constantFrom(0.6, 1),
    surgeMs: fc.integer({ min: 4000, max: 30_000 }),
    network: NETWORKS,
    returnShare: fc.constantFrom(0, 0.3),
    faults: fc.array(fc.record({
      kind: fc.constantFrom(...kinds),
      atMs: fc.integer({ min: 3000, max: 35_000 }),
      forMs: fc.constantFrom(300, 700, 1500, 4000, 9000, 26_000),
      node: fc.nat(39)
    }), { minLength: Math.min(1, most), maxLength: most })
  })
}

function cause (world: QuotaWorld, { kind, atMs, forMs, node: number }: Fault): void {
  const node = world.nodes[number % world.nodes.length]!
  const third = world.nodes.filter(({ index }) => (index + number) % 3 === 0)
  const actions: Readonly<Record<FaultKind, () => void>> = {
    pause: () => world.pause(node, forMs, false),
    stopClock: () => world.pause(node, forMs, true),
    restart: () => world.restart(node, forMs),
    cut: () => world.cut([node], forMs),
    cutThird: () => world.cut(third, forMs),
    loseLeader: () => world.loseLeader(),
    freezeLeader: () => world.freezeLeader(forMs),
    loseLeaderAndCutThird: () => {
      world.cut(third, forMs)
      world.loseLeader()
    },
    loseLeaderAndRestart: () => {
      world.restart(node, forMs)
      world.loseLeader()
    }
  }
  world.at(atMs, actions[kind])
}

/** Plays a scenario in which the workspace sends its usual load and from `surgeMs` on 8 times as much. */
function play (scenario: Scenario): QuotaWorld {
  const { seed, nodes, quota, pattern, usualShare, surgeMs, network, returnShare, faults } = scenario
  const world = new QuotaWorld(nodes, quota, seed)
  world.network = network
  world.returnShare = returnShare
  const pick: Readonly<Record<Pattern, () => WorldNode>> = {
    one: () => world.nodes[0]!,
    all: () => world.pickAny(),
    moving: () => world.nodes[Math.floor(world.nowMs / 4000) % nodes]!
  }
  const usual = quota.ratePerS * usualShare
  world.load(usual, FIRST_MS, surgeMs, pick[pattern])
  world.load(8 * usual, surgeMs, END_MS, pick[pattern])
  faults.forEach(fault => cause(world, fault))
  world.runUntil(END_MS)
  return world
}

function checkBound (kinds: readonly FaultKind[], most: number): void {
  fc.assert(fc.property(scenarios(kinds, most), scenario => {
    expect(play(scenario).peak()).toBeLessThanOrEqual(boundOf(scenario.quota))
  }), { numRuns: RUNS, seed: SEED })
}

// Guards against credits that are used later than the ledger assumes, and against returns that are counted twice.
test('the bound holds while a workspace sends 8 times its usual and messages are lost and reordered', () => {
  checkBound(['pause'], 0)
})

test('the bound holds when nodes are suspended and return with old credits', () => checkBound(['pause'], 4))

test('the bound holds when suspended nodes notice by the wall clock that their own stood still', () => {
  checkBound(['stopClock'], 4)
})

// Guards against a restarted node that passes for one that has used nothing.
test('the bound holds when nodes restart', () => checkBound(['restart'], 4))

// Guards against a ledger that grants to others what nodes without contact use on their own.
test('the bound holds when nodes are cut off', () => checkBound(['cut', 'cutThird'], 4))

// Guards against a new leader that grants the whole quota again, and against answers of a deposed one.
test('the bound holds when leaders are lost, or freeze and thaw', () => checkBound(['loseLeader', 'freezeLeader'], 4))

// Guards against a new leader that takes nodes that it can't reach for unused.
test('the bound holds when a third of the nodes is cut off while the leader changes', () => {
  checkBound(['loseLeaderAndCutThird'], 2)
})

test('the bound holds when a node restarts while the leader changes', () => checkBound(['loseLeaderAndRestart'], 3))

test('the bound holds under all faults together', () => {
  checkBound([
    'pause', 'stopClock', 'restart', 'cut', 'cutThird', 'loseLeader', 'freezeLeader', 'loseLeaderAndCutThird',
    'loseLeaderAndRestart'
  ], 6)
})

// Guards against allowances and credits that outlive the quota by which they were granted.
test('a lowered quota holds from one window after its configuration is in force at all nodes', () => {
  const lowerings = fc.record({
    scenario: scenarios(['pause', 'cut', 'loseLeader'], 2), factor: fc.constantFrom(0.1, 0.5)
  })
  fc.assert(fc.property(lowerings, ({ scenario, factor }) => {
    const { seed, nodes, quota, network, faults } = scenario
    const world = new QuotaWorld(nodes, quota, seed)
    world.network = network
    const lowered = { ratePerS: quota.ratePerS * factor, burst: Math.floor(quota.burst * factor) }
    world.load(8 * quota.ratePerS, FIRST_MS, END_MS, () => world.pickAny())
    faults.filter(({ atMs, forMs }) => atMs + forMs < 24_000).forEach(fault => cause(world, fault))
    world.at(25_000, () => world.setQuota(lowered))
    world.runUntil(END_MS)
    expect(world.peak(0, 26_000)).toBeLessThanOrEqual(boundOf(quota))
    expect(world.peak(31_000)).toBeLessThanOrEqual(boundOf(lowered))
  }), { numRuns: RUNS, seed: SEED })
})

/** Sends requests at even or random intervals to 81 nodes and returns how many were refused. */
function countRefused (quota: Quota, perS: number, isEven: boolean, seed: number): number {
  const world = new QuotaWorld(81, quota, seed)
  world.load(perS, FIRST_MS, 40_000, () => world.pickAny(), isEven)
  world.runUntil(42_000)
  expect(world.admitted.length + world.refusedAtMs.length).toBeGreaterThan(0.8 * perS * 38 - 10)
  return world.refusedAtMs.length
}

const SEEDS = { numRuns: 5, seed: SEED }

// Guards against a division of the quota among the nodes: 81 nodes would get a few requests a minute each.
test('in calm, one request a second over 81 nodes is not refused', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 1e6 }), seed => {
    expect(countRefused({ ratePerS: 1.6, burst: 2 }, 1, true, seed)).toBe(0)
  }), SEEDS)
})

test('in calm, 240 requests a second are not refused', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 1e6 }), seed => {
    expect(countRefused({ ratePerS: 384, burst: 100 }, 240, false, seed)).toBe(0)
  }), SEEDS)
})

// Guards against credits that are counted for so long after their use that the quota can't be used in full.
test('in calm, requests at exactly the rate are not refused, and neither is a burst on top', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 1e6 }), seed => {
    expect(countRefused({ ratePerS: 100, burst: 0 }, 100, true, seed)).toBe(0)
    const world = new QuotaWorld(81, { ratePerS: 20, burst: 30 }, seed)
    world.load(20, FIRST_MS, 30_000, () => world.pickAny(), true)
    world.at(15_000, () => { for (let i = 0; i < 30; i++) world.request(world.pickAny()) })
    world.runUntil(32_000)
    expect(world.refusedAtMs).toEqual([])
  }), SEEDS)
})

// Guards against refusals that nodes repeat on their own for longer than the quota is used up.
test('a workspace that sends 8 times its usual gets its whole quota', () => {
  fc.assert(fc.property(fc.constantFrom(1.6, 20, 384), fc.integer({ min: 1, max: 1e6 }), (ratePerS, seed) => {
    const world = new QuotaWorld(81, { ratePerS, burst: 0 }, seed)
    world.load(5 * ratePerS, FIRST_MS, 42_000, () => world.pickAny())
    world.runUntil(42_000)
    expect(world.admitted.length).toBeGreaterThanOrEqual(ratePerS * 40 * 0.97)
  }), SEEDS)
})

// The process can't tell for how long it was suspended when both of its clocks stood still.
test('a node that was suspended without notice uses at most what it held beyond the bound', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 1e6 }), seed => {
    const quota = { ratePerS: 100, burst: 0 }
    const world = new QuotaWorld(12, quota, seed)
    world.load(60, FIRST_MS, END_MS, () => world.pickAny())
    world.at(8000, () => { for (const node of world.nodes.slice(0, 4)) world.pause(node, 32_000, true, false) })
    world.load(300, 10_000, END_MS, () => world.pickAny())
    world.runUntil(END_MS)
    const heldInAdvance = 4 * Math.floor(0.01 * 500)
    expect(world.peak()).toBeLessThanOrEqual(boundOf(quota) + heldInAdvance)
  }), SEEDS)
})

// A caller may retry at once when it is refused, which must cost the leader nothing.
test('a node refuses further requests on its own for a while after a refusal', () => {
  const world = new QuotaWorld(1, { ratePerS: 1, burst: 0 }, SEED)
  world.load(2000, FIRST_MS, 12_000, () => world.nodes[0]!)
  world.runUntil(12_000)
  expect(world.refusedAtMs.length).toBeGreaterThan(19_000)
  expect(world.messages).toBeLessThan(200)
})
