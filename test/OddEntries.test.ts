import { connect } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { SeededRandom } from '../src/parts/SeededRandom.js'
import { ControlFeed } from '../src/routenode/ControlFeed.js'
import { parseAddress } from '../src/runtime/Address.js'
import { FrameChannel } from '../src/runtime/FrameChannel.js'
import { SystemClock } from '../src/runtime/SystemClock.js'
import { type MeshNode, RouteMesh } from './support/RouteMesh.js'

const INSTANCE = { id: 'i-x', bornMs: 5, service: 'svc', slots: 1000, state: 'ready' }

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

/** Sends frames on a connection of their own, which stays open until the other end closes it or a while has passed. */
async function sendFrames (address: string, frames: readonly object[]): Promise<void> {
  const { host, port } = parseAddress(address)
  const socket = connect(port, host)
  await new Promise(resolve => socket.once('connect', resolve))
  const channel = new FrameChannel<object, object>(socket, new SystemClock())
  for (const frame of frames) channel.send(frame)
  await new Promise(resolve => setTimeout(resolve, 400))
  channel.dispose()
}

// Nodes threw an uncaught error when they chose such an instance, and again after each restart.
test('an entry whose port is out of range ends no process and takes no requests', async () => {
  const started = await RouteMesh.start(2)
  mesh = started
  for (const node of ['127.0.0.1:70000', '127.0.0.1:-1', '127.0.0.1', 'stranger']) {
    const entry = { node, zone: 'a', epoch: 1, revision: 1, state: 'up', instance: INSTANCE }
    await sendFrames(started.nodes[0]!.settings.seeds[0]!, [{ type: 'feedHello', entry, version: 0 }])
  }
  for (let count = 0; count < 8; count++) {
    for (const node of started.nodes) expect((await started.call(node, '/read/x')).statusCode).toBe(200)
  }
})

test('an address of a control replica that cannot be connected to ends no node', async () => {
  const started = await RouteMesh.start(1)
  mesh = started
  const entry = { node: '127.0.0.1:9', zone: 'a', epoch: 1, revision: 1, state: 'stopping' } as const
  const seeds = ['127.0.0.1:70000', ...started.nodes[0]!.settings.seeds]
  const source = { nextEntry: () => entry, crashReports: () => [] }
  const feed = new ControlFeed(seeds, source, new SystemClock(), new SeededRandom(1), SILENT)
  const welcomed = new Promise<void>(resolve => feed.onWelcome(() => resolve()))
  feed.addReplica('127.0.0.1:-1')
  feed.start()
  await welcomed
  feed.dispose()
})

// The service of the last report became the caller service of all requests of the machine.
test('a report of another writer changes neither the service of its machine nor the instance', async () => {
  const started = await RouteMesh.start(1)
  mesh = started
  const [{ daemon, instance }] = started.nodes as [MeshNode]
  const report = {
    id: 'i-x', bornMs: Date.now(), sequence: 1, service: 'svc', address: instance.address, slots: 6, state: 'ready', coldMs: 0
  } as const
  expect(daemon.report({ ...report, service: 'no-such-service' })).toBe('foreign')
  expect(daemon.report({ ...report, address: '127.0.0.1:9' })).toBe('foreign')
  expect(daemon.report({ ...report, bornMs: Date.now() + 48 * 3_600_000 })).toBe('foreign')
  expect(daemon.deregister('i-x', undefined)).toBe('foreign')
  expect((await started.call(started.nodes[0]!, '/read/x')).body).toBe(`${instance.id} svc`)
})

// They took the instance out of use for seconds or for good, and blamed its running requests for a crash.
test('well-formed reports of another writer stop no requests and blame none', async () => {
  const started = await RouteMesh.start(2)
  mesh = started
  const [beside, other] = started.nodes as [MeshNode, MeshNode]
  const { daemon, instance } = beside
  const base = { service: 'svc', address: instance.address, slots: 1, coldMs: 0, bornMs: Date.now(), sequence: 1 } as const
  const reports = [
    { ...base, id: 'i-x', state: 'ready' },
    { ...base, id: 'i-x', sequence: 2, state: 'draining' },
    { ...base, id: instance.id, state: 'draining' },
    { ...base, id: 'i-y', bornMs: 0, state: 'ready' }
  ] as const
  const call = async (): Promise<number> => (await started.call(other, '/read/x')).statusCode
  for (const report of reports) {
    const calls = [call(), call(), call()]
    const settled = started.awaitLog('report settled')
    expect(daemon.report(report)).toBe('claimed')
    expect((await settled)['outcome']).toBe('foreign')
    expect(await Promise.all(calls)).toEqual([200, 200, 200])
    expect(daemon.state()).toMatchObject({ instance: { id: instance.id, bornMs: 1, slots: 6, state: 'ready' } })
  }
  expect(started.logLines.filter(({ message }) => message === 'crash blamed on requests')).toEqual([])
})

test('changed settings change the service of the machine', async () => {
  const started = await RouteMesh.start(1)
  mesh = started
  const [{ daemon, instance, settings }] = started.nodes as [MeshNode]
  daemon.reload({ ...settings, service: 'other' })
  expect(daemon.state()).toMatchObject({ instance: null })
  const report = { id: instance.id, bornMs: 9, sequence: 1, address: instance.address, slots: 6, state: 'ready', coldMs: 0 } as const
  expect([daemon.report({ ...report, service: 'svc' }), daemon.report({ ...report, service: 'other' })]).toEqual(['foreign', 'applied'])
})
