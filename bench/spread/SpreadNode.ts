/** A node's parts for configuration and membership, joined as the node daemon joins them. */
import type { ControlToNode, NodeToControl } from '../../src/control/Types.js'
import { ConfigurationFollower } from '../../src/parts/configuration/ConfigurationFollower.js'
import { CONTROL_SOURCE } from '../../src/parts/configuration/Constants.js'
import type { FollowerAction, FollowerEvent } from '../../src/parts/configuration/Types.js'
import { ALL_SERVICES } from '../../src/parts/membership/Constants.js'
import { MembershipTable } from '../../src/parts/membership/MembershipTable.js'
import type { Member, MembershipAction, MembershipEvent } from '../../src/parts/membership/Types.js'
import { type Endpoint, type VirtualNetwork, noSpending } from './VirtualNetwork.js'

const HOME = 'home'
const VERSION_FANOUT = 2

/** Frames between nodes. */
type PeerFrame =
  | { readonly type: 'peerVersion', readonly version: number }
  | { readonly type: 'askCopy' }
  | Extract<ControlToNode, { type: 'copy' }>

export interface NodeOptions {
  readonly name: string
  readonly region: number
  readonly service: string
  readonly interest: readonly string[]
  readonly peers: readonly string[]
  /** Milliseconds by which its timers are shifted against the other nodes'. */
  readonly phaseMs: number
}

/** One node with its follower and its membership table. */
export class SpreadNode implements Endpoint {
  public readonly name: string
  public readonly region: number
  public readonly spending = noSpending()
  /** Virtual time at which each version came into force here. */
  public readonly appliedAtMs = new Map<number, number>()
  public home = ''
  private follower = new ConfigurationFollower()
  private table: MembershipTable
  private incarnation = 1
  private sequence = 0
  private beats = 0

  public constructor (private readonly network: VirtualNetwork, private readonly options: NodeOptions) {
    this.name = options.name
    this.region = options.region
    this.table = new MembershipTable({ role: 'node', self: this.name })
  }

  /** Services whose members this node hears of. */
  public get interest (): readonly string[] {
    return this.options.interest
  }

  /** Members that this node knows as live, over all services of its interest. */
  public get known (): Member[] {
    return this.options.interest.flatMap((service) => this.table.membersOf(service))
  }

  public get member (): Member {
    const place = { region: `region-${this.region}`, zone: `zone-${this.region}` }
    const address = '10.123.45.67:7400'
    const { service } = this.options
    const { name: node, incarnation, sequence } = this
    return { node, service, incarnation, sequence, state: 'serving', address, place, slots: 8 }
  }

  /** True when the node has a confirmed configuration inside its lease. */
  public get isCurrent (): boolean {
    return this.follower.state(this.network.nowMs) === 'current'
  }

  public restart (): void {
    this.follower = new ConfigurationFollower()
    this.table = new MembershipTable({ role: 'node', self: this.name })
    this.incarnation += 1
    this.sequence = 0
  }

  public attach (home: string): void {
    this.home = home
    this.sequence += 1
    const { region, zone } = this.member.place
    const { name: node, incarnation } = this
    this.toHome({ type: 'nodeHello', node, incarnation, place: { region, zone }, version: this.follower.version })
    this.stepTable({ type: 'lost', from: HOME })
    this.stepTable({ type: 'announce', member: this.member })
    this.stepTable({ type: 'interest', from: HOME, services: [ALL_SERVICES] })
    const wanted = new Set(this.options.interest)
    const digests = this.table.digests().filter((digest) => wanted.has(digest.service))
    this.toHome({ type: 'interest', services: this.options.interest, digests })
    this.beat()
  }

  /** Ticks every 250 ms and beats every 500 ms, as the daemon does. */
  public runTimers (): void {
    const phaseMs = (this.network.nowMs + this.options.phaseMs) % 500
    if (phaseMs % 250 === 0) {
      this.stepTable({ type: 'tick' })
    }
    if (phaseMs === 0 && this.home !== '') {
      const { incarnation, sequence } = this
      this.toHome({ type: 'alive', incarnation, sequence })
      this.beat()
    }
  }

  public receive (from: string, message: unknown): void {
    if (from.startsWith('node-')) {
      this.receivePeer(from, message as PeerFrame)
      return
    }
    const frame = message as ControlToNode
    if (frame.type === 'copy' || frame.type === 'difference') {
      this.stepFollower({ ...frame, from: CONTROL_SOURCE })
    } else if (frame.type === 'confirm') {
      this.stepFollower(frame)
    } else if (frame.type === 'membership') {
      this.stepTable({ ...frame, type: 'merge', from: HOME })
    } else if (frame.type === 'digest') {
      this.stepTable({ type: 'digest', from: HOME, digests: frame.digests })
    }
  }

  private receivePeer (from: string, frame: PeerFrame): void {
    if (frame.type === 'peerVersion') {
      this.stepFollower({ type: 'peerVersion', from, version: frame.version })
    } else if (frame.type === 'copy') {
      this.stepFollower({ type: 'copy', from, confirmed: false, copy: frame.copy })
    } else if (this.follower.inForce !== undefined) {
      this.network.send(this.name, from, { type: 'copy', copy: this.follower.inForce })
    }
  }

  private beat (): void {
    this.stepFollower({ type: 'tick' })
    const { version } = this.follower
    const term = this.follower.inForce?.term ?? 0
    this.toHome({ type: 'heartbeat', version, term, askedAtMs: this.network.nowMs })
    this.beats += 1
    if (version > 0) {
      this.tellPeers(version)
    }
  }

  private tellPeers (version: number): void {
    const { peers } = this.options
    for (let index = 0; index < Math.min(VERSION_FANOUT, peers.length); index += 1) {
      const peer = peers[(this.beats + index) % peers.length] as string
      this.network.send(this.name, peer, { type: 'peerVersion', version })
    }
  }

  private toHome (frame: NodeToControl): void {
    this.network.send(this.name, this.home, frame)
  }

  private stepFollower (event: FollowerEvent): void {
    for (const action of this.follower.step(event, this.network.nowMs)) {
      this.actOnFollower(action)
    }
  }

  private actOnFollower (action: FollowerAction): void {
    if (action.type === 'apply') {
      this.appliedAtMs.set(action.copy.version, this.network.nowMs)
    } else if (action.type === 'offer') {
      this.network.send(this.name, action.to, { type: 'peerVersion', version: action.version })
    } else if (action.type === 'askCopy') {
      this.network.send(this.name, action.from === CONTROL_SOURCE ? this.home : action.from, { type: 'askCopy' })
    }
  }

  private stepTable (event: MembershipEvent): void {
    for (const action of this.table.step(event, this.network.nowMs)) {
      this.actOnTable(action)
    }
  }

  private actOnTable (action: MembershipAction): void {
    if (action.type === 'send') {
      this.toHome({ type: 'membership', members: action.members })
    } else if (action.type === 'sendDigest') {
      this.toHome({ type: 'digest', digests: action.digests })
    }
  }
}
