import { afterEach, expect, test } from 'vitest'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Response } from 'got'
import { type MeshNode, type MockInstance, pause, RouteMesh } from './support/RouteMesh.js'

const NODES = 5

/** Times that a caller asks for the path that crashes instances. */
const POISON_REQUESTS = 25

/** Three crashes identify a poison request; three more arrivals are allowed before all nodes know it. */
const MAX_CRASHES = 6

/** Requests that are served between two crashes for which no request is to blame. */
const SERVED_BETWEEN_CRASHES = 40

/** Shortest Retry-After of a quarantined request that does not invite its caller to come again soon, in seconds. */
const MIN_RETRY_AFTER_S = 60

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

/** Starts nodes whose instances crash when they run a request for a path that ends in `poison`. */
async function startMesh (): Promise<RouteMesh> {
  const started = await RouteMesh.start(NODES)
  mesh = started
  for (const node of started.nodes) {
    node.instance.behaviour = (request, response, instance) => runOrCrash(started, node, request, response, instance)
  }
  return started
}

function runOrCrash (
  started: RouteMesh, node: MeshNode, request: IncomingMessage, response: ServerResponse, instance: MockInstance
): void {
  const { id } = instance
  setImmediate(() => {
    if (instance.id !== id) return
    if (request.url?.endsWith('poison') === true) started.crash(node).catch(() => {})
    else instance.answer(request, response)
  })
}

function countCrashes ({ nodes }: RouteMesh): number {
  return nodes.reduce((sum, { instance }) => sum + instance.crashes, 0)
}

/** Waits until each node can send requests to all instances. */
async function awaitAllInstances (started: RouteMesh): Promise<void> {
  for (const node of started.nodes) await started.awaitInstances(node, NODES)
}

/** Asks for a poison path at the nodes in turn, and returns the last answer. */
async function askInTurn (started: RouteMesh, path: string): Promise<Response<string>> {
  let answer: Response<string> | undefined
  for (let i = 0; i < POISON_REQUESTS; i++) {
    answer = await started.call(started.nodes[i % NODES]!, path)
    await awaitAllInstances(started)
  }
  return answer as Response<string>
}

for (const path of ['/read/poison', '/once/poison']) {
  test(`a request that crashes instances is quarantined at all nodes, ${path}`, async () => {
    const started = await startMesh()
    const answer = await askInTurn(started, path)
    expect(countCrashes(started)).toBeLessThanOrEqual(MAX_CRASHES)
    expect([answer.statusCode, JSON.parse(answer.body)]).toEqual([503, { reason: 'quarantined', notRun: true }])
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(MIN_RETRY_AFTER_S)
    for (const node of started.nodes) expect((await started.call(node, '/read/good')).statusCode).toBe(200)
  })
}

test('nodes that restart know the quarantined requests before they serve', async () => {
  const started = await startMesh()
  await askInTurn(started, '/read/poison')
  const crashes = countCrashes(started)
  for (const node of started.nodes) {
    await started.restart(node)
    expect((await started.call(node, '/read/poison')).statusCode).toBe(503)
  }
  expect(countCrashes(started)).toBe(crashes)
})

test('requests that run while instances crash by themselves are not quarantined', async () => {
  const started = await startMesh()
  const stop = { done: false }
  const answers: Array<Response<string>> = []
  const callers = ['/read/a', '/read/b'].flatMap(path => started.nodes.map(async node => {
    while (!stop.done) answers.push(await started.call(node, path))
  }))
  const countServed = (): number => answers.filter(({ statusCode }) => statusCode === 200).length
  for (let i = 0; i < 15; i++) {
    await started.crash(started.nodes[i % NODES]!)
    const before = countServed()
    while (countServed() < before + SERVED_BETWEEN_CRASHES) await pause()
  }
  stop.done = true
  await Promise.all(callers)
  expect(answers.filter(({ body }) => body.includes('quarantined'))).toHaveLength(0)
  for (const node of started.nodes) expect((await started.call(node, '/read/a')).body).toMatch(/^i-\d/)
})
