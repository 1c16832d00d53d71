import { expect, test } from 'vitest'
import { ZONE_SUSPICION_MS } from './Constants.js'
import { ZoneReachability } from './ZoneReachability.js'

test('one silent node does not make its zone silent, however often it is reported', () => {
  const zones = new ZoneReachability()
  for (let i = 0; i < 5; i++) expect(zones.recordSilent('a', 'n1', i)).toBe(false)
  expect(zones.isSilent('a', 10)).toBe(false)
})

test('a zone is silent once a second node stops answering, and other zones are not', () => {
  const zones = new ZoneReachability()
  zones.recordSilent('a', 'n1', 0)
  zones.recordSilent('b', 'n3', 0)
  expect(zones.recordSilent('a', 'n2', 1)).toBe(true)
  expect(zones.silentZones(2)).toEqual(['a'])
})

// Crashes of single nodes minutes apart must not add up while the others of the zone answer.
test('a node that is heard from ends the silence and what had been counted', () => {
  const zones = new ZoneReachability()
  zones.recordSilent('a', 'n1', 0)
  expect(zones.recordHeard('a', 1)).toBe(false)
  expect(zones.recordSilent('a', 'n2', 2)).toBe(false)
  expect(zones.recordSilent('a', 'n1', 3)).toBe(true)
  expect(zones.recordHeard('a', 4)).toBe(true)
  expect(zones.isSilent('a', 4)).toBe(false)
})

test('a silence ends by itself when there is no new evidence', () => {
  const zones = new ZoneReachability()
  zones.recordSilent('a', 'n1', 0)
  zones.recordSilent('a', 'n2', 0)
  expect(zones.isSilent('a', ZONE_SUSPICION_MS - 1)).toBe(true)
  expect(zones.isSilent('a', ZONE_SUSPICION_MS)).toBe(false)
})
