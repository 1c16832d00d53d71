import type { ControlToNode } from '../../control/Types.js'
import { ConfigurationFollower } from '../../parts/configuration/ConfigurationFollower.js'
import { CONTROL_SOURCE } from '../../parts/configuration/Constants.js'
import type { FollowerAction, FollowerEvent, FollowerState, VersionedConfiguration } from '../../parts/configuration/Types.js'
import type { NodeId } from '../../parts/Types.js'
import { Emitter } from '../../platform/Emitter.js'
import type { Clock, Disposable, Log } from '../../platform/Types.js'
import type { SharedFrame } from '../mesh/Types.js'
import type { ControlLinks } from './ControlLinks.js'

/** Sends a frame to one other node, if a connection to it is open. */
export interface PeerSender {
  sendToPeer (node: NodeId, frame: SharedFrame): void
  /** Some nodes with an open connection. */
  samplePeers (count: number): NodeId[]
}

type ActionHandlers = { [Type in FollowerAction['type']]: (action: Extract<FollowerAction, { type: Type }>) => void }

/** Nodes that hear at each heartbeat which version this node has. */
const VERSION_FANOUT = 2

/** Hosts the configuration follower: hears control and peers, and tells when a version comes into force. */
export class ConfigurationHost implements Disposable {
  private readonly follower: ConfigurationFollower
  private readonly applied = new Emitter<VersionedConfiguration>()
  private readonly handlers: ActionHandlers
  private readonly timer: NodeJS.Timeout

  /**
   * @param mayBeat Asks the measuring budget for one heartbeat.
   */
  public constructor (
    private readonly links: ControlLinks,
    private readonly peers: PeerSender,
    private readonly clock: Clock,
    private readonly log: Log,
    options: { readonly heartbeatMs: number, readonly leaseMs: number },
    private readonly mayBeat: () => boolean
  ) {
    this.follower = new ConfigurationFollower({ leaseMs: options.leaseMs })
    this.handlers = {
      apply: action => this.apply(action.copy),
      askCopy: action => this.askCopy(action.from),
      offer: action => this.peers.sendToPeer(action.to, { type: 'peerVersion', version: action.version }),
      state: action => this.log.info({ state: action.state, version: this.follower.version }, 'configuration state')
    }
    links.onFrame(frame => this.handleFrame(frame))
    links.onHome(() => this.beat())
    this.timer = setInterval(() => this.beat(), options.heartbeatMs)
  }

  /** Fires with each configuration that comes into force here. */
  public readonly onApply = this.applied.event

  /** The configuration in force; undefined until one is confirmed. */
  public get inForce (): VersionedConfiguration | undefined {
    return this.follower.inForce
  }

  /** State at this moment. */
  public get state (): FollowerState {
    return this.follower.state(this.clock.nowMs())
  }

  /** Hears another node's frame about configuration. */
  public takePeerFrame (from: NodeId, frame: SharedFrame): void {
    if (frame.type === 'peerVersion' || frame.type === 'peerHello') {
      this.step({ type: 'peerVersion', from, version: frame.version })
    }
    if (frame.type === 'copy') this.step({ type: 'copy', from, confirmed: false, copy: frame.copy })
    if (frame.type === 'askCopy' && this.inForce !== undefined) {
      this.peers.sendToPeer(from, { type: 'copy', copy: this.inForce })
    }
  }

  /** Bounded description for the state dump. */
  public describe (): object {
    return { state: this.state, version: this.follower.version, counters: this.follower.counters }
  }

  /** Stops the heartbeats. */
  public dispose (): void {
    clearInterval(this.timer)
  }

  private handleFrame (frame: ControlToNode): void {
    if (frame.type === 'copy' || frame.type === 'difference') this.step({ ...frame, from: CONTROL_SOURCE })
    if (frame.type === 'confirm') this.step(frame)
  }

  private beat (): void {
    this.step({ type: 'tick' })
    if (!this.mayBeat()) return
    const copy = this.inForce
    this.links.beat(copy?.version ?? 0, copy?.term ?? 0)
    if (copy === undefined) return
    for (const node of this.peers.samplePeers(VERSION_FANOUT)) {
      this.peers.sendToPeer(node, { type: 'peerVersion', version: copy.version })
    }
  }

  private step (event: FollowerEvent): void {
    for (const action of this.follower.step(event, this.clock.nowMs())) {
      const handler = this.handlers[action.type] as (action: FollowerAction) => void
      handler(action)
    }
  }

  private apply (copy: VersionedConfiguration): void {
    this.log.info({ version: copy.version, operation: copy.operation }, 'configuration in force')
    this.applied.fire(copy)
  }

  private askCopy (from: string): void {
    if (from === CONTROL_SOURCE) this.links.sendHome({ type: 'askCopy' })
    else this.peers.sendToPeer(from, { type: 'askCopy' })
  }
}
