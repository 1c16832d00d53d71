import fc from 'fast-check'
import { expect, test } from 'vitest'
import { encodeMessage } from '../../runtime/FrameChannel.js'
import { MAX_FRAME_BYTES } from '../../runtime/Constants.js'
import { DEFAULT_CALLER_LIMITS, MAX_CONFIGURATION_BYTES, MAX_DELTAS, MIN_DELTA_ITEMS } from './Constants.js'
import { applyPatch } from './RoutingDelta.js'
import { RoutingStore } from './RoutingStore.js'
import type { Route, RoutingChange, RoutingConfiguration, Workspace } from './Types.js'

const SERVICE = { name: 's', healthPath: '/h', maxConnections: 10, protocol: 'h1', tls: false }

function makeRoute (name: string, changes: Partial<Route> = {}): Route {
  return {
    name,
    host: 'h',
    pathPrefix: `/${name}/`,
    kind: 'idempotent',
    timeoutMs: 1000,
    latencyObjectiveMs: 300,
    priority: 1,
    maxAttempts: 2,
    destination: { type: 'service', service: 's' },
    ...changes
  }
}

function makeConfiguration (...routes: Route[]): RoutingConfiguration {
  return { routes, services: [SERVICE], limits: DEFAULT_CALLER_LIMITS }
}

function replace (version: number, base: number, ...routes: Route[]): RoutingChange {
  return { type: 'replace', version, base, configuration: makeConfiguration(...routes) }
}

function patch (version: number, base: number, upsertRoutes: Route[], removeRoutes: string[] = []): RoutingChange {
  return { type: 'patch', version, base, upsertRoutes, removeRoutes, upsertServices: [], removeServices: [] }
}

const apply = (store: RoutingStore, change: RoutingChange): ReturnType<RoutingStore['apply']> => {
  return store.apply(change, JSON.stringify(change))
}

test('of two changes with the same base only the first is accepted', () => {
  const store = new RoutingStore()
  expect(apply(store, replace(3, 0, makeRoute('a')))).toEqual({ type: 'accepted', version: 3 })
  expect(apply(store, replace(3, 0, makeRoute('b')))).toEqual({ type: 'conflict', inForce: 3 })
})

// An operator whose acknowledgement was lost resends the change and must not get a conflict with it.
test('a resent change is acknowledged again, even after later changes and a snapshot', () => {
  const store = new RoutingStore()
  const first = replace(2, 0, makeRoute('a'))
  apply(store, first)
  apply(store, patch(5, 2, [makeRoute('b')]))
  const restored = new RoutingStore()
  restored.restore(store.snapshot())
  expect(apply(restored, first)).toEqual({ type: 'accepted', version: 2 })
  expect(restored.inForce.version).toBe(5)
})

test('a change with a version below the one in force is invalid and changes nothing', () => {
  const store = new RoutingStore()
  apply(store, replace(2, 0, makeRoute('a')))
  const stale = replace(1, 2, makeRoute('b'))
  expect(apply(store, stale)).toMatchObject({ type: 'invalid', findings: [{ place: 'version' }] })
  expect(store.inForce.version).toBe(2)
})

test('an invalid configuration is rejected with all findings', () => {
  const invalid = makeRoute('a', {
    host: '', timeoutMs: 700_000, destination: { type: 'service', service: 'nobody' }
  })
  const reply = apply(new RoutingStore(), replace(1, 0, invalid))
  expect(reply).toMatchObject({ type: 'invalid' })
  const places = reply.type === 'invalid' ? reply.findings.map(finding => finding.place) : []
  expect(places).toEqual(['routes[0].host', 'routes[0].timeout', 'routes[0].destination'])
})

test('a latency objective a minute above the timeout is rejected', () => {
  const reply = apply(new RoutingStore(), replace(1, 0, makeRoute('a', { latencyObjectiveMs: 61_000 })))
  expect(reply).toMatchObject({ type: 'invalid', findings: [{ place: 'routes[0].latencyObjective' }] })
})

test('a patch that removes a service in use is rejected', () => {
  const store = new RoutingStore()
  apply(store, replace(1, 0, makeRoute('a')))
  const change: RoutingChange = { ...patch(2, 1, []), type: 'patch', removeServices: ['s'] } as RoutingChange
  expect(apply(store, change)).toMatchObject({ type: 'invalid' })
})

test('a patch keeps items that it does not name', () => {
  const store = new RoutingStore()
  apply(store, replace(1, 0, makeRoute('a'), makeRoute('b')))
  apply(store, patch(2, 1, [makeRoute('b', { priority: 9 }), makeRoute('c')], ['a']))
  const { routes } = store.inForce.configuration
  expect(routes.map(({ name, priority }) => [name, priority])).toEqual([['b', 9], ['c', 1]])
})

test('deltas lead from any retained version to the one in force', () => {
  const names = fc.constantFrom('a', 'b', 'c', 'd')
  const step = fc.record({
    upsert: fc.array(names, { maxLength: 3 }), remove: fc.array(names, { maxLength: 2 }), priority: fc.nat(5)
  })
  fc.assert(fc.property(fc.array(step, { minLength: 1, maxLength: 20 }), steps => {
    const store = new RoutingStore()
    const seen = [store.inForce]
    steps.forEach(({ upsert, remove, priority }, index) => {
      const routes = [...new Set(upsert)].map(name => makeRoute(name, { priority }))
      const services = index === 0 ? [SERVICE] : []
      const change: RoutingChange = {
        ...patch(index + 1, index, routes, remove), type: 'patch', upsertServices: services
      } as RoutingChange
      expect(apply(store, change).type).toBe('accepted')
      seen.push(store.inForce)
    })
    for (const from of seen) {
      const deltas = store.deltasSince(from.version) ?? []
      const result = deltas.reduce((previous, delta) => applyPatch(previous, delta), from.configuration)
      expect(indexByName(result)).toEqual(indexByName(store.inForce.configuration))
    }
  }), { seed: 11, numRuns: 100 })
})

test('a version that is no longer retained needs a full copy', () => {
  const store = new RoutingStore()
  apply(store, replace(1, 0, makeRoute('a')))
  for (let version = 2; version <= MAX_DELTAS + 3; version++) {
    apply(store, patch(version, version - 1, [makeRoute('a', { priority: version })]))
  }
  expect(store.deltasSince(1)).toBeUndefined()
  expect(store.deltasSince(store.inForce.version)).toEqual([])
})

test('deltas of changes to all routes together hold no more than one full copy', () => {
  const store = new RoutingStore()
  const names = Array.from({ length: 2 * MIN_DELTA_ITEMS }, (_, index) => `r${index}`)
  for (let version = 1; version <= 10; version++) {
    apply(store, replace(version, version - 1, ...names.map(name => makeRoute(name, { priority: version }))))
  }
  expect(store.deltasSince(8)).toBeUndefined()
  expect(store.deltasSince(9)).toHaveLength(1)
})

test('a clash of hosts that is in force keeps no other change out', () => {
  const store = new RoutingStore()
  apply(store, replace(1, 0, makeRoute('a', { host: 'h' }), makeRoute('b', { host: 'H', pathPrefix: '/a/' })))
  expect(store.check(patch(2, 1, [makeRoute('c')]))).toEqual([])
  const sound = new RoutingStore()
  apply(sound, replace(1, 0, makeRoute('a', { host: 'h' })))
  expect(sound.check(patch(2, 1, [makeRoute('b', { host: 'H', pathPrefix: '/a/' })]))).toHaveLength(1)
})

test('a change that is invalid on any base is refused although its base is not in force', () => {
  const store = new RoutingStore()
  expect(store.checkOnAnyBase(replace(9, 8, makeRoute('a', { host: '' })))).toHaveLength(1)
  expect(store.checkOnAnyBase(patch(8, 8, []))).toHaveLength(1)
  expect(store.checkOnAnyBase(replace(9, 8, makeRoute('a')))).toEqual([])
})

function indexByName ({ routes, services, limits }: RoutingConfiguration): object {
  return { routes: Object.fromEntries(routes.map(route => [route.name, route])), services, limits }
}

function makeWorkspaces (...names: string[]): Workspace[] {
  return names.map(name => ({ name, keys: [`key of ${name}`] }))
}

function replaceWorkspaces (version: number, base: number, workspaces: Workspace[] | undefined): RoutingChange {
  const configuration = makeConfiguration(makeRoute('a'))
  return { type: 'replace', version, base, configuration: workspaces === undefined ? configuration : { ...configuration, workspaces } }
}

function patchWorkspaces (version: number, base: number, upserts: Workspace[], removals: string[]): RoutingChange {
  return { ...patch(version, base, []), upsertWorkspaces: upserts, removeWorkspaces: removals } as RoutingChange
}

test('two workspaces with one key are invalid, and the finding does not tell the key', () => {
  const [first, second] = makeWorkspaces('first', 'second') as [Workspace, Workspace]
  const reply = apply(new RoutingStore(), replaceWorkspaces(1, 0, [first, { ...second, keys: ['other', ...first.keys] }]))
  expect(reply.type).toBe('invalid')
  const text = JSON.stringify(reply)
  expect(text).toContain('first')
  expect(text).toContain('second')
  expect(text).not.toContain('key of')
})

test('a workspace may repeat a key of its own', () => {
  const reply = apply(new RoutingStore(), replaceWorkspaces(1, 0, [{ name: 'w', keys: ['k', 'k'] }]))
  expect(reply.type).toBe('accepted')
})

// A withdrawn key would stay in use at nodes if deltas left it out.
test('deltas bring workspaces to a node as they are at the store', () => {
  const store = new RoutingStore()
  apply(store, replaceWorkspaces(1, 0, makeWorkspaces('a', 'b')))
  const before = store.inForce.configuration
  apply(store, patchWorkspaces(2, 1, [{ name: 'a', keys: ['new'] }, ...makeWorkspaces('c')], ['b']))
  apply(store, patch(3, 2, [makeRoute('z')]))
  const after = (store.deltasSince(1) ?? []).reduce(applyPatch, before)
  expect(after).toEqual(store.inForce.configuration)
  expect(after.workspaces?.map(({ name }) => name)).toEqual(['a', 'c'])
})

test('removing the last workspace leaves an empty list, so that callers still need keys', () => {
  const store = new RoutingStore()
  apply(store, replaceWorkspaces(1, 0, makeWorkspaces('a')))
  apply(store, patchWorkspaces(2, 1, [], ['a']))
  expect(store.inForce.configuration.workspaces).toEqual([])
})

test('a configuration that drops workspaces is sent to nodes as a full copy', () => {
  const store = new RoutingStore()
  apply(store, replaceWorkspaces(1, 0, makeWorkspaces('a')))
  apply(store, replaceWorkspaces(2, 1, undefined))
  expect(store.deltasSince(1)).toBeUndefined()
  apply(store, patch(3, 2, [makeRoute('z')]))
  expect(store.deltasSince(1)).toBeUndefined()
  expect(store.deltasSince(2)).toHaveLength(1)
})

test('without workspaces, deltas and configurations have no field for them', () => {
  const store = new RoutingStore()
  apply(store, replace(1, 0, makeRoute('a')))
  apply(store, patch(2, 1, [makeRoute('b')]))
  expect(JSON.stringify([store.deltasSince(1), store.inForce])).not.toContain('orkspaces')
})

// Copies of a call may be decided at different times: an operator who was refused must not find the change in force.
test('a change that was refused is never accepted later, and one that was accepted is never refused', () => {
  const changes = fc.record({
    version: fc.nat(9), base: fc.nat(9), route: fc.constantFrom('a', 'b'), isValid: fc.boolean(), isPatch: fc.boolean()
  }).map(({ version, base, route, isValid, isPatch }) => {
    const routes = [makeRoute(route, { host: isValid ? 'h' : '' })]
    return isPatch ? patch(version, base, routes) : replace(version, base, ...routes)
  })
  const scripts = fc.array(changes, { minLength: 4, maxLength: 12 }).chain(list => fc.record({
    list: fc.constant(list), order: fc.array(fc.nat(list.length - 1), { minLength: 20, maxLength: 40 })
  }))
  let accepted = 0
  fc.assert(fc.property(scripts, ({ list, order }) => {
    const store = new RoutingStore()
    const verdicts = new Map<string, boolean>()
    for (const index of order) {
      const change = list[index]!
      if (!store.canDecide(change)) continue
      const isAccepted = apply(store, change).type === 'accepted'
      const key = JSON.stringify(change)
      expect(verdicts.get(key) ?? isAccepted).toBe(isAccepted)
      verdicts.set(key, isAccepted)
      if (isAccepted) accepted++
    }
  }), { seed: 43, numRuns: 2000 })
  expect(accepted).toBeGreaterThan(1000)
})

/** A patch that adds routes of so many megabytes. */
function makeLargePatch (version: number, base: number, megabytes: number): RoutingChange {
  return patch(version, base, Array.from({ length: 8 * megabytes }, (_, index) => {
    return makeRoute(`${version}-${index}`, { pathPrefix: `/${'x'.repeat(2 ** 17)}-${version}-${index}/` })
  }))
}

// Nodes that started later never got a configuration that patches had made larger than a frame.
test('patches do not add up to a configuration that no frame holds', () => {
  const store = new RoutingStore()
  apply(store, replace(1, 0, makeRoute('a')))
  for (const version of [2, 3]) {
    expect(store.check(makeLargePatch(version, version - 1, 5))).toEqual([])
    apply(store, makeLargePatch(version, version - 1, 5))
  }
  const findings = store.check(makeLargePatch(4, 3, 5))
  expect(findings).toMatchObject([{ place: 'configuration', expected: `at most ${MAX_CONFIGURATION_BYTES} bytes` }])
  expect(encodeMessage({ routing: store.inForce }).length).toBeLessThan(MAX_FRAME_BYTES)
  expect(store.check(patch(4, 3, [makeRoute('b')]))).toEqual([])
  expect(store.check(makeLargePatch(9, 2, 5))).toEqual([])
})

test('a configuration that an earlier release let grow too large can be changed, but not grow', () => {
  const store = new RoutingStore()
  apply(store, replace(1, 0, makeRoute('a')))
  apply(store, makeLargePatch(2, 1, 13))
  expect(store.check(patch(3, 2, [makeRoute('a', { priority: 2 })]))).toEqual([])
  expect(store.check(patch(3, 2, [makeRoute('b')]))).toHaveLength(1)
  expect(store.check(replace(3, 2, makeRoute('a')))).toEqual([])
})
