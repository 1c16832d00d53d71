import fc from 'fast-check'
import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { DEFAULT_CALLER_LIMITS } from './Constants.js'
import { CallerWaitEstimate } from './CallerWaitEstimate.js'
import { RouteTable } from './RouteTable.js'
import { WeightedRoundRobin } from './WeightedRoundRobin.js'
import type { Destination, Route } from './Types.js'

function makeRoute (name: string, host: string, pathPrefix: string, destination?: Destination): Route {
  return {
    name,
    host,
    pathPrefix,
    kind: 'idempotent',
    timeoutMs: 1000,
    latencyObjectiveMs: 300,
    priority: 1,
    maxAttempts: 2,
    destination: destination ?? { type: 'service', service: 's' }
  }
}

function makeTable (routes: Route[], before?: RouteTable): RouteTable {
  const configuration = { routes, services: [], limits: DEFAULT_CALLER_LIMITS }
  return new RouteTable({ version: 1, configuration }, new SeededRandom(1), before)
}

test('the route with the longest matching prefix of the host wins', () => {
  const table = makeTable([makeRoute('short', 'h', '/a/'), makeRoute('long', 'h', '/a/b/'), makeRoute('other', 'g', '/a/b/c/')])
  expect(table.find('h', '/a/b/c/d')?.route.name).toBe('long')
  expect(table.find('h', '/a/x')?.route.name).toBe('short')
  expect(table.find('h', '/ab')).toBeUndefined()
  expect(table.find('unknown', '/a/')).toBeUndefined()
})

test('the table finds the same route as a search through all of them', () => {
  const segments = fc.array(fc.constantFrom('a', 'b', 'ab', ''), { maxLength: 4 })
  const prefixes = fc.uniqueArray(segments.map(parts => parts.length === 0 ? '/' : `/${parts.join('/')}/`), { maxLength: 12 })
  const paths = fc.tuple(segments, fc.constantFrom('', '/')).map(([parts, end]) => `/${parts.join('/')}${end}`)
  fc.assert(fc.property(prefixes, paths, (pathPrefixes, path) => {
    const table = makeTable(pathPrefixes.map(prefix => makeRoute(prefix, 'h', prefix)))
    const matching = pathPrefixes.filter(prefix => path.startsWith(prefix)).sort((x, y) => y.length - x.length)
    expect(table.find('h', path)?.route.name).toBe(matching[0])
  }), { seed: 5, numRuns: 500 })
})

test('a weighted round robin keeps its weights over any short sequence of requests', () => {
  const roundRobin = new WeightedRoundRobin([{ service: 'x', weight: 90 }, { service: 'y', weight: 10 }], 0.37)
  for (let run = 0; run < 20; run++) {
    const chosen = Array.from({ length: 20 }, () => roundRobin.next())
    const share = chosen.filter(service => service === 'y').length / chosen.length
    expect(Math.abs(share - 0.1)).toBeLessThanOrEqual(0.05)
  }
})

test('a share with weight 0 gets no requests', () => {
  const roundRobin = new WeightedRoundRobin([{ service: 'x', weight: 1 }, { service: 'y', weight: 0 }], 0.5)
  expect(new Set(Array.from({ length: 50 }, () => roundRobin.next()))).toEqual(new Set(['x']))
})

// A round robin that restarted with each change of the configuration would favour the same services every time.
test('a weighted round robin continues when a configuration change leaves its split unchanged', () => {
  const split: Destination = { type: 'split', shares: [{ service: 'x', weight: 1 }, { service: 'y', weight: 1 }] }
  let table = makeTable([makeRoute('r', 'h', '/', split)])
  const chosen: string[] = []
  for (let i = 0; i < 10; i++) {
    chosen.push(table.find('h', '/')?.nextService() ?? '')
    table = makeTable([makeRoute('r', 'h', '/', split), makeRoute(`more-${i}`, 'g', '/')], table)
  }
  expect(chosen.filter(service => service === 'x')).toHaveLength(5)
})

test('a caller whose deadline is much shorter than the longest has been waiting', () => {
  const estimate = new CallerWaitEstimate()
  expect(estimate.recordDeadline('r', 2000, 0)).toBe(0)
  expect(estimate.recordDeadline('r', 1700, 1)).toBe(0)
  expect(estimate.recordDeadline('r', 1200, 2)).toBeGreaterThan(500)
  expect(estimate.recordDeadline('other', 1200, 3)).toBe(0)
})

test('a longest deadline that does not recur expires', () => {
  const estimate = new CallerWaitEstimate()
  estimate.recordDeadline('r', 9000, 0)
  estimate.recordDeadline('r', 2000, 10_000)
  expect(estimate.recordDeadline('r', 2000, 20_001)).toBe(0)
})
