import { connect } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { parseAddress } from '../src/runtime/Address.js'
import { HEADER_NAMES, type MeshNode, RouteMesh } from './support/RouteMesh.js'

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

async function sendRaw (node: MeshNode, head: string): Promise<string> {
  const { host, port } = parseAddress(node.settings.callerAddress)
  return await new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    const socket = connect(port, host, () => socket.write(`${head}\r\nconnection: close\r\n\r\n`))
    socket.on('data', chunk => chunks.push(chunk))
    socket.on('close', () => resolve(Buffer.concat(chunks).toString()))
    socket.on('error', reject)
  })
}

// A caller that treats its node as a proxy, or writes a host in full, got 404 for a route that is there.
test('requests in absolute form and hosts with a final dot are routed, and instances get the path and the host', async () => {
  mesh = await RouteMesh.start(1)
  const node = mesh.nodes[0] as MeshNode
  const seen: string[] = []
  node.instance.behaviour = (request, response, instance) => {
    seen.push(`${request.headers.host} ${request.url}`)
    instance.answer(request, response)
  }
  const id = (name: string): string => `${HEADER_NAMES.requestId}: ${name}`
  const heads = [
    `GET http://H.example:8080/read/x?y=1 HTTP/1.1\r\nhost: other.example\r\n${id('1')}`,
    `GET /read/x?y=2 HTTP/1.1\r\nhost: h.example.\r\n${id('2')}`,
    `GET /read/x?y=3 HTTP/1.1\r\nhost: h.example:80\r\n${id('3')}`
  ]
  for (const head of heads) expect(await sendRaw(node, head)).toMatch(/^HTTP\/1.1 200 /)
  expect(seen).toEqual(['H.example:8080 /read/x?y=1', 'h.example. /read/x?y=2', 'h.example:80 /read/x?y=3'])
  expect(await sendRaw(node, `GET http://other.example/read/x HTTP/1.1\r\nhost: h.example\r\n${id('4')}`)).toMatch(/^HTTP\/1.1 404 /)
})
