import { expect, test } from 'vitest'
import { ColdMesh, type MeshInstance, SLOTS } from '../../../test/support/ColdMesh.js'
import { COLD_BOUND, COLD_WINDOW_MS, MAX_COLD_CLOSED_MS } from '../gate/Constants.js'

const COLD_PER_S = 5
const COLD_MS = 4000

/** Cold time of an instance that flaps, in milliseconds: shorter than it is up. */
const SHORT_COLD_MS = 200

/** Instances in each of three zones; the nodes of the last two send the requests. */
const ZONES = [27, 27, 27]

/**
 * Requests a second of all 54 nodes together: about half of what 54 warm instances can do, and more than that, but not
 * more than all 81.
 */
const USUAL_PER_S = 4000
const HIGH_PER_S = 7500

/** Requests a second to twenty instances, one of which flaps: about half of what they can do. */
const FLAPPING_REQUESTS_PER_S = 2400

function countBetween (timesMs: readonly number[], fromMs: number, untilMs: number): number {
  return timesMs.filter(ms => ms >= fromMs && ms < untilMs).length
}

/** Returns the most requests that reached an instance in one window. */
function worstWindow ({ arrivalsMs }: MeshInstance, fromMs: number, untilMs: number): number {
  const timesMs = arrivalsMs.filter(ms => ms >= fromMs && ms < untilMs)
  return Math.max(0, ...timesMs.map(ms => countBetween(timesMs, ms, ms + COLD_WINDOW_MS)))
}

const SEEDS = [1, 2, 3]

/** What callers got whose requests arrived in some time. */
interface Summary {
  readonly count: number
  readonly refused: number
  readonly lost: number
  readonly declinesPerRequest: number
  /** Latency that 99 of 100 stayed below, in milliseconds. */
  readonly p99Ms: number
}

function summarize (mesh: ColdMesh, fromMs: number, untilMs: number): Summary {
  const outcomes = mesh.outcomes.filter(({ arrivedAtMs }) => arrivedAtMs >= fromMs && arrivedAtMs < untilMs)
  const latenciesMs = outcomes.map(({ arrivedAtMs, endedAtMs }) => endedAtMs - arrivedAtMs).sort((a, b) => a - b)
  return {
    count: outcomes.length,
    refused: outcomes.filter(({ outcome }) => outcome === 'refused').length,
    lost: outcomes.filter(({ outcome }) => outcome === 'lost').length,
    declinesPerRequest: outcomes.reduce((sum, { declines }) => sum + declines, 0) / outcomes.length,
    p99Ms: latenciesMs[Math.floor(0.99 * latenciesMs.length)] ?? 0
  }
}
/** What a zone got that returned. */
interface ZoneReturn {
  readonly mesh: ColdMesh
  readonly zone: readonly MeshInstance[]
  readonly returnedAtMs: number
  readonly warmAtMs: number
}

/** Plays a zone of instances that crash, return cold together and become warm together. */
function playReturn (seed: number, requestsPerS: number): ZoneReturn {
  const mesh = new ColdMesh(seed, ZONES, [1, 2], COLD_PER_S)
  const zone = mesh.instances.filter(instance => instance.zone === 0)
  mesh.play(requestsPerS, 2000)
  zone.forEach(instance => mesh.crash(instance))
  mesh.play(requestsPerS, 500)
  const returnedAtMs = mesh.nowMs
  zone.forEach(instance => mesh.restart(instance, COLD_MS))
  mesh.play(requestsPerS, COLD_MS)
  const warmAtMs = mesh.nowMs
  mesh.play(requestsPerS, 3500)
  return { mesh, zone, returnedAtMs, warmAtMs }
}

function countStarts (instances: readonly MeshInstance[], fromMs: number, untilMs: number): number {
  return instances.reduce((sum, { startsMs }) => sum + countBetween(startsMs, fromMs, untilMs), 0)
}

test('a zone of cold instances that returns at once gets no herd, and callers notice nothing', () => {
  for (const seed of SEEDS) {
    const { mesh, zone, returnedAtMs, warmAtMs } = playReturn(seed, USUAL_PER_S)
    const before = summarize(mesh, 1000, 2000)
    const allowed = COLD_BOUND.ratio * COLD_PER_S + COLD_BOUND.slack
    for (const instance of zone) expect(worstWindow(instance, returnedAtMs, warmAtMs)).toBeLessThanOrEqual(allowed)
    for (const fromMs of [returnedAtMs, returnedAtMs + 1000, warmAtMs, warmAtMs + 1000]) {
      const { refused, lost, declinesPerRequest, p99Ms } = summarize(mesh, fromMs, fromMs + 1000)
      expect([refused, lost]).toEqual([0, 0])
      // A decline costs a round trip of 2 ms.
      expect(declinesPerRequest).toBeLessThan(0.2)
      expect(p99Ms).toBeLessThanOrEqual(before.p99Ms + 4)
    }
  }
})

test('cold instances are used fully when the warm ones do not suffice, and warm again get their share within a second', () => {
  for (const seed of SEEDS) {
    const { mesh, zone, returnedAtMs, warmAtMs } = playReturn(seed, HIGH_PER_S)
    const coldPerS = countStarts(zone, returnedAtMs + 1000, warmAtMs) / zone.length / (COLD_MS - 1000) * 1000
    expect(coldPerS).toBeGreaterThan(0.8 * COLD_PER_S)
    expect(coldPerS).toBeLessThanOrEqual(COLD_PER_S + 0.5)
    const others = mesh.instances.filter(instance => instance.zone !== 0)
    const meanOf = (instances: readonly MeshInstance[]): number => {
      return countStarts(instances, warmAtMs + 1000, warmAtMs + 2000) / instances.length
    }
    expect(meanOf(zone) / meanOf(others)).toBeGreaterThan(0.9)
    expect(summarize(mesh, warmAtMs, warmAtMs + 3000).refused).toBe(0)
    expect(summarize(mesh, warmAtMs, warmAtMs + 1000).declinesPerRequest).toBeLessThan(0.5)
  }
})

test('while all instances are cold, callers are refused at once, and what the instances tolerate is used', () => {
  for (const seed of SEEDS) {
    const mesh = new ColdMesh(seed, [27], [0], COLD_PER_S)
    mesh.instances.forEach(instance => { instance.coldUntilMs = Infinity })
    mesh.instances.forEach(instance => mesh.restart(instance, 60_000))
    mesh.play(1.5 * 27 * COLD_PER_S, 6000)
    const started = countStarts(mesh.instances, 1000, 6000)
    expect(started).toBeGreaterThan(0.9 * 5 * 27 * COLD_PER_S)
    const refused = mesh.outcomes.filter(({ outcome, arrivedAtMs }) => outcome === 'refused' && arrivedAtMs > 1000)
    const waitedMs = refused.map(({ arrivedAtMs, endedAtMs }) => endedAtMs - arrivedAtMs).sort((a, b) => a - b)
    expect(refused.length).toBeGreaterThan(100)
    // Some round trips of 2 ms.
    expect(waitedMs[Math.floor(waitedMs.length / 2)]).toBeLessThanOrEqual(10)
    for (const { retryAfterMs } of refused) {
      expect(retryAfterMs).toBeGreaterThan(0)
      expect(retryAfterMs).toBeLessThanOrEqual(MAX_COLD_CLOSED_MS)
    }
  }
})

// Each node that has waited for a place would otherwise come at the same moment as all others, mostly in vain.
test('nodes that are declined by cold instances return one after the other', () => {
  for (const seed of SEEDS) {
    const mesh = new ColdMesh(seed, [27], [0], COLD_PER_S)
    mesh.instances.forEach(instance => mesh.restart(instance, 60_000))
    mesh.play(1.5 * 27 * COLD_PER_S, 6000)
    expect(summarize(mesh, 1000, 6000).declinesPerRequest).toBeLessThan(5)
  }
})

for (const coldPerS of [COLD_PER_S, undefined]) {
  const limit = coldPerS === undefined ? 'without' : 'with'
  for (const kind of ['restarts', 'returns'] as const) {
    test(`an instance that is down and ${kind} by turns gets no herd and loses only what it ran, ${limit} a limit`, () => {
      for (const seed of SEEDS) {
        const mesh = new ColdMesh(seed, [10, 10], [0, 1], coldPerS)
        const [instance] = mesh.instances as [MeshInstance]
        let ranAtCrashes = 0
        mesh.play(FLAPPING_REQUESTS_PER_S, 1000)
        for (let turn = 0; turn < 12; turn++) {
          ranAtCrashes += instance.running.size
          mesh.crash(instance)
          mesh.play(FLAPPING_REQUESTS_PER_S, 400)
          const returnedAtMs = mesh.nowMs
          if (kind === 'restarts') mesh.restart(instance, SHORT_COLD_MS)
          else mesh.resume(instance)
          mesh.play(FLAPPING_REQUESTS_PER_S, 1000)
          // Fewer calls in vain than callers' nodes: they do not all come at its return.
          expect(countBetween(instance.declinesMs, returnedAtMs, returnedAtMs + 100)).toBeLessThan(10)
          expect(countBetween(instance.startsMs, returnedAtMs, returnedAtMs + 100)).toBeLessThanOrEqual(SLOTS)
        }
        mesh.play(0, 1000)
        const { lost, refused } = summarize(mesh, 0, mesh.nowMs)
        expect([refused, lost]).toEqual([0, ranAtCrashes])
        // Those of the first two crashes, after which it is known to flap.
        expect(lost).toBeLessThanOrEqual(2 * SLOTS)
      }
    })
  }
}
