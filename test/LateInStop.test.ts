import { request } from 'node:http'
import type { ClientRequest } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { HEADER_NAMES, makeRoute, type MeshNode, pause, RouteMesh } from './support/RouteMesh.js'

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

/** Status and body of an answer; status 0 when the connection ended without one. */
interface Ending {
  readonly status: number
  readonly body: string
}

/** Begins a request with a chunked body. */
function begin ({ callerUrl }: MeshNode, path: string, id: string): { call: ClientRequest, ending: Promise<Ending> } {
  const headers = { host: 'h.example', [HEADER_NAMES.requestId]: id, [HEADER_NAMES.deadlineMs]: '20000' }
  const call = request(`${callerUrl}${path}`, { method: 'POST', headers, agent: false })
  const ending = new Promise<Ending>(resolve => {
    call.on('error', () => resolve({ status: 0, body: '' }))
    call.on('response', response => {
      let body = ''
      response.on('data', (chunk: Buffer) => { body += chunk.toString() })
      response.on('close', () => resolve({ status: response.statusCode ?? 0, body }))
    })
  })
  call.write('begin')
  return { call, ending }
}

/** Waits until a node that stops has closed its listener. */
async function listenerClosed ({ callerUrl }: MeshNode): Promise<void> {
  for (;;) {
    const isRefused = await new Promise<boolean>(resolve => {
      const call = request(callerUrl, { agent: false }, response => response.resume().on('close', () => resolve(false)))
      call.on('error', (error: Error & { code?: string }) => resolve(error.code === 'ECONNREFUSED'))
      call.end()
    })
    if (isRefused) return
    await pause()
  }
}

// It would be cut at the end of the stop, while its instance runs it.
test('a request that is complete only after a stop has closed the listener is refused and does not run', async () => {
  mesh = await RouteMesh.start(1)
  const node = mesh.nodes[0]!
  const { call, ending } = begin(node, '/once/x', 'late')
  const stopped = node.daemon.stop()
  await listenerClosed(node)
  call.end('end')
  const { status, body } = await ending
  expect([status, JSON.parse(body)]).toEqual([503, { reason: 'stopping', notRun: true }])
  await stopped
  expect(node.instance.ran).toEqual([])
})

test('requests that are open at the end of a stop get an answer that says whether they may have run', async () => {
  mesh = await RouteMesh.start(1)
  const node = mesh.nodes[0]!
  await mesh.configure(makeRoute('once', 'once', { timeoutMs: 20_000 }))
  node.instance.behaviour = () => {}
  const { call, ending } = begin(node, '/once/x', 'open')
  call.end('end')
  while (node.instance.ran.length === 0) await pause()
  await node.daemon.stop()
  const { status, body } = await ending
  expect([status, JSON.parse(body)]).toEqual([502, { reason: 'stopping', notRun: false }])
})
