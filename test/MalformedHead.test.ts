import { connect } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { RouteMesh } from './support/RouteMesh.js'

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

test('a request whose header name contains a space gets 400 and reaches no instance', async () => {
  mesh = await RouteMesh.start(1)
  const { hostname, port } = new URL(mesh.nodes[0]!.callerUrl)
  const answer = await new Promise<string>((resolve, reject) => {
    const head = 'POST /read/x HTTP/1.1\r\nHost: h.example\r\nContent Length: 5\r\n\r\n'
    const socket = connect(Number(port), hostname, () => socket.write(head))
    let text = ''
    socket.on('data', (chunk: Buffer) => { text += chunk.toString() })
    socket.on('close', () => resolve(text))
    socket.on('error', reject)
  })
  expect(answer).toMatch(/^HTTP\/1\.1 400 /)
  expect(mesh.startedCount).toBe(0)
})
