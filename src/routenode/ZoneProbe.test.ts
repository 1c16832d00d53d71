import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { NodeDirectory } from '../parts/instances/NodeDirectory.js'
import { ZONE_PROBE_INTERVAL_MS, ZONE_SUSPICION_MS } from '../parts/placement/Constants.js'
import { type ProbedLink, ZoneProbe } from './ZoneProbe.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const clock = { nowMs: () => Date.now(), wallMs: () => Date.now() }

interface FakeLink extends ProbedLink {
  lastReceivedMs: number | undefined
  probes: number
}

let links: FakeLink[]
let unreachable: Set<string>
let probe: ZoneProbe

beforeEach(() => {
  vi.useFakeTimers({ now: 1000 })
  links = []
  unreachable = new Set()
  const directory = new NodeDirectory()
  const zoneByNode = { a1: 'a', a2: 'a', b1: 'b', b2: 'b', b3: 'b', c1: 'c', c2: 'c' }
  for (const [node, zone] of Object.entries(zoneByNode)) {
    directory.merge([{ node, zone, epoch: 1, revision: 1, state: 'up' }], 0)
    const link = { node, isOpen: true, lastReceivedMs: 900, probes: 0, probe: () => { link.probes++ } }
    links.push(link)
  }
  probe = new ZoneProbe({
    zone: 'a',
    directory,
    clock,
    log: SILENT,
    links: () => links,
    setReachable: (nodes, isReachable) => {
      nodes.forEach(node => { if (isReachable) unreachable.delete(node); else unreachable.add(node) })
    }
  })
})

afterEach(() => {
  probe.dispose()
  vi.useRealTimers()
})

// During a cut, calls that leave an overloaded zone were lost at each node of the silent zone in turn.
test('once two nodes of a zone are silent, none of its nodes gets calls, and the others do', () => {
  probe.recordSilent('b1')
  expect(unreachable.size).toBe(0)
  probe.recordSilent('b2')
  expect([...unreachable]).toEqual(['b1', 'b2', 'b3'])
})

test('silent nodes of the own zone do not close it', () => {
  probe.recordSilent('a1')
  probe.recordSilent('a2')
  expect(unreachable.size).toBe(0)
})

test('an answer to a probe opens the zone again within a probe interval', () => {
  probe.recordSilent('b1')
  probe.recordSilent('b2')
  vi.advanceTimersByTime(2 * ZONE_PROBE_INTERVAL_MS)
  expect(links.filter(({ probes }) => probes > 1).map(({ node }) => node)).toEqual(['b1', 'b2', 'b3'])
  expect(unreachable.size).toBe(3)
  links[4]!.lastReceivedMs = Date.now()
  vi.advanceTimersByTime(ZONE_PROBE_INTERVAL_MS)
  expect(unreachable.size).toBe(0)
  const probes = links[4]!.probes
  vi.advanceTimersByTime(4 * ZONE_PROBE_INTERVAL_MS)
  expect(links[4]!.probes).toBe(probes)
})

test('a connection or an answer from any node of the zone opens it at once', () => {
  probe.recordSilent('b1')
  probe.recordSilent('b2')
  probe.recordHeard('b3')
  expect(unreachable.size).toBe(0)
})

test('a zone to which no link is left is tried again after a while', () => {
  probe.recordSilent('b1')
  probe.recordSilent('b2')
  links = []
  vi.advanceTimersByTime(ZONE_SUSPICION_MS + ZONE_PROBE_INTERVAL_MS)
  expect(unreachable.size).toBe(0)
})
