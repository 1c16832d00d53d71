import { ALL_SERVICES } from '../parts/membership/Constants.js'
import { MembershipTable } from '../parts/membership/MembershipTable.js'
import type { MembershipAction, MembershipEvent } from '../parts/membership/Types.js'
import type { Incarnation, NodeId } from '../parts/Types.js'
import type { Clock, Disposable } from '../runtime/Types.js'
import { MEMBERSHIP_TICK_MS } from './Constants.js'
import type { MembershipFrame } from './Types.js'

/** A peer of the membership table: a connected node or a peer replica. */
export interface MembershipPeer {
  readonly id: string
  readonly kind: 'node' | 'replica'
  readonly send: (frame: MembershipFrame) => void
}

type FrameHandlers = {
  readonly [Type in MembershipFrame['type']]:
  (peer: MembershipPeer, frame: Extract<MembershipFrame, { type: Type }>) => void
}

type SendAction = Extract<MembershipAction, { readonly to: string }>

/** Runs the membership table of a control replica: exchanges members with its nodes and its peer replicas. */
export class MembershipHost implements Disposable {
  private readonly _table = new MembershipTable({ role: 'replica' })
  private readonly _peers = new Map<string, MembershipPeer>()
  private readonly _timer: NodeJS.Timeout

  private readonly _handlers: FrameHandlers = {
    membership: (peer, frame) => this._onMembers(peer, frame),
    interest: (peer, { services, digests }) =>
      this._step({ type: 'interest', from: peer.id, services, ...(digests === undefined ? {} : { digests }) }),
    beats: (peer, { beats }) => this._step({ type: 'beats', from: peer.id, beats }),
    digest: (peer, { digests }) => this._step({ type: 'digest', from: peer.id, digests }),
    alive: (peer, { incarnation, sequence }) => this.recordHeartbeat(peer.id, incarnation, sequence)
  }

  public constructor (private readonly _clock: Clock) {
    this._timer = setInterval(() => this._step({ type: 'tick' }), MEMBERSHIP_TICK_MS)
  }

  /** The membership table, for dumps. */
  public get table (): MembershipTable {
    return this._table
  }

  /** Adds a peer. A peer replica receives the members of all services, a node those that it asks for. */
  public attach (peer: MembershipPeer): void {
    this._peers.set(peer.id, peer)
    if (peer.kind === 'replica') this._step({ type: 'interest', from: peer.id, services: [ALL_SERVICES] })
  }

  /**
   * Removes a peer whose connection was lost; has no effect when a newer connection has taken its place.
   * @param peer The same object that was attached.
   */
  public detach (peer: MembershipPeer): void {
    if (this._peers.get(peer.id) !== peer) return
    this._peers.delete(peer.id)
    this._step({ type: 'lost', from: peer.id })
  }

  /** Handles a frame of a peer. */
  public receive (peer: MembershipPeer, frame: MembershipFrame): void {
    const handler = this._handlers[frame.type] as (peer: MembershipPeer, frame: MembershipFrame) => void
    handler(peer, frame)
  }

  /**
   * Records a heartbeat of a node for its own member.
   * @param node The node.
   * @param incarnation Incarnation of the node.
   * @param sequence Sequence number of its member.
   */
  public recordHeartbeat (node: NodeId, incarnation: Incarnation, sequence: number): void {
    this._step({ type: 'heartbeat', node, incarnation, sequence })
  }

  /** Stops the ticks of the table. */
  public dispose (): void {
    clearInterval(this._timer)
  }

  /** A node may announce only its own member; others that it sends are ignored. */
  private _onMembers (peer: MembershipPeer, frame: Extract<MembershipFrame, { type: 'membership' }>): void {
    const { members, whole } = frame
    if (peer.kind === 'replica') {
      this._step({ type: 'merge', from: peer.id, members, ...(whole === undefined ? {} : { whole }) })
      return
    }
    for (const member of members) {
      if (member.node === peer.id) this._step({ type: 'announce', member })
    }
  }

  private _step (event: MembershipEvent): void {
    for (const action of this._table.step(event, this._clock.nowMs())) {
      if ('to' in action) this._send(action)
    }
  }

  private _send (action: SendAction): void {
    const peer = this._peers.get(action.to)
    if (peer === undefined) return
    if (action.type === 'sendBeats') peer.send({ type: 'beats', beats: action.beats })
    else if (action.type === 'sendDigest') peer.send({ type: 'digest', digests: action.digests })
    else peer.send({ type: 'membership', members: action.members, ...(action.whole ? { whole: action.whole } : {}) })
  }
}
