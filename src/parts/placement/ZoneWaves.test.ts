import { expect, test } from 'vitest'
import { playZones, type ZoneOutcome, type ZonePlan, type ZoneView } from '../../../test/support/ZoneLoad.js'

const LOADS = [0.6, 0.75, 0.9]
const SMALL_BYTES = 1500
const LARGE_BYTES = 20_000

/** Plays three waves over instances that slow down when nearly full. */
function play (view: ZoneView, load: number, bytes: number, changes: Partial<ZonePlan> = {}): ZoneOutcome {
  return playZones({ seed: 1, view, load, bytes, durationMs: 42_000, slowdown: 1.5, ...changes })
}

function inTimeShare ({ inTime, requests }: ZoneOutcome): number {
  return inTime / requests
}

function crossedShare ({ crossed, requests }: ZoneOutcome): number {
  return crossed / requests
}

// Demand that moves between zones must find the idle instances of the others, without crossings that bring nothing.
test('small calls follow the capacity to other zones, and cross less than if zones were alike', () => {
  for (const load of LOADS) {
    const today = play('asIs', load, SMALL_BYTES)
    const allAlike = play('allAlike', load, SMALL_BYTES)
    expect(inTimeShare(today)).toBeGreaterThan(inTimeShare(allAlike) - 0.005)
    expect(crossedShare(today)).toBeLessThan(crossedShare(allAlike) / 2)
  }
  // The waves are a load that one zone cannot serve.
  expect(inTimeShare(play('zoneOnly', 0.9, SMALL_BYTES))).toBeLessThan(0.9)
})

// For large calls, the price of their bytes keeps the choice in its zone; see docs/notes/zone-waves.md.
test('large calls are served as well as if there were no other zone', () => {
  for (const load of LOADS) {
    const today = play('asIs', load, LARGE_BYTES)
    expect(inTimeShare(today)).toBeGreaterThan(inTimeShare(play('zoneOnly', load, LARGE_BYTES)) - 0.01)
    expect(crossedShare(today)).toBeLessThan(0.05)
  }
})

test('while no zone is short of capacity, calls stay in theirs', () => {
  const today = play('asIs', 0.6, SMALL_BYTES, { slowdown: 1 })
  expect(inTimeShare(today)).toBeGreaterThan(0.999)
  expect(crossedShare(today)).toBeLessThan(0.01)
})
