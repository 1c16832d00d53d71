import { readFileSync } from 'node:fs'
import type { ControlToNode, NodeToControl } from '../../src/control/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { FrameClient } from '../../src/runtime/FrameClient.js'
import { SystemClock } from '../../src/runtime/SystemClock.js'
import { ControlGroup } from './ControlGroup.js'
import { makeConfiguration } from './Restart.js'
import { round, type Quantiles, computeQuantiles } from './Quantiles.js'

const NODE_COUNTS = [10, 50, 150, 600]
const CHANGES = 20
const HEARTBEAT_MS = 500
const REST_MS = 8000
const CLOCK_TICKS_PER_SECOND = 100

/** Cost of nodes that only follow the configuration, and the time until all have a change. */
interface RolloutCost {
  readonly nodes: number
  /** From sending a change until the last node has it. */
  readonly untilAllHaveMs: Quantiles
  /** Bytes that one node sends and receives per second without changes, frame headers included. */
  readonly bytesPerNodeSecond: number
  /** Share of one core that the three replicas use together at rest, in percent. */
  readonly controlCorePercent: number
}

/**
 * Measures changes and heartbeats with nodes distributed over the replicas of a group of three processes.
 * @param folder Folder on the disk to measure.
 */
export async function measureRollout (folder: string): Promise<RolloutCost[]> {
  const costs: RolloutCost[] = []
  for (const nodes of NODE_COUNTS) costs.push(await measure(`${folder}/${nodes}`, nodes))
  return costs
}

/** Follows the configuration like a node and does nothing else. */
class ListeningNode {
  public version = 0
  private readonly _client: FrameClient<ControlToNode, NodeToControl>
  private readonly _timer: NodeJS.Timeout

  public constructor (address: string, node: string, onVersion: () => void) {
    this._client = new FrameClient(address, new SystemClock(), new SeededRandom(1))
    this._client.onChannel(channel => {
      const place = { region: 'kyushu', zone: 'fukuoka' }
      channel.onMessage(frame => {
        const before = this.version
        if (frame.type === 'copy') this.version = frame.copy.version
        if (frame.type === 'difference') this.version = frame.difference.version
        if (frame.type === 'confirm') this.version = frame.version
        if (this.version !== before) onVersion()
      })
      channel.send({ type: 'nodeHello', node, incarnation: 1, place, version: 0 })
      this._sendHeartbeat()
    })
    this._timer = setInterval(() => this._sendHeartbeat(), HEARTBEAT_MS)
  }

  public async connect (): Promise<void> {
    const connected = new Promise<void>(resolve => this._client.onChannel(() => resolve()))
    this._client.start()
    await connected
  }

  public get bytes (): number {
    const { channel } = this._client
    return channel === undefined ? 0 : channel.bytes.received + channel.bytes.sent
  }

  public dispose (): void {
    clearInterval(this._timer)
    this._client.dispose()
  }

  private _sendHeartbeat (): void {
    this._client.channel?.send({ type: 'heartbeat', version: this.version, term: 1, askedAtMs: performance.now() })
  }
}

async function measure (folder: string, count: number): Promise<RolloutCost> {
  const group = await ControlGroup.create(folder, 3)
  group.start()
  const leader = await group.leader()
  let checkVersions: () => void = () => {}
  const nodes = Array.from({ length: count }, (_, index) =>
    new ListeningNode(group.addresses[index % group.size]!, `node-${index}`, () => checkVersions()))
  await Promise.all(nodes.map(async node => await node.connect()))
  const times: number[] = []
  for (let base = 0; base < CHANGES; base++) {
    const all = new Promise<void>(resolve => {
      checkVersions = () => { if (nodes.every(node => node.version === base + 1)) resolve() }
    })
    const startMs = performance.now()
    await group.changeWithRetries(leader, { operation: `operation-${base}`, base, configuration: makeConfiguration(base) })
    await all
    times.push(performance.now() - startMs)
  }
  const rest = await measureRest(group, nodes)
  nodes.forEach(node => node.dispose())
  await group.stop()
  return { nodes: count, untilAllHaveMs: computeQuantiles(times), ...rest }
}

async function measureRest (
  group: ControlGroup,
  nodes: readonly ListeningNode[]
): Promise<Pick<RolloutCost, 'bytesPerNodeSecond' | 'controlCorePercent'>> {
  const sumBytes = (): number => nodes.reduce((sum, node) => sum + node.bytes, 0)
  const before = { bytes: sumBytes(), cpu: cpuSeconds(group.pids) }
  const startMs = performance.now()
  await new Promise(resolve => setTimeout(resolve, REST_MS))
  const seconds = (performance.now() - startMs) / 1000
  return {
    bytesPerNodeSecond: round((sumBytes() - before.bytes) / seconds / nodes.length),
    controlCorePercent: round((cpuSeconds(group.pids) - before.cpu) / seconds * 100)
  }
}

/** Returns the processor time that processes have used so far, in seconds. */
function cpuSeconds (pids: readonly number[]): number {
  const ticks = pids.map(pid => {
    const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
    return Number(fields[11]) + Number(fields[12])
  })
  return ticks.reduce((sum, each) => sum + each, 0) / CLOCK_TICKS_PER_SECOND
}
