import { afterEach, expect, test } from 'vitest'
import { findFreeAddresses } from '../demo/FreePorts.js'
import { NodeDirectory } from '../parts/instances/NodeDirectory.js'
import type { RoutingChange } from '../parts/routing/Types.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import { MemoryDisk } from '../parts/storage/MemoryDisk.js'
import { ControlFeed } from '../routenode/ControlFeed.js'
import { QuotaHost } from '../routenode/QuotaHost.js'
import type { RouteNodeMetrics } from '../routenode/RouteNodeMetrics.js'
import type { GatewayRequest } from '../routenode/Types.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Disposable, Log } from '../runtime/Types.js'
import { RouteControlDaemon } from './RouteControlDaemon.js'

const SILENT_LOG: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const QUOTA = { ratePerS: 4, burst: 10 }
const BOUND = (QUOTA.ratePerS * 5 + QUOTA.burst) * 1.1 + 20

const clock = new SystemClock()
const opened: Disposable[] = []
const daemons = new Map<string, RouteControlDaemon>()

afterEach(() => {
  opened.splice(0).forEach(item => item.dispose())
  for (const daemon of daemons.values()) daemon.dispose()
  daemons.clear()
})

async function pause (): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, 20))
}

async function startReplica (address: string, seeds: readonly string[]): Promise<void> {
  const daemon = new RouteControlDaemon({
    settings: { address, seeds, bootstrap: true, toleratedLosses: 1 },
    disk: Object.assign(new MemoryDisk(), { dispose: () => {} }),
    clock,
    random: new SeededRandom(daemons.size + 1),
    log: SILENT_LOG,
    onFault: error => { throw error }
  })
  daemons.set(address, daemon)
  await daemon.start()
}

function findLeader (): string | undefined {
  return [...daemons].find(([, daemon]) => daemon.isLeader)?.[0]
}

async function configure (): Promise<void> {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  const workspaces = [{ name: 'w', keys: [], ...QUOTA }]
  const configuration = { routes: [], services: [], limits, workspaces }
  const change: RoutingChange = { type: 'replace', version: 1, base: 0, configuration }
  for (;;) {
    const outcome = await daemons.get(findLeader() ?? '')?.change(change)
    if (outcome?.type === 'decided') return
    await pause()
  }
}

/** The part of a node that takes credits. */
class CreditTaker {
  /** When requests were admitted, and whether that was by a credit. */
  public readonly admittedAtMs: number[] = []
  public granted = 0
  private readonly _feed: ControlFeed
  private readonly _host: QuotaHost

  public constructor (index: number, replica: string) {
    const random = new SeededRandom(index + 10)
    const entry = { node: `n${index}:1`, zone: 'a', epoch: 1, revision: 1, state: 'up' } as const
    this._feed = new ControlFeed([replica], {
      nextEntry: () => entry, crashReports: () => []
    }, clock, random, SILENT_LOG)
    this._host = new QuotaHost({
      self: entry.node,
      incarnation: () => 1,
      directory: new NodeDirectory(),
      clock,
      random,
      metrics: {
        countQuota: (outcome: string) => { if (outcome === 'granted') this.granted++ }
      } as unknown as RouteNodeMetrics,
      send: message => this._feed.sendQuotaMessage(message)
    })
    this._feed.onQuotaAnswer(answer => this._host.receive(answer))
    this._feed.onWelcome(() => this._host.notifyConnected())
    this._feed.start()
    opened.push(this._feed, this._host)
  }

  public get replica (): string | undefined {
    return this._feed.replicaAddress
  }

  public request (): void {
    const arrivedAtMs = clock.nowMs()
    const request = {
      workspace: { name: 'w', priority: 0, quota: QUOTA },
      arrivedAtMs,
      deadlineMs: 2000,
      objectiveAtMs: arrivedAtMs + 2000,
      route: { timeoutMs: 2000 }
    } as unknown as GatewayRequest
    this._host.openCredit(request).request(() => this.admittedAtMs.push(clock.nowMs()), () => {})
  }
}

// Each node is connected to another replica, and only one of the replicas leads.
test('nodes at all replicas share one quota, also when the leader is lost', async () => {
  const seeds = await findFreeAddresses(3)
  for (const seed of seeds) await startReplica(seed, seeds)
  await configure()
  const takers = seeds.map((seed, index) => new CreditTaker(index, seed))
  while (takers.some(({ replica }) => replica === undefined)) await pause()
  expect(new Set(takers.map(({ replica }) => replica)).size).toBe(3)
  const requestUntil = async (isDone: () => boolean): Promise<void> => {
    while (!isDone()) {
      takers.forEach(taker => taker.request())
      await pause()
    }
  }
  const countGranted = (): number => takers.reduce((sum, { granted }) => sum + granted, 0)
  await requestUntil(() => takers.filter(({ granted }) => granted > 0).length > 1)
  await requestUntil(() => countGranted() >= 30)
  const leader = findLeader() as string
  daemons.get(leader)?.dispose()
  daemons.delete(leader)
  const before = countGranted()
  await requestUntil(() => countGranted() >= before + 10)
  const times = takers.flatMap(({ admittedAtMs }) => admittedAtMs)
  const peak = Math.max(...times.map(first => times.filter(atMs => atMs >= first && atMs < first + 5000).length))
  expect(peak).toBeLessThanOrEqual(BOUND)
})
