import { afterEach, expect, test } from 'vitest'
import { makeRoute, type MeshNode, pause, RouteMesh } from './support/RouteMesh.js'
import { awaitNoBodies, makeBody, openUpload, readBodies, startUpload } from './support/Uploads.js'

/** Memory of a node whose quarter holds one large body and not two. */
const SMALL_MEMORY_MB = 2
const LARGE_BYTES = 360 * 1024

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

// A few clients that stop short of their end would keep out all others until a deadline that they choose themselves.
test('an upload that has stalled gives way to one that needs its room', async () => {
  mesh = await RouteMesh.start(1, { settings: () => ({ memoryMb: SMALL_MEMORY_MB }) })
  await mesh.configure(makeRoute('upload', 'upload', { timeoutMs: 20_000 }))
  const [caller] = mesh.nodes as [MeshNode]
  const stalled = openUpload(caller, LARGE_BYTES)
  stalled.request.write(makeBody(LARGE_BYTES - 1))
  while (readBodies(caller).heldBytes < LARGE_BYTES - 1) await pause()
  const body = makeBody(LARGE_BYTES)
  const refused = []
  for (;;) {
    const { status, body: text } = await startUpload(caller, body).result
    if (status === 200) break
    refused.push(JSON.parse(text))
  }
  const { status, body: text } = await stalled.result
  expect([status, JSON.parse(text)]).toEqual([503, { reason: 'body-memory', notRun: true }])
  for (const refusal of refused) expect(refusal).toEqual({ reason: 'body-memory', notRun: true })
  expect(mesh.startedCount).toBe(1)
  await awaitNoBodies(mesh)
})
