import { afterEach, expect, test } from 'vitest'
import { findFreeAddresses } from '../demo/FreePorts.js'
import { MemoryDisk } from '../parts/storage/MemoryDisk.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import type { RoutingChange } from '../parts/routing/Types.js'
import type { Disposable, Log } from '../runtime/Types.js'
import { SystemClock } from '../runtime/SystemClock.js'
import { RouteControlDaemon } from './RouteControlDaemon.js'

const SILENT: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

type HeldDisk = MemoryDisk & Disposable

const running = new Map<string, RouteControlDaemon>()

afterEach(() => {
  for (const daemon of running.values()) daemon.dispose()
  running.clear()
})

function makeDisk (): HeldDisk {
  return Object.assign(new MemoryDisk(), { dispose: () => {} })
}

async function start (
  address: string, seeds: readonly string[], bootstrap: boolean, disk = makeDisk()
): Promise<HeldDisk> {
  const daemon = new RouteControlDaemon({
    settings: { address, seeds, bootstrap, toleratedLosses: 1 },
    disk,
    clock: new SystemClock(),
    random: new SeededRandom(running.size + 1),
    log: SILENT,
    onFault: error => { throw error }
  })
  running.set(address, daemon)
  await daemon.start()
  return disk
}

function stop (address: string): void {
  running.get(address)?.dispose()
  running.delete(address)
}

async function pause (): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, 20))
}

/** Makes a change at whoever leads, as often as it takes. */
async function change (version: number, base: number): Promise<void> {
  const limits = { maxHeaderBytes: version, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  const request: RoutingChange = { type: 'replace', version, base, configuration: { routes: [], services: [], limits } }
  for (;;) {
    const leader = [...running.values()].find(daemon => daemon.leads)
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
    const read = await running.get(address)?.read()
    if (read?.type === 'confirmed' && read.routing.version === version) return
    await pause()
  }
}

function membersOf (address: string): string[] {
  const state = running.get(address)?.state() as { replica: { members: string[] } }
  return state.replica.members
}

test('the seeds form one group and all of them serve reads of the newest version', async () => {
  const seeds = await findFreeAddresses(3)
  for (const seed of seeds) await start(seed, seeds, true)
  await change(3, 0)
  for (const seed of seeds) await awaitVersion(seed, 3)
  expect(new Set(seeds.map(seed => membersOf(seed).join())).size).toBe(1)
})

test('an emptied disk joins as another replica and the group goes on', async () => {
  const seeds = await findFreeAddresses(3)
  for (const seed of seeds) await start(seed, seeds, true)
  await change(1, 0)
  const [emptied] = seeds as [string]
  const before = membersOf(emptied)
  stop(emptied)
  await start(emptied, seeds, false)
  await awaitVersion(emptied, 1)
  while (membersOf(emptied).length !== 3) await pause()
  expect(membersOf(emptied)).not.toEqual(before)
  await change(2, 1)
  await awaitVersion(emptied, 2)
})

test('a removed replica is replaced by one at another address that knows only the seeds', async () => {
  const [a, b, c, d] = await findFreeAddresses(4) as [string, string, string, string]
  for (const seed of [a, b, c]) await start(seed, [a, b, c], true)
  await change(1, 0)
  stop(c)
  await start(d, [a, b, c], false)
  while (membersOf(a).length !== 3 || !membersOf(a).some(member => member.startsWith(d))) await pause()
  expect(membersOf(a).some(member => member.startsWith(c))).toBe(false)
  await change(2, 1)
  await awaitVersion(d, 2)
})

test('a replica alone serves no read as current', async () => {
  const seeds = await findFreeAddresses(3)
  const disks = new Map<string, HeldDisk>()
  for (const seed of seeds) disks.set(seed, await start(seed, seeds, true))
  await change(1, 0)
  const [alone, ...others] = seeds as [string, string, string]
  others.forEach(stop)
  while (running.get(alone)?.leads === true) await pause()
  expect(await running.get(alone)?.read()).toEqual({ type: 'unconfirmed' })
  for (const other of others) await start(other, seeds, false, disks.get(other) as HeldDisk)
  await awaitVersion(alone, 1)
})

test('empty disks without bootstrap form no group', async () => {
  const seeds = await findFreeAddresses(3)
  for (const seed of seeds) await start(seed, seeds, false)
  for (let i = 0; i < 50; i++) await pause()
  expect(seeds.map(seed => membersOf(seed))).toEqual([[], [], []])
})
