import { afterEach, expect, test } from 'vitest'
import { findFreeAddresses } from '../demo/FreePorts.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import { MemoryDisk } from '../parts/storage/MemoryDisk.js'
import { RouteControlDaemon } from '../routecontrol/RouteControlDaemon.js'
import { OperatorRelay } from '../routecontrol/OperatorRelay.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Disposable, Log } from '../runtime/Types.js'
import { ControlFeed } from './ControlFeed.js'
import { GroupDirectory } from './GroupDirectory.js'

const SILENT: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }

const disposables = new Set<Disposable>()

afterEach(() => {
  for (const item of disposables) item.dispose()
  disposables.clear()
})

type Disk = MemoryDisk & Disposable

function makeDisk (): Disk {
  return Object.assign(new MemoryDisk(), { dispose: () => {} })
}

async function startReplica (
  address: string, seeds: readonly string[], bootstrap: boolean, disk: Disk
): Promise<RouteControlDaemon> {
  const daemon = new RouteControlDaemon({
    settings: { address, seeds, bootstrap, toleratedLosses: 1 },
    disk,
    clock: new SystemClock(),
    random: new SeededRandom(disposables.size + 1),
    log: SILENT,
    onFault: error => { throw error }
  })
  disposables.add(daemon)
  await daemon.start()
  return daemon
}

/** Starts what a node knows of control, with a directory at an address. */
async function startNode (name: string, directoryAddress: string, seeds: readonly string[]): Promise<ControlFeed> {
  const entry = { node: `${name}:1`, zone: 'a', epoch: 1, revision: 1, state: 'up' } as const
  const source = { nextEntry: () => entry, crashReports: () => [] }
  const feed = new ControlFeed(seeds, source, new SystemClock(), new SeededRandom(disposables.size + 1), SILENT)
  const directory = new GroupDirectory(feed, new SystemClock())
  disposables.add(feed).add(directory)
  await directory.listen(directoryAddress)
  feed.start()
  return feed
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 20))
}

/** Starts three replicas that have agreed on version 1, and stops them. */
async function prepareDisks (addresses: readonly string[]): Promise<Disk[]> {
  const disks = addresses.map(() => makeDisk())
  const starts = addresses.map(async (address, i) => await startReplica(address, addresses, true, disks[i]!))
  const replicas = await Promise.all(starts)
  await until(() => replicas.some(({ isLeader }) => isLeader))
  const configuration = { routes: [], services: [], limits: LIMITS }
  const leader = replicas.find(({ isLeader }) => isLeader)!
  expect((await leader.change({ type: 'replace', version: 1, base: 0, configuration })).type).toBe('decided')
  for (const replica of replicas) {
    replica.dispose()
    disposables.delete(replica)
  }
  return disks
}

// After a loss of power nobody remembers anything but the replicas, and settings may name only nodes as seeds.
test('nodes whose seeds are nodes find the group when all processes start again', async () => {
  const [a, b, c, d, e, f] = await findFreeAddresses(6) as [string, string, string, string, string, string]
  const replicaAddresses = [a, b, c]
  const seeds = [d, e]
  const disks = await prepareDisks(replicaAddresses)
  const nodes = [await startNode('n1', d, seeds), await startNode('n2', e, seeds), await startNode('n3', f, seeds)]
  for (const [i, address] of replicaAddresses.entries()) await startReplica(address, seeds, false, disks[i]!)
  await until(() => nodes.every(({ routing }) => routing?.version === 1))
})

test('nodes whose seeds are nodes find the group when all nodes start again', async () => {
  const [a, b, c, d, e] = await findFreeAddresses(5) as [string, string, string, string, string]
  const seeds = [d]
  const disks = await prepareDisks([a, b, c])
  for (const [i, address] of [a, b, c].entries()) await startReplica(address, seeds, false, disks[i]!)
  await new Promise(resolve => setTimeout(resolve, 500))
  const nodes = [await startNode('n1', d, seeds), await startNode('n2', e, seeds)]
  await until(() => nodes.every(({ routing }) => routing?.version === 1))
})

test('a replica with an empty disk whose seeds are nodes joins the group', async () => {
  const [a, b, c, d] = await findFreeAddresses(4) as [string, string, string, string]
  const disks = await prepareDisks([a, b, c])
  const feed = await startNode('n1', d, [a, b])
  for (const [i, address] of [a, b].entries()) await startReplica(address, [a, b], false, disks[i]!)
  await until(() => feed.routing?.version === 1)
  const joined = await startReplica(c, [d], false, makeDisk())
  await until(() => joined.isMember && joined.gauges.version === 1)
})

test('a relay that knows only nodes is sent on to the group', async () => {
  const [a, b, c, d] = await findFreeAddresses(4) as [string, string, string, string]
  const disks = await prepareDisks([a, b, c])
  for (const [i, address] of [a, b, c].entries()) {
    const replica = await startReplica(address, [a, b, c], false, disks[i]!)
    replica.serveOperators(async () => replica.isLeader ? { type: 'final', status: 200, body: '' } : { type: 'notLeader' })
  }
  const feed = await startNode('n1', d, [d, a])
  await until(() => feed.routing !== undefined)
  const listReplicas = (): string[] => [d, ...feed.replicaAddresses]
  const relay = new OperatorRelay({ listReplicas, clock: new SystemClock(), log: SILENT })
  disposables.add(relay)
  for (let i = 0; i < 3; i++) {
    expect(await relay.send({ operation: 'x', parameter: '', body: '' })).toMatchObject({ type: 'final', status: 200 })
  }
})
