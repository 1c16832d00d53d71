import { expect, test } from 'vitest'
import { NodeSightings } from './NodeSightings.js'

test('a node that was first known after its start is new, one that was known before is not', () => {
  const sightings = new NodeSightings(0)
  sightings.record(['old'], 1000)
  sightings.record(['old', 'new'], 20_000)
  expect(sightings.isNew('new', 500, 20_300)).toBe(true)
  expect(sightings.isNew('old', 500, 20_300)).toBe(false)
})

// After a restart of the replica, every node is first known to it, whatever ran there before.
test('before a replica has watched for a window, no node counts as new', () => {
  const sightings = new NodeSightings(0)
  sightings.record(['a'], 1000)
  expect(sightings.isNew('a', 500, 1300)).toBe(false)
})

test('a node that is gone for good is forgotten', () => {
  const sightings = new NodeSightings(0)
  sightings.record(['a'], 1000)
  sightings.record([], 70_000)
  sightings.record(['a'], 80_000)
  expect(sightings.isNew('a', 100, 80_000)).toBe(true)
})
