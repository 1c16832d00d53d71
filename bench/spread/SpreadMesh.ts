/** Simulates nodes and control replicas in three regions on one virtual clock. */
import { ConfigurationStore } from '../../src/parts/configuration/ConfigurationStore.js'
import type { Configuration, ServiceRule, VersionedConfiguration } from '../../src/parts/configuration/Types.js'
import { SeededRandom } from '../../src/parts/SeededRandom.js'
import { SpreadNode } from './SpreadNode.js'
import { SpreadReplica } from './SpreadReplica.js'
import { type Delays, VirtualNetwork } from './VirtualNetwork.js'

const REGIONS = 3
const NODES_PER_SERVICE = 2_200 / 140
const SERVICES_PER_NODE = 12
const PEERS_PER_NODE = 12
const TICK_MS = 250
const REPLICA_TICK_MS = 200

/** Size and link delays of a mesh. */
export interface MeshOptions {
  readonly nodes: number
  readonly replicas: number
  readonly services: number
  readonly delays: Delays
  readonly seed: number
}

/** Runs the parts of many nodes and control replicas in one process. */
export class SpreadMesh {
  public readonly network: VirtualNetwork
  public readonly nodes: SpreadNode[] = []
  public readonly replicas: SpreadReplica[] = []
  /** Virtual time at which each version was committed. */
  public readonly committedAtMs = new Map<number, number>()
  private readonly _store = new ConfigurationStore()
  private readonly _random: SeededRandom
  /** Nodes by the millisecond of a tick interval at which their timers fire. */
  private readonly _nodesByPhase: SpreadNode[][] = Array.from({ length: TICK_MS }, () => [])
  private _pushes: Array<{ readonly atMs: number, readonly replica: SpreadReplica }> = []

  public constructor (private readonly _options: MeshOptions) {
    this.network = new VirtualNetwork(_options.delays)
    this._random = new SeededRandom(_options.seed)
    this.change()
    this._addReplicas()
    this._addNodes()
  }

  /** The configuration in force at control. */
  public get inForce (): VersionedConfiguration {
    return this._store.inForce
  }

  /** Attaches every node to a random replica of its region. */
  public attachAll (): void {
    this.nodes.forEach((node) => this._attach(node))
  }

  /** Restarts one node with a new incarnation. */
  public restart (node: SpreadNode): void {
    this.replicas.find((replica) => replica.name === node.home)?.detach(node.name)
    node.restart()
    this._attach(node)
  }

  /** Disconnects one replica from its nodes, which attach to the others; returns those nodes. */
  public loseReplica (lost: SpreadReplica): SpreadNode[] {
    const moved = this.nodes.filter((node) => node.home === lost.name)
    const others = this.replicas.filter((replica) => replica !== lost)
    moved.forEach((node, index) => {
      lost.detach(node.name)
      node.attach((others[index % others.length] as SpreadReplica).name)
    })
    return moved
  }

  /** Commits a change of one service rule; replicas push it to their nodes after the delay of their link. */
  public change (): void {
    const { version } = this._store.inForce
    const configuration = makeConfiguration(this._options.services, version)
    this._store.apply({ operation: `operation-${version}`, base: version, configuration }, 1)
    this.committedAtMs.set(version + 1, this.network.nowMs)
    for (const replica of this.replicas) {
      const delayMs = replica.region === 0 ? this._options.delays.inRegionMs : this._options.delays.acrossMs
      this._pushes.push({ atMs: this.network.nowMs + delayMs, replica })
    }
  }

  /** Runs the mesh for some virtual milliseconds. */
  public run (ms: number, atEach: () => void = () => {}): void {
    for (let passed = 0; passed < ms; passed += 1) {
      atEach()
      this._pushDue()
      if (this.network.nowMs % REPLICA_TICK_MS === 0) {
        this.replicas.forEach((replica) => this.network.charge(replica, () => replica.runTimers()))
      }
      const phase = (TICK_MS - this.network.nowMs % TICK_MS) % TICK_MS
      this._nodesByPhase[phase]?.forEach((node) => this.network.charge(node, () => node.runTimers()))
      this.network.advance()
    }
  }

  /** Resets the resource usage of all processes. */
  public resetUsage (): void {
    for (const endpoint of [...this.nodes, ...this.replicas]) {
      Object.assign(endpoint.resourceUsage, { messages: 0, bytes: 0, cpuMs: 0, secondBytes: 0, peakSecondBytes: 0 })
    }
  }

  /** True when every node knows exactly the live members of the services that it is interested in. */
  public allMembersKnown (): boolean {
    const wanted = new Map<string, string[]>()
    for (const { member } of this.nodes) {
      const texts = wanted.get(member.service) ?? []
      wanted.set(member.service, texts)
      texts.push(`${member.node} ${member.incarnation}`)
    }
    return this.nodes.every((node) => {
      const known = new Set(node.knownMembers.map((member) => `${member.node} ${member.incarnation}`))
      const expected = node.interest.flatMap((service) => wanted.get(service) ?? [])
      return known.size === expected.length && expected.every((text) => known.has(text))
    })
  }

  private _attach (node: SpreadNode): void {
    const sameRegion = this.replicas.filter((replica) => replica.region === node.region)
    const index = Math.floor(this._random.next() * sameRegion.length)
    node.attach((sameRegion[index] as SpreadReplica).name)
  }

  private _pushDue (): void {
    const due = this._pushes.filter((push) => push.atMs <= this.network.nowMs)
    if (due.length > 0) {
      this._pushes = this._pushes.filter((push) => push.atMs > this.network.nowMs)
      due.forEach(({ replica }) => this.network.charge(replica, () => replica.push()))
    }
  }

  private _addReplicas (): void {
    for (let index = 0; index < this._options.replicas; index += 1) {
      const replica = new SpreadReplica(this.network, this._store, `replica-${index}`, index % REGIONS)
      this.replicas.push(replica)
      this.network.add(replica)
    }
    for (const replica of this.replicas) {
      this.replicas.filter((other) => other !== replica).forEach((other) => replica.attachReplica(other.name))
    }
  }

  private _addNodes (): void {
    const count = this._options.nodes
    const services = Math.max(1, Math.round(count / NODES_PER_SERVICE))
    for (let index = 0; index < count; index += 1) {
      const first = Math.floor(this._random.next() * services)
      const interest = Array.from({ length: Math.min(SERVICES_PER_NODE, services) }, (_, step) => {
        return serviceName((first + step) % services)
      })
      const peers = Array.from({ length: Math.min(PEERS_PER_NODE, count - 1) }, (_, step) => {
        return nodeName((index + 1 + step * 7) % count)
      }).filter((name) => name !== nodeName(index))
      const phaseMs = Math.floor(this._random.next() * 500)
      const node = new SpreadNode(this.network, {
        name: nodeName(index),
        region: index % REGIONS,
        service: serviceName(index % services),
        interest,
        peers,
        phaseMs
      })
      this._nodesByPhase[phaseMs % TICK_MS]?.push(node)
      this.nodes.push(node)
      this.network.add(node)
    }
  }
}

function nodeName (index: number): string {
  return `node-${String(index).padStart(4, '0')}`
}

function serviceName (index: number): string {
  return `service-${String(index).padStart(3, '0')}`
}

function makeConfiguration (services: number, version: number): Configuration {
  const rules: ServiceRule[] = Array.from({ length: services }, (_, index) => ({
    name: serviceName(index),
    guarded: ['POST /orders', 'PUT /orders', 'DELETE /orders'],
    downloads: ['GET /catalogues', 'GET /manuals'],
    keyless: 'refuse',
    deadlineMs: index === version % services ? 1_000 + version : 1_000,
    drainMs: 600_000,
    retryShare: 0.1,
    maxBodyBytes: 1_048_576
  }))
  const zones = Array.from({ length: 7 }, (_, index) => ({ region: `region-${index % 3}`, zone: `zone-${index}` }))
  return { services: rules, zones, measuring: { bytesPerSecond: 12_000, messagesPerCall: 0.1 } }
}
