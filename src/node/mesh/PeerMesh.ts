import type { CrashReport } from '../../parts/quarantine/Types.js'
import type { Incarnation, InstanceId, LoadEvidence, NodeId, Random } from '../../parts/Types.js'
import { Emitter } from '../../runtime/Emitter.js'
import type { FrameChannel } from '../../runtime/FrameChannel.js'
import type { Clock, Disposable, Log } from '../../runtime/Types.js'
import type { PeerSender } from '../control/ConfigurationHost.js'
import type { TargetSource } from '../ingress/Types.js'
import type { CallTarget } from '../Types.js'
import { PeerLink } from './PeerLink.js'
import type { PeerLinkOptions } from './PeerLink.js'
import { PeerSession } from './PeerSession.js'
import type { PeerHost } from './PeerSession.js'
import type { PeerHello, SharedFrame, ToIngressSide, ToUpstreamSide } from './Types.js'

/** Address at which another node accepts connections. */
export interface PeerAddress {
  readonly node: NodeId
  readonly address: string
}

/** Change of a link: it opened or was lost. */
export interface LinkChange {
  readonly node: NodeId
  readonly open: boolean
}

/** Load evidence that a node sent in answer to a probe. */
export interface PeerEvidence {
  readonly node: NodeId
  readonly evidence: LoadEvidence
}

/** A frame from another node that belongs to no call. */
export interface PeerFrame {
  readonly from: NodeId
  readonly frame: SharedFrame
}

/** Dependencies of the mesh. */
export interface PeerMeshDependencies {
  readonly node: NodeId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly random: Random
  readonly log: Log
  readonly options: PeerLinkOptions
  readonly local: CallTarget
  readonly hello: () => PeerHello
  readonly localEvidence: PeerHost['evidence']
  /** Returns whether the budget for control traffic allows one more message to another node now, and charges it. */
  readonly mayMeasure: (kind: 'heartbeat' | 'probe') => boolean
}

/**
 * Connections to and from other nodes: one outgoing link to each node with an instance of a configured service, and one
 * session for each accepted connection.
 */
export class PeerMesh implements TargetSource, PeerSender, PeerHost, Disposable {
  public readonly target: CallTarget
  private readonly _links = new Map<NodeId, PeerLink>()
  private readonly _sessions = new Set<PeerSession>()
  private readonly _sessionNodes = new Map<PeerSession, NodeId>()
  private readonly _linkChanges = new Emitter<LinkChange>()
  private readonly _evidence = new Emitter<PeerEvidence>()
  private readonly _peerFrames = new Emitter<PeerFrame>()

  public constructor (private readonly _dependencies: PeerMeshDependencies) {
    this.target = _dependencies.local
  }

  /** Fires when a link opens or is lost. */
  public readonly onLinkChange = this._linkChanges.event

  /** Fires with the load evidence that answers a probe. */
  public readonly onEvidence = this._evidence.event

  /** Fires with frames that belong to no call. */
  public readonly onPeerFrame = this._peerFrames.event

  /** Opens and closes links so that there is one to each of these nodes; a node with a new address gets a new link. */
  public setPeers (peers: readonly PeerAddress[]): void {
    const wanted = new Map(peers.map(peer => [peer.node, peer.address]))
    for (const [node, link] of this._links) {
      if (wanted.get(node) === link.address) continue
      this._links.delete(node)
      link.dispose()
    }
    for (const { node, address } of peers) {
      if (node !== this._dependencies.node && !this._links.has(node)) this._addLink(node, address)
    }
  }

  /** Accepts a connection from another node. */
  public accept (channel: FrameChannel<ToUpstreamSide, ToIngressSide>): void {
    const session = new PeerSession(channel, this)
    this._sessions.add(session)
    channel.onClose(() => {
      this._sessions.delete(session)
      this._sessionNodes.delete(session)
    })
  }

  public hello (): PeerHello {
    return this._dependencies.hello()
  }

  public evidence (service: string): LoadEvidence | undefined {
    return this._dependencies.localEvidence(service)
  }

  public handleShared (frame: SharedFrame, session: PeerSession): void {
    if (frame.type === 'peerHello') this._sessionNodes.set(session, frame.node)
    const from = this._sessionNodes.get(session)
    if (from !== undefined) this._peerFrames.fire({ from, frame })
  }

  public findTarget (instance: InstanceId): CallTarget | undefined {
    const node = parseNodeId(instance)
    return node === this._dependencies.node ? this._dependencies.local : this._links.get(node)
  }

  /** True while a call to the instance can be sent. */
  public isLinked (instance: InstanceId): boolean {
    const node = parseNodeId(instance)
    return node === this._dependencies.node || this._links.get(node)?.isOpen === true
  }

  public probe (instance: InstanceId): void {
    const link = this._links.get(parseNodeId(instance))
    if (link?.isOpen === true && this._dependencies.mayMeasure('probe')) link.probe(parseServiceName(instance))
  }

  public sendToPeer (node: NodeId, frame: SharedFrame): void {
    const link = this._links.get(node)
    if (link?.isOpen === true) {
      link.send(frame)
      return
    }
    for (const [session, from] of this._sessionNodes) {
      if (from === node) session.send(frame)
    }
  }

  public samplePeers (count: number): NodeId[] {
    const open = [...this._links].filter(([, link]) => link.isOpen).map(([node]) => node)
    const start = Math.floor(this._dependencies.random.next() * open.length)
    return open.slice(start).concat(open.slice(0, start)).slice(0, count)
  }

  /** Sends a crash report once to every connected node, over its link or else over its session. */
  public broadcastCrashReport (report: CrashReport): void {
    const reached = new Set<NodeId>()
    for (const [node, link] of this._links) {
      if (!link.isOpen) continue
      link.send({ type: 'crashReport', report })
      reached.add(node)
    }
    for (const [session, node] of this._sessionNodes) {
      if (!reached.has(node)) session.send({ type: 'crashReport', report })
    }
  }

  /** Description for the state dump, limited to 100 links. */
  public describe (): object {
    const links = [...this._links].slice(0, 100).map(([node, link]) => ({ node, open: link.isOpen, ...link.counters }))
    const sessionCalls = [...this._sessions].reduce((sum, session) => sum + session.inFlight, 0)
    return { links, sessions: this._sessions.size, sessionCalls }
  }

  /** Closes all sessions after sending their buffered frames. */
  public end (): void {
    for (const session of this._sessions) session.end()
  }

  /** Closes all connections at once. */
  public dispose (): void {
    for (const link of this._links.values()) link.dispose()
    for (const session of this._sessions) session.dispose()
  }

  private _addLink (node: NodeId, address: string): void {
    const { hello, incarnation, options, clock, random, mayMeasure } = this._dependencies
    const link = new PeerLink(address, hello, incarnation, options, clock, random, () => mayMeasure('heartbeat'))
    link.onStateChange(open => this._linkChanges.fire({ node, open }))
    link.onEvidence(evidence => this._evidence.fire({ node, evidence }))
    link.onSharedFrame(frame => this._peerFrames.fire({ from: node, frame }))
    this._links.set(node, link)
    link.connect()
  }
}

/** Returns the node of an instance id `service/node`. */
export function parseNodeId (instance: InstanceId): NodeId {
  return instance.slice(instance.indexOf('/') + 1)
}

/** Returns the service of an instance id `service/node`. */
export function parseServiceName (instance: InstanceId): string {
  return instance.slice(0, instance.indexOf('/'))
}
