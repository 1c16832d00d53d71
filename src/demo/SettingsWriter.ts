import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { findFreeAddresses } from './FreePorts.js'
import type { DemoLayout, MeshPlan, PairLayout, ReplicaLayout } from './Types.js'

const REPLICAS = 3
const ADDRESSES_PER_PAIR = 5
const LOG_LEVEL = 'info'

/** Lays a mesh out on free loopback ports and writes the settings of its processes. */
export class SettingsWriter {
  private readonly plan: MeshPlan
  private readonly folder: string

  /**
   * @param plan What the mesh is made of.
   * @param folder Empty folder that takes all files.
   */
  public constructor (plan: MeshPlan, folder: string) {
    this.plan = plan
    this.folder = folder
  }

  /** Writes all settings and returns the layout. */
  public async write (): Promise<DemoLayout> {
    const layout = await this.layOut()
    mkdirSync(this.folder, { recursive: true })
    for (const replica of layout.replicas) this.writeFile(replica.id, this.controlSettings(replica, layout))
    for (const pair of layout.pairs) {
      this.writeFile(`node-${pair.id}`, this.nodeSettings(pair, layout))
      this.writeFile(`upstream-${pair.id}`, this.upstreamSettings(pair))
    }
    this.writeFile('sassafrasctl', ctlSettings(layout))
    return layout
  }

  private async layOut (): Promise<DemoLayout> {
    const { region, zones, services } = this.plan
    const instances = Object.entries(services).flatMap(([service, count]) => {
      return Array.from({ length: count }, (_, index) => ({ service, id: `${service}-${index + 1}` }))
    })
    const addresses = await findFreeAddresses(2 * REPLICAS + ADDRESSES_PER_PAIR * instances.length)
    const next = (): string => addresses.pop() as string
    const zoneOf = (index: number): string => zones[index % zones.length] as string
    const replicas = Array.from({ length: REPLICAS }, (_, index) => {
      const id = `control-${index + 1}`
      return { id, zone: zoneOf(index), peer: next(), admin: next(), dataFolder: join(this.folder, 'data', id) }
    })
    const pairs = instances.map(({ service, id }, index) => ({
      id,
      service,
      zone: zoneOf(index),
      peer: next(),
      caller: next(),
      admin: next(),
      upstream: next(),
      upstreamAdmin: next(),
      journal: join(this.folder, `journal-${id}.jsonl`)
    }))
    return { folder: this.folder, region, replicas, pairs }
  }

  private controlSettings (replica: ReplicaLayout, layout: DemoLayout): object {
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

  private nodeSettings (pair: PairLayout, layout: DemoLayout): object {
    return {
      id: pair.id,
      place: { region: layout.region, zone: pair.zone },
      listen: { peer: pair.peer, caller: pair.caller, admin: pair.admin },
      control: layout.replicas.map(({ id, peer }) => ({ id, address: peer })),
      log: { level: LOG_LEVEL }
    }
  }

  private upstreamSettings (pair: PairLayout): object {
    const { slots, connections, services, serviceTimeMs } = this.plan
    const names = Object.keys(services)
    // Each service calls the next one, so that a chain may go as deep as a test asks.
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

  private writeFile (name: string, settings: object): void {
    writeFileSync(join(this.folder, `${name}.toml`), stringify(settings))
  }
}

function ctlSettings ({ replicas, pairs }: DemoLayout): object {
  const processes = [...replicas, ...pairs].map(({ id, admin }) => [id, admin])
  return { control: replicas.map(replica => replica.admin), processes: Object.fromEntries(processes) as object }
}
