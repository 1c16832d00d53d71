import got from 'got'
import { JsonApi } from '../../platform/JsonApi.js'
import { OperatorApi } from '../../platform/OperatorApi.js'
import { OperatorGateway } from '../../platform/OperatorGateway.js'
import { findFreeAddresses } from '../../src/demo/FreePorts.js'
import type { EvacuationOrder } from '../../src/parts/evacuation/Types.js'
import type { RoutingChange } from '../../src/parts/routing/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { MemoryDisk } from '../../src/parts/storage/MemoryDisk.js'
import { RouteControlDaemon } from '../../src/routecontrol/RouteControlDaemon.js'
import type { ChangeOutcome } from '../../src/routecontrol/RoutingReplica.js'
import { parseAddress } from '../../src/runtime/Address.js'
import { SystemClock } from '../../src/runtime/SystemClock.js'
import type { Log } from '../../src/runtime/Types.js'

const SILENT_LOG: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

/** A control replica with its disk, and its interface for operators. */
interface GroupMember {
  /** Address for nodes and other replicas, `host:port`. */
  readonly address: string
  readonly operatorAddress: string
  readonly disk: MemoryDisk
  daemon: RouteControlDaemon | undefined
  api: JsonApi | undefined
}

/** Answer to an order. */
export interface OrderAnswer {
  /** 0 when the replica that was asked, or the one that it named, can't be reached. */
  readonly status: number
  readonly body: string
  /** True when the replica that was asked redirected the order. */
  readonly wasRedirected: boolean
}

/**
 * Control replicas in this process with operator interfaces, each on a loopback host of its own: a redirect names the
 * host of the leader and the port of the replica that was asked, as on VMs.
 */
export class ControlGroup {
  private readonly _members: GroupMember[] = []
  private readonly _random = new SeededRandom(1)

  /**
   * Starts replicas that form a group.
   * @param _zones Availability zones that may be evacuated.
   */
  public static async start (count: number, _zones: readonly string[]): Promise<ControlGroup> {
    const group = new ControlGroup(_zones)
    const ports = (await findFreeAddresses(2)).map(address => parseAddress(address).port)
    for (let i = 0; i < count; i++) {
      const [address, operatorAddress] = ports.map(port => `127.0.0.${2 + i}:${port}`) as [string, string]
      const disk = Object.assign(new MemoryDisk(), { dispose: () => {} })
      group._members.push({ address, operatorAddress, disk, daemon: undefined, api: undefined })
    }
    for (const member of group._members) await group._startMember(member, true)
    return group
  }

  private constructor (private readonly _zones: readonly string[]) {}

  /** Addresses for nodes, `host:port`. */
  public get addresses (): string[] {
    return this._members.map(({ address }) => address)
  }

  /** Index of the leader; undefined while there is none. */
  public get leader (): number | undefined {
    const index = this._members.findIndex(({ daemon }) => daemon?.isLeader === true)
    return index < 0 ? undefined : index
  }

  /** Index of a running replica that is not the leader. */
  public get follower (): number {
    return this._members.findIndex(({ daemon }) => daemon?.isLeader === false)
  }

  /** Proposes a change at the leader. */
  public async change (change: RoutingChange): Promise<ChangeOutcome> {
    const leader = this._members.find(({ daemon }) => daemon?.isLeader === true)?.daemon
    return await leader?.change(change) ?? { type: 'undecided', state: 'not-run' }
  }

  /** Sends an order to a replica as an operator does, without retries. */
  public async order (index: number, type: EvacuationOrder['type'], zone: string): Promise<OrderAnswer> {
    const call = type === 'start' ? 'Evacuations.Start' : 'Evacuations.End'
    const { operatorAddress } = this._members[index]!
    const options = { throwHttpErrors: false, retry: { limit: 0 } }
    try {
      const answer = await got.post(`http://${operatorAddress}/api/${call}/${zone}`, options)
      return { status: answer.statusCode, body: answer.body, wasRedirected: answer.redirectUrls.length > 0 }
    } catch {
      return { status: 0, body: '', wasRedirected: false }
    }
  }

  /** Sends an order to one replica after the other until it is acknowledged, and returns when it was. */
  public async orderUntilDone (type: EvacuationOrder['type'], zone: string): Promise<number> {
    for (let i = 0; ; i++) {
      const index = i % this._members.length
      if ((await this.order(index, type, zone)).status === 200) return performance.now()
      await new Promise(resolve => setTimeout(resolve, 50))
    }
  }

  /** Ends a replica as a power loss does: what its disk has not synced is lost. */
  public stop (index: number): void {
    const member = this._members[index]!
    member.daemon?.dispose()
    member.api?.dispose()
    member.daemon = undefined
    member.api = undefined
    member.disk.crash(this._random)
  }

  /** Starts a replica that was stopped, with its disk. */
  public async restart (index: number): Promise<void> {
    await this._startMember(this._members[index]!, false)
  }

  public dispose (): void {
    for (const { daemon, api } of this._members) {
      daemon?.dispose()
      api?.dispose()
    }
  }

  private async _startMember (member: GroupMember, bootstrap: boolean): Promise<void> {
    const { address, operatorAddress, disk } = member
    const toleratedLosses = Math.floor((this._members.length - 1) / 2)
    const daemon = new RouteControlDaemon({
      settings: { address, seeds: this.addresses, bootstrap, toleratedLosses },
      disk: Object.assign(disk, { dispose: () => {} }),
      clock: new SystemClock(),
      random: new SeededRandom(Math.floor(1e6 * this._random.next())),
      log: SILENT_LOG,
      onFault: error => { throw error }
    })
    const operators = new OperatorApi(daemon, SILENT_LOG, () => this._zones)
    const relay = daemon.serveOperators(async call => await operators.execute(call))
    const api = new JsonApi(new OperatorGateway(relay, SILENT_LOG).handlers, SILENT_LOG)
    Object.assign(member, { daemon, api })
    await daemon.start()
    await api.listen(operatorAddress)
  }
}
