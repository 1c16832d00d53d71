import { replicaName } from '../parts/agreement/GroupFormation.js'
import type { ReplicaId } from '../parts/Types.js'
import type { Disposable } from '../runtime/Types.js'
import { IN_FORCE_INTERVAL_MS } from './Constants.js'
import type { ControlReplica } from './ControlReplica.js'
import type { MembershipHost, MembershipPeer } from './MembershipHost.js'
import type { NodeSessions } from './NodeSessions.js'
import type { AcceptedChannel, ReplicaFrame, ReplicaHello } from './ReplicaLinks.js'
import type { MembershipFrame, ReplicaToReplica } from './Types.js'

/** Types of the membership frames that replicas exchange. */
const MEMBERSHIP_TYPES: ReadonlySet<string> = new Set(['membership', 'beats', 'digest'])

/**
 * Exchanges state with the peer replicas that isn't replicated through the log: the membership table, and the versions
 * in force at the nodes. Frames may be lost: members are synchronized again when a connection opens, and versions are
 * sent periodically.
 */
export class PeerReplicas implements Disposable {
  private readonly _peers = new Map<ReplicaId, MembershipPeer>()
  private readonly _timer: NodeJS.Timeout

  /**
   * @param _replica Replica of this process.
   * @param _membership Membership table of this replica.
   * @param _sessions Connections of nodes to this replica.
   */
  public constructor (
    private readonly _replica: ControlReplica,
    private readonly _membership: MembershipHost,
    private readonly _sessions: NodeSessions
  ) {
    _replica.links.onFrame(frame => this._onFrame(frame))
    _replica.links.onOpen(name => this._resynchronize(name))
    this._timer = setInterval(() => {
      _replica.links.broadcast({ type: 'inForce', inForce: _sessions.homeNodeVersions() })
    }, IN_FORCE_INTERVAL_MS)
  }

  /**
   * Receives frames on a connection on which another replica has sent its hello frame.
   * @param hello The replica's first frame.
   */
  public accept (channel: AcceptedChannel, hello: ReplicaHello): void {
    const id = hello.replica
    this._replica.links.accept(channel, hello)
    const send = (frame: MembershipFrame): void => this._replica.links.send(id, frame as ReplicaToReplica)
    const peer: MembershipPeer = { id, kind: 'replica', send }
    this._peers.set(id, peer)
    this._membership.attach(peer)
    channel.onClose(() => {
      this._membership.detach(peer)
      if (this._peers.get(id) === peer) this._peers.delete(id)
    })
  }

  /** Stops the periodic sending of versions. */
  public dispose (): void {
    clearInterval(this._timer)
  }

  /** Attaches the peer again, so that the membership table sends it all members. */
  private _resynchronize (name: string): void {
    for (const [id, peer] of this._peers) {
      if (replicaName(id) === name) this._membership.attach(peer)
    }
  }

  private _onFrame ({ from, frame }: ReplicaFrame): void {
    if (frame.type === 'inForce') this._sessions.mergeVersions(frame.inForce)
    const peer = this._peers.get(from)
    if (peer !== undefined && MEMBERSHIP_TYPES.has(frame.type)) this._membership.receive(peer, frame as MembershipFrame)
  }
}
