import { connect } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { HEADER_NAMES, RouteMesh } from './support/RouteMesh.js'

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

/** Sends a head and resolves with what was answered until the connection has closed. */
async function sendHead (head: string): Promise<string> {
  const { hostname, port } = new URL(mesh!.nodes[0]!.callerUrl)
  return await new Promise((resolve, reject) => {
    const socket = connect(Number(port), hostname, () => socket.write(Buffer.from(head, 'latin1')))
    let text = ''
    socket.on('data', (chunk: Buffer) => { text += chunk.toString() })
    socket.on('close', () => resolve(text))
    socket.on('error', reject)
  })
}

const MALFORMED_HEADS: ReadonlyArray<readonly [string, string]> = [
  ['whose header name contains a space', 'POST /read/x HTTP/1.1\r\nHost: h.example\r\nContent Length: 5\r\n\r\n'],
  ['with an empty header name', 'GET /read/x HTTP/1.1\r\nHost: h.example\r\n: 5\r\n\r\n'],
  ['with a tab in its target', 'GET /read/\tx HTTP/1.1\r\nHost: h.example\r\n\r\n'],
  ['with a form feed in its target', 'GET /read/\fx HTTP/1.1\r\nHost: h.example\r\n\r\n']
]

for (const [what, head] of MALFORMED_HEADS) {
  test(`a request ${what} gets 400 and reaches no instance`, async () => {
    mesh = await RouteMesh.start(1)
    expect(await sendHead(head)).toMatch(/^HTTP\/1\.1 400 /)
    expect(mesh.startedCount).toBe(0)
    expect((await mesh.call(mesh.nodes[0]!, '/read/x')).statusCode).toBe(200)
  })
}

// The header was written to the caller in a frame handler of the link, which then closed with all calls on it.
test('an answer that cannot be written gets 502 and breaks neither its node nor the link to it', async () => {
  mesh = await RouteMesh.start(2)
  let isOdd = true
  for (const { instance } of mesh.nodes) {
    instance.behaviour = (request, response, self) => {
      if (!isOdd || request.url !== '/once/odd') return self.answer(request, response)
      const id = String(request.headers[HEADER_NAMES.requestId])
      response.socket!.write(`HTTP/1.1 200 OK\r\n${HEADER_NAMES.requestId}: ${id}\r\n${HEADER_NAMES.signature}: s\r\nx y: 1\r\ncontent-length: 0\r\n\r\n`)
    }
  }
  for (let count = 0; count < 6; count++) {
    for (const node of mesh.nodes) expect((await mesh.call(node, '/once/odd')).statusCode).toBe(502)
  }
  isOdd = false
  for (const node of mesh.nodes) expect((await mesh.call(node, '/once/odd')).statusCode).toBe(200)
})
