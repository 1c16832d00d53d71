import type { Configuration } from '../../src/parts/configuration/Types.js'
import { ControlGroup } from './ControlGroup.js'
import { round } from './Quantiles.js'

const CHANGES = 1000
const SERVICES = 14

/** Cost of restarting a whole group after many changes. */
interface RestartCost {
  readonly changes: number
  readonly changesPerSecond: number
  /** From the start of the processes until each serves the newest version by quorum read. */
  readonly untilServedMs: number
  readonly version: number
}

/**
 * Makes changes, kills all replicas at once and measures the time until all serve the newest version again.
 * @param folder Folder on the disk to measure.
 */
export async function measureRestart (folder: string): Promise<RestartCost> {
  const group = await ControlGroup.create(folder, 3)
  group.start()
  const leader = await group.leader()
  const startMs = performance.now()
  for (let base = 0; base < CHANGES; base++) {
    const change = { operation: `operation-${base}`, base, configuration: makeConfiguration(base) }
    const reply = await group.changeWithRetries(leader, change)
    if (reply.type !== 'accepted') throw new Error(`answered ${JSON.stringify(reply)}`)
  }
  const changesPerSecond = round(CHANGES / (performance.now() - startMs) * 1000)
  await group.stop()
  const restartMs = performance.now()
  group.start()
  const versions = await Promise.all(group.addresses.map((_, index) => awaitServedVersion(group, index)))
  const untilServedMs = round(performance.now() - restartMs)
  await group.stop()
  return { changes: CHANGES, changesPerSecond, untilServedMs, version: Math.min(...versions) }
}

async function awaitServedVersion (group: ControlGroup, index: number): Promise<number> {
  await group.awaitState(index, state => state.replica.leader !== undefined)
  for (;;) {
    const served = await group.configuration(index)
    if (served !== undefined) return served.version
  }
}

/**
 * Returns a configuration of a few services that varies with a number.
 * @param number Any number.
 */
export function makeConfiguration (number: number): Configuration {
  const services = Array.from({ length: SERVICES }, (_, index) => ({
    name: `service-${index}`,
    guarded: ['POST /checkouts'],
    downloads: ['GET /packs'],
    keyless: 'refuse' as const,
    deadlineMs: 1000 + (index === number % SERVICES ? number : 0),
    drainMs: 60_000,
    retryShare: 0.1,
    maxBodyBytes: 1_000_000
  }))
  return { services, zones: [{ region: 'kyushu', zone: 'fukuoka' }], measuring: { bytesPerSecond: 1000, messagesPerCall: 0.1 } }
}
