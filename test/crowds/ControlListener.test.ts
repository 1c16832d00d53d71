import { afterEach, beforeEach, expect, test } from 'vitest'
import { PORTS } from '../../soak/Constants.js'
import { awaitStatus, CrowdedSystem, MAX_DESCRIPTORS, WatchedProcess } from '../support/CrowdedSystem.js'
import { bodyInChunks, bodyWithLength, type CrowdPlan, SocketCrowd } from '../support/SocketCrowd.js'

const HEAD = 'POST /api/Config.Put HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n'
const READ = 'GET /api/Config.Get HTTP/1.1\r\nhost: a\r\n\r\n'

/** Clients that send bodies, and their size: as large as an order may be, and together more than a process has. */
const SENDERS = 40
const BODY_BYTES = 8 * 1024 * 1024

/** The same for chunks of one byte, which take the process long to read. */
const SLICERS = 10
const SLICED_BYTES = 128 * 1024

/** Connections, more than a process has descriptors. */
const CONNECTIONS = 2 * MAX_DESCRIPTORS

/** Clients that read nothing, and the reads that each sends at once. */
const READERS = 20
const READS = 200

let system: CrowdedSystem

beforeEach(async () => { system = await CrowdedSystem.start({ nodes: 1, extraRoutes: 1000 }) })
afterEach(async () => await system.dispose())

/** Checks all processes, a read of the configuration, a report of the instance and a caller's request. */
async function expectServed (process: WatchedProcess, sequence: number): Promise<void> {
  expect(await awaitStatus(system.read(process), 200)).toBe(200)
  await system.report(sequence)
  for (const node of system.nodes) expect(await awaitStatus(system.call(node), 200)).toBe(200)
  for (const process of system.processes) expect(process.standing, process.figures).toEqual(WatchedProcess.within)
}

async function runCrowd (program: string, plan: Omit<CrowdPlan, 'host' | 'port'>): Promise<void> {
  const process = program === 'node' ? system.nodes[0]! : system.replica
  const crowd = await SocketCrowd.open({ host: process.host, port: PORTS.control, ...plan })
  await expectServed(process, 2)
  await crowd.leave()
  await expectServed(process, 3)
}

test.each(['node', 'replica'])('operators of a %s that announce large bodies and stop short of their end take bounded memory', async program => {
  await runCrowd(program, { count: SENDERS, send: () => bodyWithLength(HEAD, BODY_BYTES) })
})

test.each(['node', 'replica'])('operators of a %s that send large chunks and no end take bounded memory', async program => {
  await runCrowd(program, { count: SENDERS, send: () => bodyInChunks(HEAD, BODY_BYTES - 128 * 1024, 32 * 1024) })
})

test.each(['node', 'replica'])('operators of a %s that send chunks of one byte take bounded memory', async program => {
  await runCrowd(program, { count: SLICERS, send: () => bodyInChunks(HEAD, SLICED_BYTES, 1) })
})

test.each(['node', 'replica'])('operators of a %s that read nothing of what they ask for take bounded memory', async program => {
  await runCrowd(program, { count: READERS, send: () => [Buffer.from(READ.repeat(READS))], unread: true })
})

test.each(['node', 'replica'])('connections to the control listener of a %s that say nothing take bounded descriptors', async program => {
  await runCrowd(program, { count: CONNECTIONS })
})

test.each(['node', 'replica'])('heads that never end at the control listener of a %s take bounded descriptors', async program => {
  await runCrowd(program, { count: CONNECTIONS, send: () => [Buffer.from(`${HEAD}x-long: ${'x'.repeat(10_000)}`)] })
})

test.each(['node', 'replica'])('an order of the largest size is read in calm by a %s', async program => {
  const { host } = program === 'node' ? system.nodes[0]! : system.replica
  const body = `"${'x'.repeat(BODY_BYTES - 2)}"`
  expect(await awaitStatus({ host, port: PORTS.control, path: '/api/Config.Put', method: 'POST', body }, 400)).toBe(400)
})
