import { afterEach, expect, test, vi } from 'vitest'
import * as compression from '../src/runtime/FrameCompression.js'
import { makeRoute, type MeshNode, RouteMesh } from './support/RouteMesh.js'

let mesh: RouteMesh | undefined

afterEach(() => {
  vi.restoreAllMocks()
  mesh?.dispose()
  mesh = undefined
})

/** Starts a node with a link of such a rate, brings a thousand routes into force there, and calls the last of them. */
async function callWithManyRoutes (linkMbps: number): Promise<number> {
  mesh = await RouteMesh.start(1, { settings: () => ({ linkMbps }) })
  const routes = Array.from({ length: 1000 }, (_, i) => makeRoute(`read-${i}`, 'idempotent'))
  await mesh.configure(...routes)
  return (await mesh.call(mesh.nodes[0] as MeshNode, '/read-999/x')).statusCode
}

// A thousand new routes kept links of 2 Mbit/s busy for half a second, and with them the calls of all nodes.
test('a node with a slow link gets large configurations compressed', async () => {
  const encode = vi.spyOn(compression, 'encodeCompressed')
  expect(await callWithManyRoutes(2)).toBe(200)
  expect(Math.max(...encode.mock.results.map(({ value }) => (value as Buffer).length))).toBeLessThan(25_000)
})

test('a node with a fast link gets them as they are', async () => {
  const encode = vi.spyOn(compression, 'encodeCompressed')
  expect(await callWithManyRoutes(1000)).toBe(200)
  expect(encode).not.toHaveBeenCalled()
})
