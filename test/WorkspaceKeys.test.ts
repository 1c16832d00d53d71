import type { IncomingHttpHeaders } from 'node:http'
import type { Response } from 'got'
import { afterEach, expect, test } from 'vitest'
import { HEADER_NAMES, makeRoute, type MeshNode, RouteMesh } from './support/RouteMesh.js'

const KEY = 'key-of-a-customer'
const OTHER_KEY = 'key-of-another-customer'
const ROUTES = [makeRoute('read', 'idempotent'), makeRoute('open', 'idempotent', { isPublic: true })]

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

/** Starts a mesh in which two workspaces have a key each. */
async function startWithKeys (count: number): Promise<RouteMesh> {
  mesh = await RouteMesh.start(count)
  const workspaces = [{ name: 'acme', keys: [KEY] }, { name: 'other', keys: [OTHER_KEY] }]
  await mesh.configureWith({ routes: ROUTES, workspaces })
  return mesh
}

async function callWith (started: RouteMesh, node: MeshNode, key: string, path = '/read/x'): Promise<Response<string>> {
  return await started.call(node, path, 5000, { [HEADER_NAMES.apiKey]: key, [HEADER_NAMES.workspace]: 'forged' })
}

/** Records the headers of the requests that all instances run. */
function recordHeaders (started: RouteMesh): IncomingHttpHeaders[] {
  const received: IncomingHttpHeaders[] = []
  for (const { instance } of started.nodes) {
    instance.behaviour = (request, response) => {
      received.push(request.headers)
      instance.answer(request, response)
    }
  }
  return received
}

// A forwarded key lets an instance act as its caller; a workspace named by the caller lets it act as another one.
test('an instance gets the name of the workspace, and neither the key nor a name that the caller sent', async () => {
  const started = await startWithKeys(2)
  const received = recordHeaders(started)
  for (const node of started.nodes) {
    for (let i = 0; i < 5; i++) expect((await callWith(started, node, KEY)).statusCode).toBe(200)
  }
  expect(received).toHaveLength(10)
  for (const headers of received) {
    expect(headers[HEADER_NAMES.workspace]).toBe('acme')
    expect(headers[HEADER_NAMES.apiKey]).toBeUndefined()
  }
})

test('a request without a key in force is refused, except on a public route', async () => {
  const started = await startWithKeys(1)
  const received = recordHeaders(started)
  const [node] = started.nodes as [MeshNode]
  expect((await callWith(started, node, 'unknown')).statusCode).toBe(401)
  expect((await started.call(node, '/read/x')).statusCode).toBe(401)
  expect((await callWith(started, node, 'unknown', '/open/x')).statusCode).toBe(200)
  const identities = received.map(headers => [headers[HEADER_NAMES.workspace], headers[HEADER_NAMES.apiKey]])
  expect(identities).toEqual([[undefined, undefined]])
})

// A caller that sends the id of another request with a dot could otherwise pass for an instance.
test('only calls of a request that the instance on this VM runs need no key', async () => {
  const started = await startWithKeys(2)
  const nestedStatuses: number[] = []
  const nestedWorkspaces: unknown[] = []
  for (const { callerUrl, instance } of started.nodes) {
    instance.behaviour = (request, response) => {
      const id = String(request.headers[HEADER_NAMES.requestId])
      if (id.includes('.')) nestedWorkspaces.push(request.headers[HEADER_NAMES.workspace])
      if (id.includes('.')) return instance.answer(request, response)
      const node = started.nodes.find(other => other.callerUrl === callerUrl)!
      started.call(node, '/read/x', 5000, { [HEADER_NAMES.requestId]: `${id}.1` })
        .then(({ statusCode }) => nestedStatuses.push(statusCode))
        .finally(() => instance.answer(request, response))
    }
  }
  expect((await callWith(started, started.nodes[0]!, KEY)).statusCode).toBe(200)
  expect(nestedStatuses).toEqual([200])
  expect(nestedWorkspaces).toHaveLength(1)
  const forged = await started.call(started.nodes[0]!, '/read/x', 5000, { [HEADER_NAMES.requestId]: 'r-1.1' })
  expect(forged.statusCode).toBe(401)
})

test('a withdrawn key is refused at every node, also after a restart and on open connections', async () => {
  const started = await startWithKeys(2)
  for (const node of started.nodes) expect((await callWith(started, node, KEY)).statusCode).toBe(200)
  await started.configureWith({ routes: ROUTES, workspaces: [{ name: 'acme', keys: [] }, { name: 'other', keys: [OTHER_KEY] }] })
  for (const node of started.nodes) expect((await callWith(started, node, KEY)).statusCode).toBe(401)
  await started.restart(started.nodes[0]!)
  expect((await callWith(started, started.nodes[0]!, KEY)).statusCode).toBe(401)
  expect((await callWith(started, started.nodes[0]!, OTHER_KEY)).statusCode).toBe(200)
})

// Keys must not be found in dumps that operators pass on.
test('the state of a node shows no key', async () => {
  const started = await startWithKeys(1)
  expect(JSON.stringify(started.nodes[0]!.daemon.state())).not.toContain(KEY)
})

// Headers of the same names may be the business of applications where the configuration has no workspaces.
test('without workspaces, the headers of callers pass as they are', async () => {
  mesh = await RouteMesh.start(1)
  const received = recordHeaders(mesh)
  expect((await callWith(mesh, mesh.nodes[0]!, KEY)).statusCode).toBe(200)
  expect(received[0]).toMatchObject({ [HEADER_NAMES.apiKey]: KEY, [HEADER_NAMES.workspace]: 'forged' })
})
