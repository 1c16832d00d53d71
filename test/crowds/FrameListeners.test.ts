import { afterEach, expect, test } from 'vitest'
import { PORTS } from '../../soak/Constants.js'
import { encodeMessage } from '../../src/runtime/FrameChannel.js'
import { MAX_FRAME_BYTES } from '../../src/runtime/Constants.js'
import { awaitStatus, CrowdedSystem, MAX_DESCRIPTORS, WatchedProcess } from '../support/CrowdedSystem.js'
import { type CrowdPlan, SocketCrowd, unfinishedFrame } from '../support/SocketCrowd.js'

/** Connections with a frame of the largest size each, together more than the memory of a process. */
const SENDERS = 40

/** Connections that send a frame byte by byte, and the bytes that they send. */
const SLICERS = 20
const SLICED_BYTES = 20_000

/** Calls on one connection, and the size of each answer in megabytes. */
const CALLS = 60
const ANSWER_MB = 10

/** Requests for a copy of the configuration that is never read. */
const COPIES = 4000

/** Connections, more than a process has descriptors. */
const CONNECTIONS = 2 * MAX_DESCRIPTORS

let system: CrowdedSystem

afterEach(async () => await system.dispose())

/** Listeners for frames: that of a node for other nodes, its directory, and that of a replica. */
const LISTENERS = {
  'a node': () => ({ host: system.nodes[0]!.host, port: PORTS.nodes }),
  'the directory of a node': () => ({ host: system.nodes[0]!.host, port: PORTS.replicas }),
  'a replica': () => ({ host: system.replica.host, port: PORTS.replicas })
} as const

type Listener = keyof typeof LISTENERS

const ALL = Object.keys(LISTENERS) as Listener[]

/** Checks all processes, a read of the configuration at each, and a request that passes between nodes. */
async function expectServed (): Promise<void> {
  for (const process of system.processes) expect(await awaitStatus(system.read(process), 200)).toBe(200)
  for (const node of system.nodes) expect(await awaitStatus(system.call(node), 200)).toBe(200)
  for (const process of system.processes) expect(process.standing, process.figures).toEqual(WatchedProcess.within)
}

async function runCrowd (listener: Listener, plan: Omit<CrowdPlan, 'host' | 'port'>): Promise<void> {
  const crowd = await SocketCrowd.open({ ...LISTENERS[listener](), progress: () => system.instanceBytes, ...plan })
  await expectServed()
  await crowd.leave()
  await expectServed()
}

test.each(ALL)('frames that announce the largest size and never end take bounded memory at %s', async listener => {
  system = await CrowdedSystem.start({ nodes: 2 })
  await runCrowd(listener, { count: SENDERS, send: () => unfinishedFrame(MAX_FRAME_BYTES - 1) })
})

test.each(ALL)('large frames after a hello that never end take bounded memory at %s', async listener => {
  system = await CrowdedSystem.start({ nodes: 2 })
  const hello = encodeMessage({ type: 'callHello', node: '127.0.0.1:9' })
  await runCrowd(listener, { count: SENDERS, send: () => [hello, ...unfinishedFrame(MAX_FRAME_BYTES - 1)] })
})

test.each(ALL)('frames in pieces of one byte take bounded memory at %s', async listener => {
  system = await CrowdedSystem.start({ nodes: 2 })
  await runCrowd(listener, { count: SLICERS, send: () => unfinishedFrame(MAX_FRAME_BYTES - 1, 1, SLICED_BYTES) })
})

test.each(ALL)('connections that say nothing take bounded descriptors at %s', async listener => {
  system = await CrowdedSystem.start({ nodes: 2 })
  await runCrowd(listener, { count: CONNECTIONS })
})

test('answers to the calls of a node that reads nothing take bounded memory', async () => {
  system = await CrowdedSystem.start({ nodes: 2 })
  await runCrowd('a node', { count: 1, unread: true, send: () => [encodeMessage({ type: 'callHello', node: '127.0.0.1:9' }), ...makeCalls()] })
})

test('copies of the configuration for a node that reads nothing take bounded memory at a replica', async () => {
  system = await CrowdedSystem.start({ nodes: 2, extraRoutes: 1000 })
  const entry = { node: '127.0.0.1:9', zone: 'zone-0', epoch: 1, revision: 1, state: 'up' }
  const hello = encodeMessage({ type: 'feedHello', entry, version: 0, confirms: true })
  await runCrowd('a replica', { count: 1, unread: true, send: () => [hello, ...makeCopies()] })
})

function makeCalls (): Buffer[] {
  return Array.from({ length: CALLS }, (_, i) => {
    const id = `crowd-${i}`
    const call = {
      id: i + 1,
      service: 'svc',
      method: 'GET',
      target: `/read/long/${ANSWER_MB}`,
      headers: ['host', 'h.example', 'x-request-id', id],
      body: new Uint8Array(0),
      requestId: id,
      work: 'read',
      kind: 'idempotent',
      nested: false,
      priority: 1,
      leftMs: 20_000,
      objectiveLeftMs: 10_000,
      moveMs: undefined,
      attempt: 'first'
    }
    return encodeMessage({ type: 'call', call })
  })
}

function makeCopies (): Buffer[] {
  const frame = encodeMessage({ type: 'askRouting' })
  return Array.from({ length: COPIES }, () => frame)
}
