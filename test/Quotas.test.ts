import type { Response } from 'got'
import { afterEach, expect, test } from 'vitest'
import { HEADER_NAMES, makeRoute, type MeshNode, pause, RouteMesh } from './support/RouteMesh.js'

const KEY = 'key-of-a-customer'
const OTHER_KEY = 'key-of-another-customer'
const FREE_KEY = 'key-without-a-quota'
const PROBE_KEY = 'key-of-a-probe'
const ROUTES = [makeRoute('read', 'idempotent'), makeRoute('once', 'once')]
const WORKSPACES = [
  { name: 'acme', keys: [KEY], ratePerS: 4, burst: 10 },
  { name: 'other', keys: [OTHER_KEY], ratePerS: 40, burst: 40 },
  { name: 'free', keys: [FREE_KEY] },
  { name: 'probe', keys: [PROBE_KEY], ratePerS: 1000, burst: 0 }
]

/** Most requests of `acme` that may run in any 5 s. */
const BOUND = (4 * 5 + 10) * 1.1 + 20

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

/** Starts a mesh whose instances record the times at which requests of each workspace run. */
async function startWithQuotas (count: number): Promise<{ started: RouteMesh, runs: Map<string, number[]> }> {
  mesh = await RouteMesh.start(count)
  const started = mesh
  const runs = new Map<string, number[]>()
  for (const { instance } of started.nodes) {
    instance.behaviour = (request, response) => {
      const workspace = String(request.headers[HEADER_NAMES.workspace])
      runs.set(workspace, [...runs.get(workspace) ?? [], performance.now()])
      instance.answer(request, response)
    }
  }
  await started.configureWith({ routes: ROUTES, workspaces: WORKSPACES })
  return { started, runs }
}

/** The route runs each request at most once, so that a run is a request. */
async function callWith (started: RouteMesh, node: MeshNode, key: string): Promise<Response<string>> {
  return await started.call(node, '/once/x', 5000, { [HEADER_NAMES.apiKey]: key })
}

/** Sends requests to all nodes at once and returns their answers. */
async function callAll (started: RouteMesh, key: string, each: number): Promise<Array<Response<string>>> {
  const nodes = started.nodes.flatMap(node => Array<MeshNode>(each).fill(node))
  return await Promise.all(nodes.map(node => callWith(started, node, key)))
}

function countStatus (responses: ReadonlyArray<Response<string>>, status: number): number {
  return responses.filter(({ statusCode }) => statusCode === status).length
}

/**
 * Waits until the leader knows what all nodes have used: 5 s after the start of a node, since an earlier run of it may
 * have used a quota before.
 */
async function awaitLeader (started: RouteMesh): Promise<void> {
  while (countStatus(await callAll(started, PROBE_KEY, 30), 200) < 30 * started.nodes.length) await pause()
}

function peak (times: readonly number[]): number {
  return Math.max(0, ...times.map(first => times.filter(atMs => atMs >= first && atMs < first + 5000).length))
}

// Each node alone sees only a share of the requests.
test('a workspace over its quota at all nodes at once is refused with 429, and others are not', async () => {
  const { started, runs } = await startWithQuotas(4)
  await awaitLeader(started)
  const [flood, other, free] = await Promise.all([
    callAll(started, KEY, 50), callAll(started, OTHER_KEY, 8), callAll(started, FREE_KEY, 20)
  ])
  const refused = flood.filter(({ statusCode }) => statusCode === 429)
  const others = flood.filter(({ statusCode }) => statusCode !== 200 && statusCode !== 429)
  expect(others.map(({ statusCode, body }) => `${statusCode} ${body}`)).toEqual([])
  for (const { headers, body } of refused) {
    expect(Number(headers['retry-after'])).toBeGreaterThan(0)
    expect(JSON.parse(body)).toEqual({ reason: 'quota', notRun: true })
  }
  expect(countStatus(other, 200)).toBe(other.length)
  expect(countStatus(free, 200)).toBe(free.length)
  expect(countStatus(flood, 200)).toBeGreaterThanOrEqual(30)
  expect(peak(runs.get('acme')!)).toBeLessThanOrEqual(BOUND)
})

// A restarted node has used nothing as far as it knows, and a restarted leader has granted nothing.
test('the quota holds over restarts of a node and of control', async () => {
  const { started, runs } = await startWithQuotas(3)
  await awaitLeader(started)
  await callAll(started, KEY, 30)
  await started.restart(started.nodes[0]!)
  await callAll(started, KEY, 30)
  await started.restartControl()
  for (let i = 0; i < 4; i++) await callAll(started, KEY, 10)
  await awaitLeader(started)
  const { length } = runs.get('acme')!
  await callAll(started, KEY, 30)
  expect(peak(runs.get('acme')!)).toBeLessThanOrEqual(BOUND)
  expect(runs.get('acme')!.length).toBeGreaterThan(length)
})

test('calls of instances take no credit', async () => {
  const { started } = await startWithQuotas(2)
  await awaitLeader(started)
  const nestedStatuses: number[] = []
  for (const node of started.nodes) {
    const { instance } = node
    instance.behaviour = (request, response) => {
      const id = String(request.headers[HEADER_NAMES.requestId])
      if (id.includes('.')) return instance.answer(request, response)
      const calls = Array.from({ length: 20 }, async (_, index) => {
        const { statusCode } = await started.call(node, '/read/x', 5000, { [HEADER_NAMES.requestId]: `${id}.${index}` })
        nestedStatuses.push(statusCode)
      })
      Promise.allSettled(calls).finally(() => instance.answer(request, response))
    }
  }
  const headers = { [HEADER_NAMES.apiKey]: KEY }
  for (let i = 0; i < 4; i++) {
    expect((await started.call(started.nodes[i % 2]!, '/once/x', 5000, headers)).statusCode).toBe(200)
  }
  expect(nestedStatuses).toHaveLength(80)
  expect(nestedStatuses).not.toContain(429)
})

// A workspace whose instances are gone would otherwise use up its quota by requests that never ran.
test('requests that are refused for another reason give their credits back', async () => {
  const { started } = await startWithQuotas(2)
  await awaitLeader(started)
  const services = [
    { name: 'svc', healthPath: '/healthz', maxConnections: 100, protocol: 'h1', tls: false },
    { name: 'empty', healthPath: '/healthz', maxConnections: 100, protocol: 'h1', tls: false }
  ]
  const toEmpty = makeRoute('once', 'once', { destination: { type: 'service', service: 'empty' } })
  await started.configureWith({ routes: [toEmpty], services, workspaces: WORKSPACES })
  for (let i = 0; i < 40; i++) {
    const { statusCode } = await callWith(started, started.nodes[i % 2]!, KEY)
    expect(statusCode).toBe(503)
  }
  await started.configureWith({ routes: ROUTES, services, workspaces: WORKSPACES })
  const statuses = await callAll(started, KEY, 10)
  expect(countStatus(statuses, 200)).toBe(20)
})

test('a lowered and a removed quota take effect at once', async () => {
  const { started } = await startWithQuotas(2)
  await awaitLeader(started)
  expect(countStatus(await callAll(started, OTHER_KEY, 20), 200)).toBe(40)
  const lowered = WORKSPACES.map(workspace => workspace.name === 'other' ? { ...workspace, ratePerS: 1, burst: 0 } : workspace)
  await started.configureWith({ routes: ROUTES, workspaces: lowered })
  expect(countStatus(await callAll(started, OTHER_KEY, 10), 429)).toBe(20)
  const unlimited = WORKSPACES.map(({ name, keys }) => ({ name, keys }))
  await started.configureWith({ routes: ROUTES, workspaces: unlimited })
  expect(countStatus(await callAll(started, OTHER_KEY, 20), 200)).toBe(40)
})
