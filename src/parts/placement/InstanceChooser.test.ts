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
