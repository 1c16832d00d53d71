import { afterEach, expect, test } from 'vitest'
import got from 'got'
import { InstanceApi } from '../platform/InstanceApi.js'
import { JsonApi } from '../platform/JsonApi.js'
import { findFreeAddresses } from '../src/demo/FreePorts.js'
import type { Disposable } from '../src/runtime/Types.js'
import { type MeshNode, RouteMesh } from './support/RouteMesh.js'

const SILENT_LOG = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

/** Requests that are sent to see whether an instance still gets any; one of two instances gets half of them. */
const REQUESTS = 40

/** Answer to a health check of an instance that leaves. */
const UNHEALTHY = Buffer.from('HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n')

const opened: Disposable[] = []

afterEach(() => { opened.splice(0).forEach(item => item.dispose()) })

/** Starts two nodes; the first one's instance is the one that leaves. */
async function startMesh (): Promise<{ mesh: RouteMesh, leaving: MeshNode, caller: MeshNode }> {
  const mesh = await RouteMesh.start(2)
  opened.push(mesh)
  const [leaving, caller] = mesh.nodes as [MeshNode, MeshNode]
  return { mesh, leaving, caller }
}

/** Sends a message of the instance to its node, as the platform's instances do, until it is acknowledged. */
async function tell ({ daemon, instance }: MeshNode, call: 'Heartbeat' | 'Deregister', fields: object): Promise<void> {
  const [address] = await findFreeAddresses(1) as [string]
  const api = new JsonApi(new InstanceApi(daemon, SILENT_LOG).handlers, SILENT_LOG)
  opened.push(api)
  await api.listen(address)
  const heartbeat = { Service: 'svc', Address: instance.address, Slots: 6, State: 'ready', ColdRemaining: '0ms' }
  const json = call === 'Heartbeat' ? { ...heartbeat, ...fields } : fields
  for (;;) {
    const { statusCode } = await got.post(`http://${address}/api/Instances.${call}/${instance.id}`, {
      json, throwHttpErrors: false, retry: { limit: 0 }
    })
    if (statusCode === 200) return
  }
}

/** Returns how many requests of callers reach an instance from now on. */
async function countRuns (mesh: RouteMesh, caller: MeshNode, { instance }: MeshNode): Promise<number> {
  const before = instance.ran.length
  const answers = await Promise.all(Array.from({ length: REQUESTS }, async () => await mesh.call(caller, '/read/x')))
  expect(answers.map(({ statusCode }) => statusCode).filter(status => status !== 200)).toEqual([])
  return instance.ran.length - before
}

const DEPARTURES = [
  { name: 'a deregistration', call: 'Deregister', fields: { born: 1 } },
  { name: 'a deregistration without its start', call: 'Deregister', fields: {} },
  { name: 'a drain', call: 'Heartbeat', fields: { State: 'draining', Seq: 2, born: 1 } }
] as const

for (const { name, call, fields } of DEPARTURES) {
  // What nodes know of instances is on no disk, so the acknowledgement was forgotten.
  test(`${name} that was acknowledged holds after all processes were killed, also for a late heartbeat`, async () => {
    const { mesh, leaving, caller } = await startMesh()
    await tell(leaving, call, fields)
    await mesh.restartAll()
    await tell(caller, 'Heartbeat', { Seq: 3, born: 1 })
    await tell(leaving, 'Heartbeat', { Seq: 3, born: 1 })
    await mesh.awaitInstances(caller, 1)
    expect(await countRuns(mesh, caller, leaving)).toBe(0)
  })
}

// The registry of a node that has just started knows no instance, and the departure of an unknown one left no trace.
test('a deregistration just after all processes were killed holds for a heartbeat that arrives late', async () => {
  const { mesh, leaving, caller } = await startMesh()
  leaving.instance.spoilHealth = () => UNHEALTHY
  await mesh.restartAll()
  await tell(caller, 'Heartbeat', { Seq: 3, born: 1 })
  await tell(leaving, 'Deregister', { born: 1 })
  await tell(leaving, 'Heartbeat', { Seq: 3, born: 1 })
  await mesh.awaitInstances(caller, 1)
  expect(await countRuns(mesh, caller, leaving)).toBe(0)
})

// The node takes the instance that its health check finds for the incarnation that has crashed.
test('an instance that has crashed and leaves before its first heartbeat arrives gets no more requests', async () => {
  const { mesh, leaving, caller } = await startMesh()
  await tell(leaving, 'Deregister', { born: 2 })
  const runs = [await countRuns(mesh, caller, leaving)]
  await tell(leaving, 'Heartbeat', { Seq: 1, born: 2 })
  runs.push(await countRuns(mesh, caller, leaving))
  expect(runs).toEqual([0, 0])
})

test('an instance that has left gets requests again after a new start under its id', async () => {
  const { mesh, leaving, caller } = await startMesh()
  await tell(leaving, 'Deregister', { born: 1 })
  await mesh.restartAll()
  await tell(caller, 'Heartbeat', { Seq: 3, born: 1 })
  await tell(leaving, 'Heartbeat', { Seq: 1, born: 2 })
  await mesh.awaitInstances(caller, 2)
  expect(await countRuns(mesh, caller, leaving)).toBeGreaterThan(0)
})

// The call of a departure that can't be stored must end in time, so that the instance is free to ask elsewhere.
test('a departure that cannot be stored is refused in time, and takes effect at once', async () => {
  const { mesh, leaving, caller } = await startMesh()
  mesh.stopControl()
  leaving.daemon.deregister(leaving.instance.id, 1)
  expect(await leaving.daemon.confirmDeparture({ id: leaving.instance.id, bornMs: 1 })).toBe(false)
  expect(await countRuns(mesh, caller, leaving)).toBe(0)
})
