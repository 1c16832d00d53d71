import type { Response } from 'got'
import { afterEach, expect, test } from 'vitest'
import { HEADER_NAMES, makeRoute, type MeshNode, pause, RouteMesh } from './support/RouteMesh.js'

/** Requests a second that a cold instance tolerates. */
const COLD_PER_S = 6

/** Window over which an instance counts its requests, in milliseconds, and the requests that it may get in one. */
const WINDOW_MS = 1000
const ALLOWED = 1.5 * COLD_PER_S + 8

/** Requests that each caller sends at once: far more than a cold instance tolerates. */
const BATCH_SIZE = 12

const SERVICE = {
  name: 'svc', healthPath: '/healthz', maxConnections: 100, protocol: 'h1', tls: false, coldStartMs: 1500, coldPerS: COLD_PER_S
}

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

/** Starts a mesh of a service with a limit for cold instances, each of them cold for some time. */
async function startCold (count: number, coldForMs: number): Promise<RouteMesh> {
  mesh = await RouteMesh.start(count)
  for (const { instance } of mesh.nodes) instance.coldUntilMs = performance.now() + coldForMs
  await mesh.configureWith({ routes: [makeRoute('read', 'idempotent'), makeRoute('once', 'once')], services: [SERVICE] })
  return mesh
}

async function callBatch (started: RouteMesh, node: MeshNode): Promise<Response<string>[]> {
  return await Promise.all(Array.from({ length: BATCH_SIZE }, (_, i) => {
    return started.call(node, i % 2 === 0 ? '/read/x' : '/once/x')
  }))
}

/** Sends batches to all nodes at once until a time is over, and returns the answers. */
async function callFor (started: RouteMesh, nodes: readonly MeshNode[], ms: number): Promise<Response<string>[]> {
  const endMs = performance.now() + ms
  return await callUntil(started, nodes, () => performance.now() >= endMs)
}

async function callUntil (
  started: RouteMesh, nodes: readonly MeshNode[], isOver: () => boolean
): Promise<Response<string>[]> {
  const answers: Response<string>[] = []
  await Promise.all(nodes.map(async node => {
    while (!isOver()) answers.push(...await callBatch(started, node))
  }))
  return answers
}

/** Returns the most requests that reached an instance in one window while it was cold. */
function mostInWindow ({ instance: { arrivals } }: MeshNode): number {
  const timesMs = arrivals.filter(({ isCold }) => isCold).map(({ atMs }) => atMs)
  return Math.max(0, ...timesMs.map(fromMs => timesMs.filter(ms => ms >= fromMs && ms < fromMs + WINDOW_MS).length))
}

test('a cold instance gets no more than its limit from all nodes together, over a restart of its node', async () => {
  const started = await startCold(3, 60_000)
  const [beside, ...others] = started.nodes as [MeshNode, ...MeshNode[]]
  const load = callFor(started, others, 4000)
  await callFor(started, [beside], 1500)
  await started.restart(beside)
  await load
  for (const node of started.nodes) {
    expect(mostInWindow(node)).toBeLessThanOrEqual(ALLOWED)
    expect(node.instance.ran.length).toBeGreaterThan(COLD_PER_S)
  }
}, 60_000)

test('an instance that becomes cold while it is busy gets no more than its limit from that moment', async () => {
  const started = await startCold(2, 0)
  let endMs = Infinity
  const load = callUntil(started, started.nodes, () => performance.now() >= endMs)
  while (started.startedCount < 200) await pause()
  for (const { instance } of started.nodes) instance.coldUntilMs = performance.now() + 60_000
  endMs = performance.now() + 2 * WINDOW_MS
  await load
  for (const node of started.nodes) {
    expect(node.instance.arrivals.filter(({ isCold }) => isCold).length).toBeGreaterThan(0)
    expect(mostInWindow(node)).toBeLessThanOrEqual(ALLOWED)
  }
}, 60_000)

test('while all instances are cold, callers are refused at once with the time to come back, and then served', async () => {
  const started = await startCold(2, 60_000)
  const [node] = started.nodes as [MeshNode]
  let answer = await started.call(node, '/once/x')
  while (answer.statusCode === 200) answer = await started.call(node, '/once/x')
  expect([answer.statusCode, JSON.parse(answer.body)]).toEqual([503, { reason: 'rate-limited', notRun: true }])
  expect(answer.headers[HEADER_NAMES.instanceId]).toBe(undefined)
  await new Promise(resolve => setTimeout(resolve, 1000 * Number(answer.headers['retry-after'])))
  expect((await started.call(node, '/once/x')).statusCode).toBe(200)
}, 60_000)

test('instances that are warm take everything, without refusals for their limit', async () => {
  const started = await startCold(3, 0)
  const answers = await callFor(started, started.nodes, 2000)
  const refused = answers.filter(({ statusCode, body }) => statusCode === 503 && body.includes('rate-limited'))
  expect(refused.length).toBe(0)
  expect(answers.length).toBeGreaterThan(3 * 2 * ALLOWED)
}, 60_000)

test('an instance that starts anew is cold without a report that says so', async () => {
  const started = await startCold(2, 0)
  const [node, other] = started.nodes as [MeshNode, MeshNode]
  await callFor(started, [node], 300)
  other.instance.coldUntilMs = performance.now() + 60_000
  await started.crash(other)
  await callFor(started, started.nodes, 2500)
  expect(mostInWindow(other)).toBeLessThanOrEqual(ALLOWED)
}, 60_000)
