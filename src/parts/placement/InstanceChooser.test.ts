import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { FAILING_HALF_LIFE_MS, SUBSET_SIZE, TRIAL_INTERVAL_MS, UNREACHABLE_COOLDOWN_MS } from './Constants.js'
import { InstanceChooser } from './InstanceChooser.js'
import type { PlacementCandidate, PlacementQuery } from './Types.js'

const IDLE = { running: 0, queued: 0, limit: 4, slowness: 1, workMs: 50, failing: 0 }
const SMALL = { excluded: [], allowsTrial: true, bytes: 1000 }

function makeChooser (...candidates: Array<Partial<PlacementCandidate> & { node: string }>): InstanceChooser {
  const chooser = new InstanceChooser('self', new SeededRandom(1))
  candidates.forEach(item => chooser.setCandidate({ incarnation: '1', roundTripMs: 1, slots: 6, crossesZones: false, ...item }))
  return chooser
}

function measureShare (chooser: InstanceChooser, node: string, count: number, nowMs: number): number {
  const chosen = Array.from({ length: count }, () => chooser.choose(SMALL, nowMs))
  return chosen.filter(other => other === node).length / count
}

test('calls that are not answered yet count before there is a load report', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' })
  const counts = new Map<string, number>()
  for (let i = 0; i < 20; i++) {
    const node = chooser.choose(SMALL, 0) ?? ''
    chooser.recordSent(node)
    counts.set(node, (counts.get(node) ?? 0) + 1)
  }
  expect(Math.abs((counts.get('a') ?? 0) - (counts.get('b') ?? 0))).toBeLessThanOrEqual(1)
})

test('an instance on a slow VM is not chosen until its load report has aged', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' })
  chooser.recordLoad('a', { ...IDLE, slowness: 5 }, 0)
  chooser.recordLoad('b', IDLE, 0)
  expect(measureShare(chooser, 'b', 50, 1)).toBe(1)
  expect(measureShare(chooser, 'a', 200, 2000)).toBeGreaterThan(0.2)
})

test('excluded nodes are not chosen', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' })
  expect(chooser.choose({ ...SMALL, excluded: ['a'] }, 0)).toBe('b')
  expect(chooser.choose({ ...SMALL, excluded: ['a', 'b'] }, 0)).toBeUndefined()
})

test('an unreachable node is not chosen for a while, or until it is reachable', () => {
  const chooser = makeChooser({ node: 'a' })
  chooser.recordEnd('a', 'unreachable', undefined, 0)
  expect(chooser.choose(SMALL, UNREACHABLE_COOLDOWN_MS - 1)).toBeUndefined()
  chooser.markReachable('a')
  expect(chooser.choose(SMALL, 1)).toBe('a')
})

// An instance that fails at once has a low load and would attract most calls if only its load counted.
test('an instance that fails fast does not attract calls by looking idle', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' }, { node: 'c' })
  for (let i = 0; i < 30; i++) chooser.recordEnd('a', 'failed', IDLE, i)
  const busy = { ...IDLE, running: 3 }
  chooser.recordLoad('b', busy, 30)
  chooser.recordLoad('c', busy, 30)
  chooser.choose(SMALL, 31) // Uses up the trial that is due.
  expect(measureShare(chooser, 'a', 100, 32)).toBe(0)
})

// An instance that rejects calls at once looks idle. Each node of a large mesh would have to fail there several times.
test('an instance whose node reports failing runs is avoided at once, and tried again after a while', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' })
  chooser.recordEnd('a', 'declined', { ...IDLE, failing: 0.5 }, 0)
  chooser.recordLoad('b', { ...IDLE, running: 3, queued: 4 }, 0)
  expect(measureShare(chooser, 'a', 50, 1)).toBe(0)
  expect(measureShare(chooser, 'a', 50, 6 * FAILING_HALF_LIFE_MS)).toBeGreaterThan(0)
})

test('an ejected instance gets occasional trials, by calls that allow one', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' }, { node: 'c' })
  for (let i = 0; i < 30; i++) chooser.recordEnd('a', 'failed', IDLE, i)
  expect(chooser.choose({ ...SMALL, allowsTrial: false }, 40)).not.toBe('a')
  expect(chooser.choose(SMALL, 40)).toBe('a')
  expect(chooser.choose(SMALL, 41)).not.toBe('a')
  expect(chooser.choose(SMALL, 41 + TRIAL_INTERVAL_MS)).toBe('a')
})

test('an instance is chosen even when all instances of the service fail', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' })
  for (const node of ['a', 'b']) for (let i = 0; i < 30; i++) chooser.recordEnd(node, 'failed', IDLE, i)
  expect(chooser.choose({ ...SMALL, allowsTrial: false }, 40)).toBeDefined()
})

test('a large answer stays in its zone where a small one moves to a less loaded zone', () => {
  const chooser = makeChooser({ node: 'near' }, { node: 'far', crossesZones: true })
  chooser.recordLoad('near', { ...IDLE, running: 4, queued: 2 }, 0)
  chooser.recordLoad('far', IDLE, 0)
  expect(chooser.choose({ ...SMALL, bytes: 100_000 }, 1)).toBe('near')
  expect(chooser.choose({ ...SMALL, bytes: 100 }, 1)).toBe('far')
})

test('an unresponsive node is not chosen until it answers again', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' })
  chooser.markUnreachable('a', 0)
  expect(measureShare(chooser, 'b', 20, 1)).toBe(1)
  chooser.markReachable('a')
  expect(measureShare(chooser, 'a', 200, 2)).toBeGreaterThan(0.2)
})

/** Returns how many of `nodes` choose each of `count` instances of a service, over many calls without evidence. */
function countUsers (nodes: number, count: number): Map<string, number> {
  const users = new Map<string, number>()
  for (let index = 0; index < nodes; index++) {
    const chooser = new InstanceChooser(`node-${index}`, new SeededRandom(index))
    for (let i = 0; i < count; i++) {
      chooser.setCandidate({ node: `i-${i}`, incarnation: '1', roundTripMs: 1, slots: 4, crossesZones: i % 5 !== index % 5 })
    }
    const used = new Set<string>()
    for (let call = 0; call < 300; call++) {
      const node = chooser.choose(SMALL, 0) ?? ''
      chooser.recordSent(node)
      used.add(node)
    }
    for (const node of used) users.set(node, (users.get(node) ?? 0) + 1)
  }
  return users
}

// With all instances, nodes and links would grow with the square of the mesh.
test('a node uses a bounded number of instances, and each instance is used by about as many nodes', () => {
  const users = countUsers(200, 100)
  const total = [...users.values()].reduce((sum, count) => sum + count, 0)
  expect(total / 200).toBeLessThanOrEqual(SUBSET_SIZE)
  const mean = total / 100
  expect(users.size).toBe(100)
  expect(Math.min(...users.values())).toBeGreaterThan(0.5 * mean)
  expect(Math.max(...users.values())).toBeLessThan(1.6 * mean)
})

test('the whole service is used when all instances of the subset are tried or unreachable', () => {
  const chooser = new InstanceChooser('self', new SeededRandom(1))
  const count = 2 * SUBSET_SIZE
  for (let i = 0; i < count; i++) {
    chooser.setCandidate({ node: `i-${i}`, incarnation: '1', roundTripMs: 1, slots: 4, crossesZones: i % 3 === 0 })
  }
  const tried = new Set<string>()
  for (let i = 0; i < count; i++) {
    const node = chooser.choose({ ...SMALL, excluded: [...tried] }, 0) ?? ''
    tried.add(node)
    chooser.recordEnd(node, 'unreachable', undefined, 0)
  }
  expect(tried.size).toBe(count)
  expect(chooser.choose({ ...SMALL, excluded: [...tried] }, 0)).toBeUndefined()
})

test('an instance whose request limit allows no further call is not chosen until it does', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' })
  chooser.recordLoad('a', { ...IDLE, closedForMs: 250 }, 0)
  expect([measureShare(chooser, 'b', 20, 249), chooser.untilOpenMs(100)]).toEqual([1, 150])
  chooser.recordLoad('b', { ...IDLE, closedForMs: 500 }, 0)
  expect([chooser.choose(SMALL, 200), chooser.choose(SMALL, 250)]).toEqual([undefined, 'a'])
})

test('an instance that starts anew is chosen at once, whatever became of the one before', () => {
  const chooser = makeChooser({ node: 'a' })
  for (let i = 0; i < 20; i++) chooser.recordEnd('a', 'failed', { ...IDLE, limit: 0, failing: 1 }, 0)
  chooser.recordSent('a')
  chooser.recordEnd('a', 'unreachable', undefined, 0)
  chooser.setCandidate({ node: 'a', incarnation: '1', roundTripMs: 1, slots: 6, crossesZones: false })
  expect(chooser.choose(SMALL, 1)).toBeUndefined()
  chooser.setCandidate({ node: 'a', incarnation: '2', roundTripMs: 1, slots: 6, crossesZones: false })
  expect(chooser.choose(SMALL, 1)).toBe('a')
  expect(chooser.describe()).toMatchObject([{ failureShare: 0, load: null }])
})

// The body of an upload is moved to another VM only after the call has a slot there.
test('the time to move a body counts for instances on other VMs, not for the one on this VM', () => {
  const chooser = makeChooser({ node: 'self' }, { node: 'other' })
  chooser.recordLoad('self', { ...IDLE, running: 4, queued: 1 }, 0)
  chooser.recordLoad('other', IDLE, 0)
  expect(chooser.choose({ ...SMALL, transferMs: 650 }, 1)).toBe('self')
  expect(chooser.choose(SMALL, 1)).toBe('other')
  expect(chooser.moveCostMs('self', { ...SMALL, transferMs: 650 }, 1)).toBe(650)
  expect(chooser.moveCostMs('other', { ...SMALL, transferMs: 650 }, 1)).toBe(0)
})

function exclude (closedZones: string[], avoidedZones: string[] = []): PlacementQuery {
  return { ...SMALL, exclusion: { closedZones: new Set(closedZones), avoidedZones: new Set(avoidedZones) } }
}

test('closed zones are left out, and avoided ones while there is another instance', () => {
  const chooser = makeChooser({ node: 'a', zone: 'a' }, { node: 'b', zone: 'b' })
  for (let i = 0; i < 10; i++) expect(chooser.choose(exclude(['a']), 0)).toBe('b')
  for (let i = 0; i < 10; i++) expect(chooser.choose(exclude([], ['b']), 0)).toBe('a')
  expect([chooser.choose(exclude(['a'], ['b']), 0), chooser.choose(exclude(['a', 'b']), 0)]).toEqual(['b', undefined])
  expect([chooser.isClosed(exclude(['a'])), chooser.isClosed(exclude(['a', 'b'])), chooser.isClosed(SMALL)]).toEqual([false, true, false])
})

// The subset of a node has most of its instances in the node's own zone, which may be the evacuated one.
test('a node finds instances outside its subset when all of the subset is in closed or avoided zones', () => {
  const candidate = { incarnation: '1', roundTripMs: 1, slots: 4, crossesZones: true }
  // The one instance in another zone is in the subset of some of these nodes only.
  for (let index = 0; index < 20; index++) {
    const chooser = new InstanceChooser(`node-${index}`, new SeededRandom(1))
    for (let i = 0; i < 2 * SUBSET_SIZE; i++) chooser.setCandidate({ ...candidate, node: `i-${i}`, zone: 'a' })
    chooser.setCandidate({ ...candidate, node: 'other', zone: 'b' })
    expect([chooser.choose(exclude(['a']), 0), chooser.choose(exclude([], ['a']), 0)]).toEqual(['other', 'other'])
  }
})
