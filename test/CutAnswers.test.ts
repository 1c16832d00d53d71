import { request } from 'node:http'
import type { ClientRequest } from 'node:http'
import { afterEach, expect, test } from 'vitest'
import { HEADER_NAMES, type MeshNode, RouteMesh } from './support/RouteMesh.js'

/** Size of an answer that does not fit into the buffers of a connection, in bytes. */
const LARGE_BYTES = 8 * 1024 * 1024

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

/** Sends a request whose answer is not read. */
function callUnread ({ callerUrl }: MeshNode, id: string): ClientRequest {
  const headers = { host: 'h.example', [HEADER_NAMES.requestId]: id, [HEADER_NAMES.deadlineMs]: '4000' }
  const call = request(`${callerUrl}/read/x`, { headers, agent: false }, response => {
    response.on('error', () => {})
    response.pause()
  })
  call.on('error', () => {})
  call.end()
  return call
}

test('an answer that is cut at the limit of a stop leaves a line with its request and its bytes', async () => {
  mesh = await RouteMesh.start(1, { settings: () => ({ stopLimitMs: 3800 }) })
  const [node] = mesh.nodes as [MeshNode]
  node.instance.behaviour = (request, response) => {
    response.writeHead(200, { [HEADER_NAMES.requestId]: String(request.headers[HEADER_NAMES.requestId]), [HEADER_NAMES.signature]: 's' })
    response.end(Buffer.alloc(LARGE_BYTES))
  }
  const stopped = node.daemon.stop()
  const call = callUnread(node, 'slow')
  const answered = await mesh.awaitLog('answered while stopping')
  expect(answered['requestId']).toBe('slow')
  await stopped
  const cut = mesh.logLines.find(({ message }) => message === 'answer cut while stopping')?.fields
  expect(cut).toMatchObject({ requestId: 'slow', reason: 'limit', isWritten: true })
  expect(Number(cut?.['sentBytes']) + Number(cut?.['leftBytes'])).toBeGreaterThanOrEqual(LARGE_BYTES)
  call.destroy()
})
