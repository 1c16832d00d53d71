import type { ControlToNode } from '../../control/Types.js'
import { ConfigurationFollower } from '../../parts/configuration/ConfigurationFollower.js'
import { CONTROL_SOURCE } from '../../parts/configuration/Constants.js'
import type { FollowerAction, FollowerEvent, FollowerState, VersionedConfiguration } from '../../parts/configuration/Types.js'
import type { NodeId } from '../../parts/Types.js'
import { Emitter } from '../../runtime/Emitter.js'
import type { Clock, Disposable, Log } from '../../runtime/Types.js'
import type { SharedFrame } from '../mesh/Types.js'
import type { ControlLinks } from './ControlLinks.js'

/** Sends frames to other nodes over the open connections. */
export interface PeerSender {
  /** Sends a frame to one node; it is dropped when there is no connection to it. */
  sendToPeer (node: NodeId, frame: SharedFrame): void
  /** Up to `count` nodes with an open connection, starting at a random one. */
  samplePeers (count: number): NodeId[]
}

type ActionHandlers = { [Type in FollowerAction['type']]: (action: Extract<FollowerAction, { type: Type }>) => void }

/** Number of nodes to which each heartbeat sends the version in force here. */
const VERSION_FANOUT = 2

/**
 * Keeps the node's configuration current: receives it from control and from other nodes, sends requests and heartbeats,
 * and notifies listeners when a version comes into force.
 */
export class ConfigurationHost implements Disposable {
  private readonly _follower: ConfigurationFollower
  private readonly _applied = new Emitter<VersionedConfiguration>()
  private readonly _handlers: ActionHandlers
  private readonly _timer: NodeJS.Timeout

  /**
   * @param options Interval of heartbeats, and validity of a confirmation, in milliseconds.
   * @param _maySendHeartbeat Returns whether the budget for control traffic allows one more heartbeat, and charges it.
   */
  public constructor (
    private readonly _links: ControlLinks,
    private readonly _peers: PeerSender,
    private readonly _clock: Clock,
    private readonly _log: Log,
    options: { readonly heartbeatMs: number, readonly leaseMs: number },
    private readonly _maySendHeartbeat: () => boolean
  ) {
    this._follower = new ConfigurationFollower({ leaseMs: options.leaseMs })
    this._handlers = {
      apply: action => this._apply(action.copy),
      askCopy: action => this._askCopy(action.from),
      offer: action => this._peers.sendToPeer(action.to, { type: 'peerVersion', version: action.version }),
      state: action => this._log.info({ state: action.state, version: this._follower.version }, 'configuration state changed')
    }
    _links.onFrame(frame => this._onFrame(frame))
    _links.onHomeReady(() => this._sendHeartbeat())
    this._timer = setInterval(() => this._sendHeartbeat(), options.heartbeatMs)
  }

  /** Fires with each configuration that comes into force at this node. */
  public readonly onApply = this._applied.event

  /** The configuration in force; undefined until one is confirmed. */
  public get inForce (): VersionedConfiguration | undefined {
    return this._follower.inForce
  }

  /** Current state; it becomes stale when the lease expires. */
  public get state (): FollowerState {
    return this._follower.state(this._clock.nowMs())
  }

  /** Handles a frame of another node about the configuration; ignores other frames. */
  public handlePeerFrame (from: NodeId, frame: SharedFrame): void {
    if (frame.type === 'peerVersion' || frame.type === 'peerHello') {
      this._step({ type: 'peerVersion', from, version: frame.version })
    }
    if (frame.type === 'copy') this._step({ type: 'copy', from, confirmed: false, copy: frame.copy })
    if (frame.type === 'askCopy' && this.inForce !== undefined) {
      this._peers.sendToPeer(from, { type: 'copy', copy: this.inForce })
    }
  }

  /** Description for the state dump, of bounded size. */
  public describe (): object {
    return { state: this.state, version: this._follower.version, counters: this._follower.counters }
  }

  /** Stops the heartbeats. */
  public dispose (): void {
    clearInterval(this._timer)
  }

  private _onFrame (frame: ControlToNode): void {
    if (frame.type === 'copy' || frame.type === 'difference') this._step({ ...frame, from: CONTROL_SOURCE })
    if (frame.type === 'confirm') this._step(frame)
  }

  private _sendHeartbeat (): void {
    this._step({ type: 'tick' })
    if (!this._maySendHeartbeat()) return
    const copy = this.inForce
    this._links.sendHeartbeat(copy?.version ?? 0, copy?.term ?? 0)
    if (copy === undefined) return
    for (const node of this._peers.samplePeers(VERSION_FANOUT)) {
      this._peers.sendToPeer(node, { type: 'peerVersion', version: copy.version })
    }
  }

  private _step (event: FollowerEvent): void {
    for (const action of this._follower.step(event, this._clock.nowMs())) {
      const handler = this._handlers[action.type] as (action: FollowerAction) => void
      handler(action)
    }
  }

  private _apply (copy: VersionedConfiguration): void {
    this._log.info({ version: copy.version, operation: copy.operation }, 'configuration in force')
    this._applied.fire(copy)
  }

  private _askCopy (from: string): void {
    if (from === CONTROL_SOURCE) this._links.sendToHome({ type: 'askCopy' })
    else this._peers.sendToPeer(from, { type: 'askCopy' })
  }
}
