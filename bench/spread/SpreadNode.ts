/** Connects a node's parts for configuration and membership in the way of the node daemon. */
import type { ControlToNode, NodeToControl } from '../../src/control/Types.js'
import { ConfigurationFollower } from '../../src/parts/configuration/ConfigurationFollower.js'
import { CONTROL_SOURCE } from '../../src/parts/configuration/Constants.js'
import type { FollowerAction, FollowerEvent } from '../../src/parts/configuration/Types.js'
import { ALL_SERVICES } from '../../src/parts/membership/Constants.js'
import { MembershipTable } from '../../src/parts/membership/MembershipTable.js'
import type { Member, MembershipAction, MembershipEvent } from '../../src/parts/membership/Types.js'
import { type Endpoint, type VirtualNetwork, createResourceUsage } from './VirtualNetwork.js'

const HOME = 'home'
const VERSION_FANOUT = 2

/** Frames between nodes. */
type PeerFrame =
  | { readonly type: 'peerVersion', readonly version: number }
  | { readonly type: 'askCopy' }
  | Extract<ControlToNode, { type: 'copy' }>

/** Options of a simulated node. */
export interface NodeOptions {
  readonly name: string
  readonly region: number
  readonly service: string
  readonly interest: readonly string[]
  readonly peers: readonly string[]
  /** Offset of its timers in milliseconds, so that the nodes don't fire at the same time. */
  readonly phaseMs: number
}

/** Simulates a node with its configuration follower and its membership table. */
export class SpreadNode implements Endpoint {
  public readonly name: string
  public readonly region: number
  public readonly resourceUsage = createResourceUsage()
  /** Virtual time at which each version came into force here. */
  public readonly appliedAtMs = new Map<number, number>()
  public home = ''
  private _follower = new ConfigurationFollower()
  private _table: MembershipTable
  private _incarnation = 1
  private _sequence = 0
  private _heartbeatCount = 0

  public constructor (private readonly _network: VirtualNetwork, private readonly _options: NodeOptions) {
    this.name = _options.name
    this.region = _options.region
    this._table = new MembershipTable({ role: 'node', self: this.name })
  }

  /** Services whose members this node receives. */
  public get interest (): readonly string[] {
    return this._options.interest
  }

  /** Members that this node considers live, over all services that it is interested in. */
  public get knownMembers (): Member[] {
    return this._options.interest.flatMap((service) => this._table.membersOf(service))
  }

  public get member (): Member {
    const place = { region: `region-${this.region}`, zone: `zone-${this.region}` }
    const address = '10.123.45.67:7400'
    const { service } = this._options
    const { name: node, _incarnation: incarnation, _sequence: sequence } = this
    return { node, service, incarnation, sequence, state: 'serving', address, place, slots: 8 }
  }

  /** True when the node has a confirmed configuration inside its lease. */
  public get isCurrent (): boolean {
    return this._follower.state(this._network.nowMs) === 'current'
  }

  public restart (): void {
    this._follower = new ConfigurationFollower()
    this._table = new MembershipTable({ role: 'node', self: this.name })
    this._incarnation += 1
    this._sequence = 0
  }

  public attach (home: string): void {
    this.home = home
    this._sequence += 1
    const { region, zone } = this.member.place
    const { name: node, _incarnation: incarnation } = this
    this._sendToHome({ type: 'nodeHello', node, incarnation, place: { region, zone }, version: this._follower.version })
    this._stepTable({ type: 'lost', from: HOME })
    this._stepTable({ type: 'announce', member: this.member })
    this._stepTable({ type: 'interest', from: HOME, services: [ALL_SERVICES] })
    const wanted = new Set(this._options.interest)
    const digests = this._table.digests().filter((digest) => wanted.has(digest.service))
    this._sendToHome({ type: 'interest', services: this._options.interest, digests })
    this._sendHeartbeat()
  }

  /** Ticks every 250 ms and sends a heartbeat every 500 ms, like the daemon. */
  public runTimers (): void {
    const phaseMs = (this._network.nowMs + this._options.phaseMs) % 500
    if (phaseMs % 250 === 0) {
      this._stepTable({ type: 'tick' })
    }
    if (phaseMs === 0 && this.home !== '') {
      const { _incarnation: incarnation, _sequence: sequence } = this
      this._sendToHome({ type: 'alive', incarnation, sequence })
      this._sendHeartbeat()
    }
  }

  public receive (from: string, message: unknown): void {
    if (from.startsWith('node-')) {
      this._receivePeer(from, message as PeerFrame)
      return
    }
    const frame = message as ControlToNode
    if (frame.type === 'copy' || frame.type === 'difference') {
      this._stepFollower({ ...frame, from: CONTROL_SOURCE })
    } else if (frame.type === 'confirm') {
      this._stepFollower(frame)
    } else if (frame.type === 'membership') {
      this._stepTable({ ...frame, type: 'merge', from: HOME })
    } else if (frame.type === 'digest') {
      this._stepTable({ type: 'digest', from: HOME, digests: frame.digests })
    }
  }

  private _receivePeer (from: string, frame: PeerFrame): void {
    if (frame.type === 'peerVersion') {
      this._stepFollower({ type: 'peerVersion', from, version: frame.version })
    } else if (frame.type === 'copy') {
      this._stepFollower({ type: 'copy', from, confirmed: false, copy: frame.copy })
    } else if (this._follower.inForce !== undefined) {
      this._network.send(this.name, from, { type: 'copy', copy: this._follower.inForce })
    }
  }

  private _sendHeartbeat (): void {
    this._stepFollower({ type: 'tick' })
    const { version } = this._follower
    const term = this._follower.inForce?.term ?? 0
    this._sendToHome({ type: 'heartbeat', version, term, askedAtMs: this._network.nowMs })
    this._heartbeatCount += 1
    if (version > 0) {
      this._notifyPeers(version)
    }
  }

  private _notifyPeers (version: number): void {
    const { peers } = this._options
    for (let index = 0; index < Math.min(VERSION_FANOUT, peers.length); index += 1) {
      const peer = peers[(this._heartbeatCount + index) % peers.length] as string
      this._network.send(this.name, peer, { type: 'peerVersion', version })
    }
  }

  private _sendToHome (frame: NodeToControl): void {
    this._network.send(this.name, this.home, frame)
  }

  private _stepFollower (event: FollowerEvent): void {
    for (const action of this._follower.step(event, this._network.nowMs)) {
      this._onFollowerAction(action)
    }
  }

  private _onFollowerAction (action: FollowerAction): void {
    if (action.type === 'apply') {
      this.appliedAtMs.set(action.copy.version, this._network.nowMs)
    } else if (action.type === 'offer') {
      this._network.send(this.name, action.to, { type: 'peerVersion', version: action.version })
    } else if (action.type === 'askCopy') {
      this._network.send(this.name, action.from === CONTROL_SOURCE ? this.home : action.from, { type: 'askCopy' })
    }
  }

  private _stepTable (event: MembershipEvent): void {
    for (const action of this._table.step(event, this._network.nowMs)) {
      this._onTableAction(action)
    }
  }

  private _onTableAction (action: MembershipAction): void {
    if (action.type === 'send') {
      this._sendToHome({ type: 'membership', members: action.members })
    } else if (action.type === 'sendDigest') {
      this._sendToHome({ type: 'digest', digests: action.digests })
    }
  }
}
