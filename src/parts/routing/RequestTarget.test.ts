import fc from 'fast-check'
import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { DEFAULT_CALLER_LIMITS } from './Constants.js'
import { parseRequestTarget } from './RequestTarget.js'
import { RouteTable } from './RouteTable.js'
import type { Route } from './Types.js'

const HOSTS = ['h.example', 'g.h.example', 'example']
const SEGMENTS = ['a', 'ab', 'A', '%61', '..', '.', '']

const segments = fc.array(fc.constantFrom(...SEGMENTS), { maxLength: 4 })
const prefix = segments.map(parts => parts.length === 0 ? '/' : `/${parts.join('/')}/`)

const routes = fc.uniqueArray(fc.record({ host: fc.constantFrom(...HOSTS), pathPrefix: prefix }), {
  selector: ({ host, pathPrefix }) => `${host}${pathPrefix}`, maxLength: 12
}).map(places => places.map(({ host, pathPrefix }, index): Route => ({
  name: `r${index}`,
  host,
  pathPrefix,
  kind: 'idempotent',
  timeoutMs: 1000,
  latencyObjectiveMs: 300,
  priority: 1,
  maxAttempts: 2,
  destination: { type: 'service', service: 's' }
})))

/** Ways to write one host. */
const spelling = fc.constantFrom<(host: string) => string>(
  host => host, host => host.toUpperCase(), host => `${host}:8080`, host => `${host}.`, host => `${host}.:80`, host => `${host}:`
)

const path = fc.tuple(segments, fc.constantFrom('', '/')).map(([parts, end]) => `/${parts.join('/')}${end}`)
const query = fc.constantFrom('', '?', '?x=/a/', '?http://g.h.example/a/')

/** Longest of the prefixes of the host that begin the path, as the text of the rule says. */
function judge (all: readonly Route[], host: string, text: string): Route | undefined {
  return all.filter(route => route.host === host && text.startsWith(route.pathPrefix))
    .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0]
}

test('a request finds the route of its host with the longest prefix, however its host and target are written', () => {
  const request = fc.record({
    host: fc.constantFrom(...HOSTS), spell: spelling, path, query, isAbsolute: fc.boolean()
  })
  fc.assert(fc.property(routes, request, (all, { host, spell, path: text, query: suffix, isAbsolute }) => {
    const routing = { version: 1, configuration: { routes: all, services: [], limits: DEFAULT_CALLER_LIMITS } }
    const table = new RouteTable(routing, new SeededRandom(1))
    const target = isAbsolute
      ? parseRequestTarget(`http://${spell(host)}${text}${suffix}`, 'other.example')
      : parseRequestTarget(`${text}${suffix}`, spell(host))
    expect(target.originForm).toBe(`${text}${suffix}`)
    expect(table.find(target.host, target.path)?.route).toEqual(judge(all, host, text))
  }), { seed: 21, numRuns: 3000 })
})

test('a target without a path is the root, and one that is no address stays as it is', () => {
  const parse = (target: string): unknown[] => {
    const { host, path: text, originForm } = parseRequestTarget(target, 'h')
    return [host, text, originForm]
  }
  expect(parse('http://g.example')).toEqual(['g.example', '/', '/'])
  expect(parse('HTTP://g.example:80?x')).toEqual(['g.example:80', '/', '/?x'])
  expect(parse('https://user@g.example/a#b')).toEqual(['g.example', '/a', '/a'])
  expect(parse('*')).toEqual(['h', '*', '*'])
  expect(parse('ftp://g.example/')).toEqual(['h', 'ftp://g.example/', 'ftp://g.example/'])
  expect(parseRequestTarget('/a', undefined).host).toBe('')
})

test('a route whose host has a port takes the requests to that port', () => {
  const make = (name: string, host: string): Route => ({
    name,
    host,
    pathPrefix: '/',
    kind: 'idempotent',
    timeoutMs: 1000,
    latencyObjectiveMs: 300,
    priority: 1,
    maxAttempts: 2,
    destination: { type: 'service', service: 's' }
  })
  const configuration = { routes: [make('any', 'h'), make('port', 'H:81')], services: [], limits: DEFAULT_CALLER_LIMITS }
  const table = new RouteTable({ version: 1, configuration }, new SeededRandom(1))
  expect(['h', 'h:80', 'h:81', 'H.:81'].map(host => table.find(host, '/')?.route.name)).toEqual(['any', 'any', 'port', 'port'])
})
