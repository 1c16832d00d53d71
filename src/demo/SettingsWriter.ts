import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { findFreeAddresses } from './FreePorts.js'
import type { MeshLayout, MeshPlan, PairLayout, ReplicaLayout } from './Types.js'

const REPLICAS = 3
const ADDRESSES_PER_PAIR = 5
const LOG_LEVEL = 'info'

/** Assigns free loopback ports to the processes of a mesh and writes their settings. */
export class SettingsWriter {
  private readonly _plan: MeshPlan
  private readonly _folder: string

  /**
   * @param plan Services, instances and zones.
   * @param folder Empty folder for all files.
   */
  public constructor (plan: MeshPlan, folder: string) {
    this._plan = plan
    this._folder = folder
  }

  /** Writes the settings of all processes and returns their layout. */
  public async write (): Promise<MeshLayout> {
    const layout = await this._createLayout()
    mkdirSync(this._folder, { recursive: true })
    for (const replica of layout.replicas) this._writeFile(replica.id, this._controlSettings(replica, layout))
    for (const pair of layout.pairs) {
      this._writeFile(`node-${pair.id}`, this._nodeSettings(pair, layout))
      this._writeFile(`upstream-${pair.id}`, this._upstreamSettings(pair))
    }
    this._writeFile('sassafrasctl', ctlSettings(layout))
    return layout
  }

  private async _createLayout (): Promise<MeshLayout> {
    const { region, zones, services } = this._plan
    const instances = Object.entries(services).flatMap(([service, count]) => {
      return Array.from({ length: count }, (_, index) => ({ service, id: `${service}-${index + 1}` }))
    })
    const addresses = await findFreeAddresses(2 * REPLICAS + ADDRESSES_PER_PAIR * instances.length)
    const nextAddress = (): string => addresses.pop() as string
    const assignZone = (index: number): string => zones[index % zones.length] as string
    const replicas = Array.from({ length: REPLICAS }, (_, index) => {
      const id = `control-${index + 1}`
      return { id, zone: assignZone(index), peer: nextAddress(), admin: nextAddress(), dataFolder: join(this._folder, 'data', id) }
    })
    const pairs = instances.map(({ service, id }, index) => ({
      id,
      service,
      zone: assignZone(index),
      peer: nextAddress(),
      caller: nextAddress(),
      admin: nextAddress(),
      upstream: nextAddress(),
      upstreamAdmin: nextAddress(),
      journal: join(this._folder, `journal-${id}.jsonl`)
    }))
    return { folder: this._folder, region, replicas, pairs }
  }

  private _controlSettings (replica: ReplicaLayout, layout: MeshLayout): object {
    mkdirSync(replica.dataFolder, { recursive: true })
    return {
      id: replica.id,
      place: { region: layout.region, zone: replica.zone },
      listen: { peer: replica.peer, admin: replica.admin },
      dataFolder: replica.dataFolder,
      replicas: layout.replicas.map(({ id, peer, admin }) => ({ id, address: peer, admin })),
      log: { level: LOG_LEVEL }
    }
  }

  private _nodeSettings (pair: PairLayout, layout: MeshLayout): object {
    return {
      id: pair.id,
      place: { region: layout.region, zone: pair.zone },
      listen: { peer: pair.peer, caller: pair.caller, admin: pair.admin },
      control: layout.replicas.map(({ id, peer }) => ({ id, address: peer })),
      log: { level: LOG_LEVEL }
    }
  }

  private _upstreamSettings (pair: PairLayout): object {
    const { slots, connections, services, serviceTimeMs } = this._plan
    const names = Object.keys(services)
    // Each service calls the next one and the last calls the first, so that call chains can have any depth.
    const next = names[(names.indexOf(pair.service) + 1) % names.length] as string
    return {
      service: pair.service,
      instance: pair.id,
      listen: { http: pair.upstream, admin: pair.upstreamAdmin },
      node: { admin: pair.admin, caller: pair.caller },
      slots,
      connections,
      journal: pair.journal,
      chain: { next },
      serviceTime: serviceTimeMs > 0 ? { kind: 'exponential', meanMs: serviceTimeMs } : { kind: 'constant', ms: 0 },
      log: { level: LOG_LEVEL }
    }
  }

  private _writeFile (name: string, settings: object): void {
    writeFileSync(join(this._folder, `${name}.toml`), stringify(settings))
  }
}

function ctlSettings ({ replicas, pairs }: MeshLayout): object {
  const processes = [...replicas, ...pairs].map(({ id, admin }) => [id, admin])
  return { control: replicas.map(replica => replica.admin), processes: Object.fromEntries(processes) as object }
}
