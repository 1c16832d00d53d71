import { afterEach, beforeEach, expect, test } from 'vitest'
import { PORTS } from '../../soak/Constants.js'
import {
  awaitStatus, CrowdedSystem, MAX_DESCRIPTORS, METRICS_PORT, type OrdinaryRequest, WatchedProcess
} from '../support/CrowdedSystem.js'
import { bodyInChunks, bodyWithLength, type CrowdPlan, SocketCrowd } from '../support/SocketCrowd.js'

/** Clients that send bodies, and their size. */
const SENDERS = 40
const BODY_BYTES = 8 * 1024 * 1024

/** Connections, more than a process has descriptors. */
const CONNECTIONS = 2 * MAX_DESCRIPTORS

/** Clients that read nothing, and the requests that each sends at once. */
const READERS = 20
const READS = 1000

let system: CrowdedSystem

beforeEach(async () => { system = await CrowdedSystem.start({ nodes: 1 }) })
afterEach(async () => await system.dispose())

/** Listeners that serve only one path each: readiness and metrics. */
const LISTENERS = {
  'readiness of a node': () => ({ host: system.nodes[0]!.host, port: PORTS.ready, path: '/api/readyz' }),
  'metrics of a node': () => ({ host: system.nodes[0]!.host, port: METRICS_PORT, path: '/metrics' }),
  'metrics of a replica': () => ({ host: system.replica.host, port: METRICS_PORT, path: '/metrics' })
} as const satisfies Record<string, () => OrdinaryRequest>

type Listener = keyof typeof LISTENERS

const ALL = Object.keys(LISTENERS) as Listener[]

async function expectServed (request: OrdinaryRequest): Promise<void> {
  expect(await awaitStatus(request, 200)).toBe(200)
  for (const node of system.nodes) expect(await awaitStatus(system.call(node), 200)).toBe(200)
  for (const process of system.processes) expect(process.standing, process.figures).toEqual(WatchedProcess.within)
}

async function runCrowds (listener: Listener, ...plans: Array<Omit<CrowdPlan, 'host' | 'port'>>): Promise<void> {
  const { host, port, path } = LISTENERS[listener]()
  for (const plan of plans) {
    const crowd = await SocketCrowd.open({ host, port, ...plan })
    await expectServed({ host, port, path })
    await crowd.leave()
    await expectServed({ host, port, path })
  }
}

function makeHead (listener: Listener): string {
  return `GET ${LISTENERS[listener]().path} HTTP/1.1\r\nhost: a\r\n`
}

test.each(ALL)('bodies that stop short of their end take bounded memory at the %s', async listener => {
  await runCrowds(
    listener,
    { count: SENDERS, send: () => bodyWithLength(makeHead(listener), BODY_BYTES) },
    { count: SENDERS, send: () => bodyInChunks(makeHead(listener), BODY_BYTES - 128 * 1024, 32 * 1024) }
  )
})

test.each(ALL)('connections that say nothing or never end their head take bounded descriptors at the %s', async listener => {
  await runCrowds(
    listener,
    { count: CONNECTIONS },
    { count: CONNECTIONS, send: () => [Buffer.from(`${makeHead(listener)}x-long: ${'x'.repeat(10_000)}`)] }
  )
})

test.each(ALL)('requests in series whose answers nobody reads take bounded memory at the %s', async listener => {
  await runCrowds(listener, {
    count: READERS, unread: true, send: () => [Buffer.from(`${makeHead(listener)}\r\n`.repeat(READS))]
  })
})
