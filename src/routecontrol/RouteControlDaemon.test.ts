import { afterEach, expect, test } from 'vitest'
import { findFreeAddresses } from '../demo/FreePorts.js'
import { MemoryDisk } from '../parts/storage/MemoryDisk.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import type { NodeEntry } from '../parts/instances/Types.js'
import type { RoutingChange } from '../parts/routing/Types.js'
import { ControlFeed } from '../routenode/ControlFeed.js'
import type { Disposable, Log } from '../runtime/Types.js'
import { FrameClient } from '../runtime/FrameClient.js'
import { SystemClock } from '../runtime/SystemClock.js'
import { RouteControlDaemon } from './RouteControlDaemon.js'
import { RouteControlMetrics } from './RouteControlMetrics.js'
import type { FeedToNode, NodeToFeed } from './Types.js'

const SILENT_LOG: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

type DisposableDisk = MemoryDisk & Disposable

const daemons = new Map<string, RouteControlDaemon>()

afterEach(() => {
  for (const daemon of daemons.values()) daemon.dispose()
  daemons.clear()
})

function makeDisk (): DisposableDisk {
  return Object.assign(new MemoryDisk(), { dispose: () => {} })
}

async function start (
  address: string, seeds: readonly string[], bootstrap: boolean, disk = makeDisk()
): Promise<DisposableDisk> {
  const daemon = new RouteControlDaemon({
    settings: { address, seeds, bootstrap, toleratedLosses: 1 },
    disk,
    clock: new SystemClock(),
    random: new SeededRandom(daemons.size + 1),
    log: SILENT_LOG,
    onFault: error => { throw error }
  })
  daemons.set(address, daemon)
  await daemon.start()
  return disk
}

async function startAlone (address: string): Promise<RouteControlDaemon> {
  await start(address, [address], true)
  return daemons.get(address)!
}

function stop (address: string): void {
  daemons.get(address)?.dispose()
  daemons.delete(address)
}

async function pause (): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, 20))
}

function makeChange (version: number, base: number): RoutingChange {
  const limits = { maxHeaderBytes: version, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  return { type: 'replace', version, base, configuration: { routes: [], services: [], limits } }
}

/** Proposes a change at the current leader and retries until it is decided. */
async function changeRouting (version: number, base: number): Promise<void> {
  const request = makeChange(version, base)
  for (;;) {
    const leader = [...daemons.values()].find(daemon => daemon.isLeader)
    const outcome = await leader?.change(request)
    if (outcome?.type === 'decided') {
      expect(outcome.reply).toEqual({ type: 'accepted', version })
      return
    }
    await pause()
  }
}

async function awaitVersion (address: string, version: number): Promise<void> {
  for (;;) {
    const read = await daemons.get(address)?.read()
    if (read?.type === 'confirmed' && read.routing.version === version) return
    await pause()
  }
}

function readMembers (address: string): string[] {
  const state = daemons.get(address)?.state() as { replica: { members: string[] } }
  return state.replica.members
}

test('the seeds form one group and all of them serve reads of the newest version', async () => {
  const seeds = await findFreeAddresses(3)
  for (const seed of seeds) await start(seed, seeds, true)
  await changeRouting(3, 0)
  for (const seed of seeds) await awaitVersion(seed, 3)
  expect(new Set(seeds.map(seed => readMembers(seed).join())).size).toBe(1)
})

// A replica that lost its disk has forgotten its votes, so it must not vote again under its old identity.
test('a replica whose disk was emptied joins under a new identity and the group keeps working', async () => {
  const seeds = await findFreeAddresses(3)
  for (const seed of seeds) await start(seed, seeds, true)
  await changeRouting(1, 0)
  const [emptiedReplica] = seeds as [string]
  const before = readMembers(emptiedReplica)
  stop(emptiedReplica)
  await start(emptiedReplica, seeds, false)
  await awaitVersion(emptiedReplica, 1)
  while (readMembers(emptiedReplica).length !== 3) await pause()
  expect(readMembers(emptiedReplica)).not.toEqual(before)
  await changeRouting(2, 1)
  await awaitVersion(emptiedReplica, 2)
})

test('a stopped replica is replaced by one at another address that knows only the seeds', async () => {
  const [a, b, c, d] = await findFreeAddresses(4) as [string, string, string, string]
  for (const seed of [a, b, c]) await start(seed, [a, b, c], true)
  await changeRouting(1, 0)
  stop(c)
  await start(d, [a, b, c], false)
  while (readMembers(a).length !== 3 || !readMembers(a).some(member => member.startsWith(d))) await pause()
  expect(readMembers(a).some(member => member.startsWith(c))).toBe(false)
  await changeRouting(2, 1)
  await awaitVersion(d, 2)
})

// A replica that has lost its quorum may hold an old version, so it must not confirm a read.
test('a replica without a quorum confirms no read', async () => {
  const seeds = await findFreeAddresses(3)
  const disks = new Map<string, DisposableDisk>()
  for (const seed of seeds) disks.set(seed, await start(seed, seeds, true))
  await changeRouting(1, 0)
  const [isolated, ...others] = seeds as [string, string, string]
  others.forEach(stop)
  while (daemons.get(isolated)?.isLeader === true) await pause()
  expect(await daemons.get(isolated)?.read()).toEqual({ type: 'unconfirmed' })
  for (const other of others) await start(other, seeds, false, disks.get(other) as DisposableDisk)
  await awaitVersion(isolated, 1)
})

/** Sends a node's hello to a replica and returns the type of the first frame of its answer. */
async function sayHello (address: string): Promise<string> {
  const client = new FrameClient<FeedToNode, NodeToFeed>(address, new SystemClock(), new SeededRandom(1))
  const answer = new Promise<string>(resolve => {
    client.onChannel(channel => {
      channel.onMessage(({ type }) => resolve(type))
      channel.send({ type: 'feedHello', entry: { node: 'n:1', zone: 'a', epoch: 1, revision: 1, state: 'up' }, version: 0 })
    })
  })
  client.start()
  const type = await answer
  client.dispose()
  return type
}

// A node that is turned away until a leader is elected loses a reconnect delay while its callers are refused.
test('a node that connects while all replicas restart is welcomed on its first connection', async () => {
  const seeds = await findFreeAddresses(3)
  const disks = new Map<string, DisposableDisk>()
  for (const seed of seeds) disks.set(seed, await start(seed, seeds, true))
  await changeRouting(1, 0)
  for (const seed of seeds) await awaitVersion(seed, 1)
  seeds.forEach(stop)
  const answers: Array<Promise<string>> = []
  for (const seed of seeds) {
    await start(seed, seeds, false, disks.get(seed) as DisposableDisk)
    answers.push(sayHello(seed))
  }
  expect(await Promise.all(answers)).toEqual(['welcome', 'welcome', 'welcome'])
})

function findLeader (): string | undefined {
  return [...daemons].find(([, daemon]) => daemon.isLeader)?.[0]
}

test('a replica outside a full group redirects operators to the leader', async () => {
  const [outsider, ...seeds] = await findFreeAddresses(4) as [string, string, string, string]
  for (const seed of seeds) await start(seed, seeds, true)
  await changeRouting(1, 0)
  await start(outsider, seeds, false)
  for (let i = 0; i < 100 && daemons.get(outsider)?.remoteLeaderAddress === undefined; i++) await pause()
  expect(daemons.get(outsider)?.remoteLeaderAddress).toBe(findLeader())
  const leader = findLeader() as string
  stop(leader)
  while (findLeader() === undefined) await pause()
  for (let i = 0; i < 100 && daemons.get(outsider)?.remoteLeaderAddress !== findLeader(); i++) await pause()
  expect(daemons.get(outsider)?.remoteLeaderAddress).toBe(findLeader())
})

// The settings of a restarted node may name only replicas that are no voters; without a configuration it serves nobody.
test('a node whose seeds are all outside a full group finds the group', async () => {
  const [outsider, ...seeds] = await findFreeAddresses(4) as [string, string, string, string]
  for (const seed of seeds) await start(seed, seeds, true)
  await changeRouting(1, 0)
  await start(outsider, seeds, false)
  const entry: NodeEntry = { node: 'n:1', zone: 'a', epoch: 1, revision: 1, state: 'up' }
  const source = { nextEntry: () => entry, crashReports: () => [] }
  const feed = new ControlFeed([outsider], source, new SystemClock(), new SeededRandom(1), SILENT_LOG)
  feed.start()
  for (let i = 0; i < 150 && feed.routing === undefined; i++) await pause()
  const { routing } = feed
  feed.dispose()
  expect(routing?.version).toBe(1)
})

// Otherwise replicas that lost their disks could form a second group with an empty configuration.
test('replicas with empty disks form no group without bootstrap', async () => {
  const seeds = await findFreeAddresses(3)
  for (const seed of seeds) await start(seed, seeds, false)
  for (let i = 0; i < 50; i++) await pause()
  expect(seeds.map(seed => readMembers(seed))).toEqual([[], [], []])
})

// A 412 for the first copy of a call would be followed by the acceptance of the second.
test('a change on a base that is yet to come is not refused', async () => {
  const seeds = await findFreeAddresses(3)
  for (const seed of seeds) await start(seed, seeds, true)
  await changeRouting(1, 0)
  const leader = [...daemons.values()].find(daemon => daemon.isLeader)!
  expect(await leader.change(makeChange(3, 2))).toMatchObject({ type: 'undecided', state: 'not-run' })
  await changeRouting(2, 1)
  await changeRouting(3, 2)
  await changeRouting(2, 1)
})

/** Longest time until a change is acknowledged: `Ack` of the platform, in milliseconds. */
const ACK_MS = 4000

// The leader would refuse all changes for as long as its disk is full, although the others could decide them.
test('a leader whose disk is full leaves the lead to another replica', async () => {
  const seeds = await findFreeAddresses(3)
  const disks = new Map<string, DisposableDisk>()
  for (const seed of seeds) disks.set(seed, await start(seed, seeds, true))
  await changeRouting(1, 0)
  const former = findLeader() as string
  disks.get(former)!.faults.freeBytes = 0
  const startMs = performance.now()
  for (let version = 2; version < 5; version++) await changeRouting(version, version - 1)
  expect(performance.now() - startMs).toBeLessThan(ACK_MS)
  expect(findLeader()).not.toBe(former)
  disks.get(former)!.faults.freeBytes = Infinity
  await awaitVersion(former, 4)
})

test('a replica tells how long a connected node lacked a version', async () => {
  const [address] = await findFreeAddresses(1) as [string]
  const daemon = await startAlone(address)
  const metrics = new RouteControlMetrics(() => daemon.gauges)
  const confirmed: number[] = []
  daemon.onConfirmation(confirmation => {
    metrics.countDelivery(confirmation)
    confirmed.push(confirmation.version)
  })
  const entry: NodeEntry = { node: 'n:1', zone: 'a', epoch: 1, revision: 1, state: 'up' }
  const source = { nextEntry: () => entry, crashReports: () => [] }
  const feed = new ControlFeed([address], source, new SystemClock(), new SeededRandom(1), SILENT_LOG)
  expect(feed.silentMs).toBe(Infinity)
  feed.start()
  await changeRouting(1, 0)
  while (!confirmed.includes(1)) await pause()
  await changeRouting(2, 1)
  while (!confirmed.includes(2)) await pause()
  expect(feed.silentMs).toBeLessThan(10_000)
  feed.dispose()
  expect(await metrics.text()).toContain(`sassafras_control_delivery_seconds_count ${confirmed.length}`)
  expect(await metrics.text()).toContain('sassafras_control_delivery_wait_seconds 0')
})
