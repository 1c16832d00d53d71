import { afterEach, expect, test } from 'vitest'
import { HEADER_NAMES, makeRoute, RouteMesh } from './support/RouteMesh.js'

const meshes: RouteMesh[] = []

afterEach(() => { meshes.splice(0).forEach(mesh => mesh.dispose()) })

async function startMesh (): Promise<RouteMesh> {
  const mesh = await RouteMesh.start(2)
  meshes.push(mesh)
  return mesh
}

const ROUTES = [makeRoute('read', 'idempotent')]

// Otherwise each request with a key of the workspace ends its node.
test('the name of a workspace that is not ASCII reaches the instance in UTF-8', async () => {
  const mesh = await startMesh()
  const seen: string[] = []
  for (const { instance } of mesh.nodes) {
    instance.behaviour = (request, response) => {
      seen.push(Buffer.from(String(request.headers[HEADER_NAMES.workspace]), 'latin1').toString())
      instance.answer(request, response)
    }
  }
  const names = ['plain', '\u00e9', '\u0141\u00f3d\u017a \u{1f600}']
  for (const name of names) {
    await mesh.configureWith({ routes: ROUTES, workspaces: [{ name, keys: ['k'] }] })
    const answer = await mesh.call(mesh.nodes[0]!, '/read/x', 5000, { [HEADER_NAMES.apiKey]: 'k' })
    expect(answer.statusCode).toBe(200)
  }
  expect(seen).toEqual(names)
})

test('limits beyond what timers can wait become the longest wait', async () => {
  const mesh = await startMesh()
  const limits = { maxHeaderBytes: 16384, maxBodyBytes: 1e6, headerTimeoutMs: 2 ** 32 + 1, idleTimeoutMs: 1e27 }
  await mesh.configureWith({ routes: ROUTES, limits })
  const { statusCode, headers } = await mesh.call(mesh.nodes[0]!, '/read/x')
  expect([statusCode, headers['keep-alive']]).toEqual([200, 'timeout=2147483'])
})
