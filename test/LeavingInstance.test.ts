import { afterEach, expect, test } from 'vitest'
import { HEADER_NAMES, type MeshNode, pause, RouteMesh } from './support/RouteMesh.js'

/** Requests that a caller sends at once: more than the other instances have slots for. */
const BATCH_SIZE = 16

/** Batches that are sent after a restart: they last longer than a node avoids another that was unreachable. */
const BATCHES = 30

/** Run time of a request at the instances that stay, in milliseconds, so that the leaving one looks best. */
const RUN_MS = 60

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

/** Starts a mesh whose first instance says in its answers that it leaves, and returns the ids of its requests. */
async function startLeaving (count: number): Promise<{ started: RouteMesh, ran: readonly string[] }> {
  mesh = await RouteMesh.start(count)
  for (const node of mesh.nodes) {
    node.instance.behaviour = (request, response, instance) => {
      setTimeout(() => instance.answer(request, response), RUN_MS)
    }
  }
  const { instance } = mesh.nodes[0]!
  instance.behaviour = (request, response) => instance.answer(request, response, { [HEADER_NAMES.leaving]: '1' })
  return { started: mesh, ran: instance.ran }
}

/** Sends a batch of requests and returns the statuses, and whether an answer said that its instance leaves. */
async function callBatch (started: RouteMesh, node: MeshNode): Promise<{ statuses: number[], isTold: boolean }> {
  const answers = await Promise.all(Array.from({ length: BATCH_SIZE }, () => started.call(node, '/read/x')))
  const isTold = answers.some(({ headers }) => headers[HEADER_NAMES.leaving] !== undefined)
  return { statuses: answers.map(({ statusCode }) => statusCode), isTold }
}

async function tell (started: RouteMesh, node: MeshNode): Promise<void> {
  while (!(await callBatch(started, node)).isTold) await pause()
}

test('an instance that says in its answers that it leaves gets no more requests', async () => {
  const { started, ran } = await startLeaving(3)
  const [, caller] = started.nodes as [MeshNode, MeshNode]
  await tell(started, caller)
  const before = ran.length
  const { statuses } = await callBatch(started, caller)
  expect([ran.length - before, statuses.filter(status => status !== 200)]).toEqual([0, []])
}, 60_000)

test('an instance that leaves gets no requests after a restart of the node beside it', async () => {
  const { started, ran } = await startLeaving(3)
  const [beside, caller] = started.nodes as [MeshNode, MeshNode]
  await tell(started, caller)
  const before = ran.length
  // The instance still reports that it is ready.
  await started.restart(beside, 2)
  for (let i = 0; i < BATCHES; i++) await callBatch(started, caller)
  expect(ran.length - before).toBe(0)
}, 60_000)

test('after such a restart the instance gets no requests of callers whose node was not told itself', async () => {
  const { started, ran } = await startLeaving(3)
  const [beside, told, caller] = started.nodes as [MeshNode, MeshNode, MeshNode]
  await tell(started, told)
  while (started.readyCount(caller) > 2) await pause()
  const before = ran.length
  await started.restart(beside, 2)
  for (let i = 0; i < BATCHES; i++) await callBatch(started, caller)
  expect(ran.length - before).toBe(0)
}, 60_000)
