import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { TRIAL_INTERVAL_MS, UNREACHABLE_COOLDOWN_MS } from './Constants.js'
import { InstanceChooser } from './InstanceChooser.js'
import type { PlacementCandidate } from './Types.js'

const IDLE = { running: 0, queued: 0, limit: 4, slowness: 1, workMs: 50 }
const SMALL = { excluded: [], allowsTrial: true, bytes: 1000 }

function makeChooser (...candidates: Array<Partial<PlacementCandidate> & { node: string }>): InstanceChooser {
  const chooser = new InstanceChooser(new SeededRandom(1))
  chooser.setCandidates(candidates.map(item => ({ roundTripMs: 1, slots: 6, crossesZones: false, ...item })))
  return chooser
}

function share (chooser: InstanceChooser, node: string, count: number, nowMs: number): number {
  const chosen = Array.from({ length: count }, () => chooser.choose(SMALL, nowMs))
  return chosen.filter(other => other === node).length / count
}

test('own calls that are out count before any report does', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' })
  const counts = new Map<string, number>()
  for (let i = 0; i < 20; i++) {
    const node = chooser.choose(SMALL, 0) ?? ''
    chooser.recordStart(node)
    counts.set(node, (counts.get(node) ?? 0) + 1)
  }
  expect(Math.abs((counts.get('a') ?? 0) - (counts.get('b') ?? 0))).toBeLessThanOrEqual(1)
})

test('a machine that is slow now is passed over until its report has aged', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' })
  chooser.recordLoad('a', { ...IDLE, slowness: 5 }, 0)
  chooser.recordLoad('b', IDLE, 0)
  expect(share(chooser, 'b', 50, 1)).toBe(1)
  expect(share(chooser, 'a', 200, 2000)).toBeGreaterThan(0.2)
})

test('nodes that were asked are not chosen again', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' })
  expect(chooser.choose({ ...SMALL, excluded: ['a'] }, 0)).toBe('b')
  expect(chooser.choose({ ...SMALL, excluded: ['a', 'b'] }, 0)).toBeUndefined()
})

test('an unreachable node is passed over for a while, or until it is reached', () => {
  const chooser = makeChooser({ node: 'a' })
  chooser.recordEnd('a', 'unreachable', undefined, 0)
  expect(chooser.choose(SMALL, UNREACHABLE_COOLDOWN_MS - 1)).toBeUndefined()
  chooser.markReachable('a')
  expect(chooser.choose(SMALL, 1)).toBe('a')
})

test('an instance that fails fast does not draw calls by looking idle', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' }, { node: 'c' })
  for (let i = 0; i < 30; i++) chooser.recordEnd('a', 'failed', IDLE, i)
  const busy = { ...IDLE, running: 3 }
  chooser.recordLoad('b', busy, 30)
  chooser.recordLoad('c', busy, 30)
  chooser.choose(SMALL, 31) // The trial that is due.
  expect(share(chooser, 'a', 100, 32)).toBe(0)
})

test('an instance that fails is tried now and then, by calls that may run again', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' }, { node: 'c' })
  for (let i = 0; i < 30; i++) chooser.recordEnd('a', 'failed', IDLE, i)
  expect(chooser.choose({ ...SMALL, allowsTrial: false }, 40)).not.toBe('a')
  expect(chooser.choose(SMALL, 40)).toBe('a')
  expect(chooser.choose(SMALL, 41)).not.toBe('a')
  expect(chooser.choose(SMALL, 41 + TRIAL_INTERVAL_MS)).toBe('a')
})

test('a service whose instances all fail is not emptied', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' })
  for (const node of ['a', 'b']) for (let i = 0; i < 30; i++) chooser.recordEnd(node, 'failed', IDLE, i)
  expect(chooser.choose({ ...SMALL, allowsTrial: false }, 40)).toBeDefined()
})

test('large answers stay in their zone unless its instance is far behind', () => {
  const chooser = makeChooser({ node: 'near' }, { node: 'far', crossesZones: true })
  chooser.recordLoad('near', { ...IDLE, running: 4, queued: 2 }, 0)
  chooser.recordLoad('far', IDLE, 0)
  expect(chooser.choose({ ...SMALL, bytes: 100_000 }, 1)).toBe('near')
  expect(chooser.choose({ ...SMALL, bytes: 100 }, 1)).toBe('far')
})

test('a node that does not answer is passed over until it is heard again', () => {
  const chooser = makeChooser({ node: 'a' }, { node: 'b' })
  chooser.markUnreachable('a', 0)
  expect(share(chooser, 'b', 20, 1)).toBe(1)
  chooser.markReachable('a')
  expect(share(chooser, 'a', 200, 2)).toBeGreaterThan(0.2)
})
