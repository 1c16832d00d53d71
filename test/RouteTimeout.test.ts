import { Agent, request } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { parseAddress } from '../src/runtime/Address.js'
import { HEADER_NAMES, makeRoute, type MeshNode, RouteMesh } from './support/RouteMesh.js'

/** Time after its route's timeout within which a request has its final answer, in milliseconds. */
const ANSWER_SLACK_MS = 500
const TIMEOUT_MS = 300

let mesh: RouteMesh | undefined
const agent = new Agent({ keepAlive: true, maxSockets: 1 })

afterEach(() => {
  agent.destroy()
  mesh?.dispose()
  mesh = undefined
})

/** Sends a request on a kept connection, and returns its status with the time that the answer took. */
async function send (
  node: MeshNode, id: string, body: string, sentBytes: number
): Promise<{ readonly status: number, readonly tookMs: number }> {
  const { host, port } = parseAddress(node.settings.callerAddress)
  const startMs = performance.now()
  return await new Promise((resolve, reject) => {
    const headers = {
      host: 'h.example',
      [HEADER_NAMES.requestId]: id,
      [HEADER_NAMES.deadlineMs]: '20000',
      'content-length': String(body.length)
    }
    const outgoing = request({ host, port, agent, method: 'POST', path: '/read/x', headers }, response => {
      response.resume()
      response.on('end', () => resolve({ status: response.statusCode ?? 0, tookMs: performance.now() - startMs }))
    })
    outgoing.on('error', reject)
    outgoing.write(body.slice(0, sentBytes))
    if (sentBytes === body.length) outgoing.end()
  })
}

test('a timeout that a change makes shorter or longer binds the requests after it, on a kept connection', async () => {
  mesh = await RouteMesh.start(1)
  const node = mesh.nodes[0] as MeshNode
  node.instance.behaviour = (message, response, instance) => {
    setTimeout(() => instance.answer(message, response), 2 * TIMEOUT_MS + ANSWER_SLACK_MS)
  }
  expect((await send(node, 'a', 'body', 4)).status).toBe(200)
  await mesh.configure({ ...makeRoute('read', 'idempotent'), timeoutMs: TIMEOUT_MS })
  const short = await send(node, 'b', 'body', 4)
  expect(short.status).not.toBe(200)
  expect(short.tookMs).toBeLessThan(TIMEOUT_MS + ANSWER_SLACK_MS)
  await mesh.configure({ ...makeRoute('read', 'idempotent'), timeoutMs: 5000 })
  expect((await send(node, 'c', 'body', 4)).status).toBe(200)
})

// The timeout began only when the body was whole.
test('a request whose body does not arrive has its final answer at the timeout of its route', async () => {
  mesh = await RouteMesh.start(1)
  const node = mesh.nodes[0] as MeshNode
  for (const kind of ['idempotent', 'once', 'download', 'upload'] as const) {
    await mesh.configure({ ...makeRoute('read', kind), timeoutMs: TIMEOUT_MS })
    const late = await send(node, kind, 'body', 2)
    expect([kind, late.status]).toEqual([kind, 503])
    expect(late.tookMs).toBeLessThan(TIMEOUT_MS + ANSWER_SLACK_MS)
  }
  expect(mesh.startedCount).toBe(0)
})
