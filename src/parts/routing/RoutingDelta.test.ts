import fc from 'fast-check'
import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { DEFAULT_CALLER_LIMITS } from './Constants.js'
import { RouteTable } from './RouteTable.js'
import { applyPatch, computeDelta, mergeDeltas } from './RoutingDelta.js'
import type { Route, RoutingConfiguration, VersionedRouting } from './Types.js'

const NAMES = ['a', 'b', 'c', 'd', 'e']
const HOSTS = ['h.example', 'H.Example', 'g.example']
const PREFIXES = ['/', '/x/', '/x/y/', '/x/y/z/', '//', '/%41/']
const PATHS = ['/', '/x', '/x/', '/x/y', '/x/y/', '/x/y/z/w', '//', '//x', '/%41/', '/A/', '/x//y/']

const route = fc.record({
  name: fc.constantFrom(...NAMES),
  host: fc.constantFrom(...HOSTS),
  pathPrefix: fc.constantFrom(...PREFIXES),
  kind: fc.constant('idempotent' as const),
  timeoutMs: fc.constantFrom(500, 1000),
  latencyObjectiveMs: fc.constant(300),
  priority: fc.constant(1),
  maxAttempts: fc.constant(2),
  destination: fc.constantFrom('s', 't').map(service => ({ type: 'service' as const, service }))
})

/** What a configuration may have once; hosts that differ in letter case only may both be there. */
const placeOf = ({ host, pathPrefix }: Route): string => `${host}${pathPrefix}`

function keepFirstOfPlace (routes: readonly Route[]): Route[] {
  return routes.filter((item, index) => routes.findIndex(other => placeOf(other) === placeOf(item)) === index)
}

/** Any complete configuration whose routes differ in name and in host and prefix; names and prefixes move freely. */
const configuration: fc.Arbitrary<RoutingConfiguration> = fc.record({
  routes: fc.uniqueArray(route, { selector: ({ name }) => name, maxLength: 5 }).map(keepFirstOfPlace),
  services: fc.uniqueArray(fc.constantFrom('s', 't', 'u'), { maxLength: 3 })
    .map(names => names.map(name => ({ name, healthPath: '/', maxConnections: 1, protocol: 'h1', tls: false }))),
  limits: fc.constantFrom(DEFAULT_CALLER_LIMITS, { ...DEFAULT_CALLER_LIMITS, idleTimeoutMs: 1 })
})

const history = fc.array(configuration, { minLength: 2, maxLength: 8 })
  .map(items => items.map((item, index): VersionedRouting => ({ version: index + 1, configuration: item })))

/** Name and timeout of the route that a table finds for each path of each host. */
function describeTable (routing: VersionedRouting, previous?: RouteTable): string[] {
  const table = new RouteTable(routing, new SeededRandom(1), previous)
  return HOSTS.flatMap(host => PATHS.map(path => {
    const found = table.find(host.toLowerCase(), path)
    return `${host}${path} ${JSON.stringify(found?.route)} ${found?.nextService()}`
  }))
}

test('a node that has followed any deltas serves exactly like one with the full copy', () => {
  fc.assert(fc.property(history, fc.array(fc.nat({ max: 7 })), (versions, skips) => {
    let node = versions[0]!
    for (let index = 1; index < versions.length; index++) {
      if (skips.includes(index) && index < versions.length - 1) continue
      const later = versions.slice(node.version, index + 1)
      const deltas = later.map(item => computeDelta(versions[item.version - 2]!, item))
      const merged = mergeDeltas(deltas)
      expect([merged.from, merged.version]).toEqual([node.version, index + 1])
      const stepwise = deltas.reduce((before, delta) => applyPatch(before, delta), node.configuration)
      node = { version: merged.version, configuration: applyPatch(node.configuration, merged) }
      expect(node.configuration).toEqual(stepwise)
      expect(describeTable(node)).toEqual(describeTable(versions[index]!))
    }
  }), { seed: 11, numRuns: 2000 })
})

// With one delta for each version, a node that lagged behind a storm got more bytes the more it lagged.
test('merged deltas name each item once, however often it has changed', () => {
  fc.assert(fc.property(history, versions => {
    const merged = mergeDeltas(versions.slice(1).map((item, i) => computeDelta(versions[i]!, item)))
    const names = merged.upsertRoutes.map(({ name }) => name)
    expect(new Set(names).size).toBe(names.length)
    expect(new Set(merged.removeRoutes).size).toBe(merged.removeRoutes.length)
  }), { seed: 12, numRuns: 200 })
})

test('merged deltas keep workspaces and the last limits', () => {
  const base = { upsertRoutes: [], upsertServices: [], removeRoutes: [], removeServices: [] }
  const workspace = { name: 'w', keys: ['k'], priority: 1 }
  const limits = { ...DEFAULT_CALLER_LIMITS, idleTimeoutMs: 2 }
  const untouched = mergeDeltas([{ ...base, from: 1, version: 2 }, { ...base, from: 2, version: 3 }])
  expect(untouched).toEqual({ ...base, from: 1, version: 3 })
  const merged = mergeDeltas([
    { ...base, from: 1, version: 2, upsertWorkspaces: [workspace], removeWorkspaces: ['v'] },
    { ...base, from: 2, version: 3, limits: DEFAULT_CALLER_LIMITS },
    { ...base, from: 3, version: 5, limits }
  ])
  expect(merged).toEqual({
    ...base, from: 1, version: 5, upsertWorkspaces: [workspace], removeWorkspaces: ['v'], limits
  })
})
