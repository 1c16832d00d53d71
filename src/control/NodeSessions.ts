import type { NodeVersion, Version } from '../parts/configuration/Types.js'
import type { NodeId } from '../parts/Types.js'
import type { Clock, Disposable } from '../runtime/Types.js'
import {
  IN_FORCE_RETENTION_MS, MAX_NODE_VERSIONS, MAX_OPEN_RECORDS, MAX_SESSIONS, NODE_TIMEOUT_MS
} from './Constants.js'
import type { ControlStateMachine } from './ControlStateMachine.js'
import type { MembershipHost, MembershipPeer } from './MembershipHost.js'
import type { AcceptedChannel } from './ReplicaLinks.js'
import type { ControlToNode, MembershipFrame, NodeToControl } from './Types.js'

/** First frame of a node. */
export type NodeHello = Extract<NodeToControl, { type: 'nodeHello' }>

/** The part of the replica that the sessions use. */
export interface SessionGroup {
  /** Resolves to true once everything committed before the call is applied here, to false when that isn't confirmed. */
  readBarrier (): Promise<boolean>
  /** Proposes a record command; the reply is `notLeader` when it was not or may not have been applied. */
  proposeRecord (frame: RecordFrame): Promise<ControlToNode>
}

/** Frame with a record command of a node. */
export type RecordFrame = Extract<NodeToControl, { type: 'record' }>

/** A heartbeat that waits for a quorum read, which shows whether the node has the newest version in force. */
interface PendingHeartbeat {
  /** The node's own time of the heartbeat, returned unchanged. */
  readonly askedAtMs: number | undefined
}

/** One connection of a node. */
interface Session {
  readonly node: NodeId
  readonly channel: AcceptedChannel
  readonly peer: MembershipPeer
  /** Version that the node has in force, or that was last sent to it. */
  version: Version
  pendingHeartbeat: PendingHeartbeat | undefined
  /**
   * True once the node has sent a heartbeat here; stays true, so a former home connection is closed when idle. Other
   * connections carry only records.
   */
  isHome: boolean
  /** Record commands that wait for a commit. */
  openRecords: number
}

/** Version that a node last reported as in force. */
interface ReportedVersion {
  readonly version: Version
  readonly atMs: number
}

type NodeFrame<Type extends NodeToControl['type']> = Extract<NodeToControl, { type: Type }>

type FrameHandlers = {
  readonly [Type in NodeToControl['type']]: (session: Session, frame: NodeFrame<Type>) => void
}

/**
 * Connections of nodes to this replica. A node connects to every replica and sends heartbeats to one of them, its home.
 * Heartbeats are answered after a quorum read, which all that wait share. A changed configuration is pushed at once to
 * the nodes whose home this is, as a delta where one is available, otherwise as a full copy.
 *
 * Memory: `MAX_SESSIONS` sessions and the versions of `MAX_NODE_VERSIONS` nodes.
 */
export class NodeSessions implements Disposable {
  private readonly _sessions = new Set<Session>()
  private readonly _versions = new Map<NodeId, ReportedVersion>()
  private readonly _timer: NodeJS.Timeout
  private _isConfirming = false

  private readonly _handlers: FrameHandlers = {
    nodeHello: () => {},
    replicaHello: () => {},
    heartbeat: (session, frame) => this._onHeartbeat(session, frame),
    record: (session, frame) => { this._onRecord(session, frame).catch(() => session.channel.destroy('record command failed')) },
    askCopy: session => this._sendFullCopy(session, false),
    membership: (session, frame) => this._membership.receive(session.peer, frame),
    interest: (session, frame) => this._membership.receive(session.peer, frame),
    beats: () => {},
    digest: (session, frame) => this._membership.receive(session.peer, frame),
    alive: (session, frame) => this._membership.receive(session.peer, frame)
  }

  /**
   * @param _stateMachine Replicated state of the group.
   * @param _membership Membership table of this replica.
   * @param _group Replica of this process.
   */
  public constructor (
    private readonly _stateMachine: ControlStateMachine,
    private readonly _membership: MembershipHost,
    private readonly _group: SessionGroup,
    private readonly _clock: Clock
  ) {
    _stateMachine.onConfigurationChange(() => this._pushConfiguration())
    this._timer = setInterval(() => this._expire(), NODE_TIMEOUT_MS / 2)
  }

  /** Number of connections. */
  public get size (): number {
    return this._sessions.size
  }

  /**
   * Starts a session on a connection on which a node has sent its hello frame.
   * @param hello The node's first frame.
   */
  public accept (channel: AcceptedChannel, hello: NodeHello): void {
    if (this._sessions.size >= MAX_SESSIONS) return channel.destroy('limit of node connections reached')
    const send = (frame: MembershipFrame): void => { channel.send(frame) }
    const peer: MembershipPeer = { id: hello.node, kind: 'node', send }
    const session: Session = {
      node: hello.node,
      channel,
      peer,
      version: hello.version,
      pendingHeartbeat: undefined,
      isHome: false,
      openRecords: 0
    }
    this._sessions.add(session)
    this._membership.attach(peer)
    this._recordVersion(hello.node, hello.version, this._clock.nowMs())
    channel.onMessage(frame => this._onFrame(session, frame as NodeToControl))
    channel.onClose(() => this._remove(session))
  }

  /** Versions in force at the nodes whose home this is, for the peer replicas. */
  public homeNodeVersions (): NodeVersion[] {
    const homes = new Set([...this._sessions].filter(session => session.isHome).map(session => session.node))
    return this.nodeVersions().filter(item => homes.has(item.node))
  }

  /**
   * Merges the versions that a peer replica has received from its nodes; the newest report of a node is kept.
   * @param reported Versions of nodes, with their ages.
   */
  public mergeVersions (reported: readonly NodeVersion[]): void {
    const nowMs = this._clock.nowMs()
    reported.forEach(item => this._recordVersion(item.node, item.version, nowMs - item.heardMsAgo))
  }

  /** Last reported version in force of each node, with the age of the report in milliseconds. */
  public nodeVersions (): NodeVersion[] {
    const nowMs = this._clock.nowMs()
    return [...this._versions].map(([node, { version, atMs }]) =>
      ({ node, version, heardMsAgo: Math.round(nowMs - atMs) }))
  }

  /** Closes all connections. */
  public dispose (): void {
    clearInterval(this._timer)
    for (const session of this._sessions) session.channel.dispose()
  }

  private _onFrame (session: Session, frame: NodeToControl): void {
    const handler = this._handlers[frame.type] as ((session: Session, frame: NodeToControl) => void) | undefined
    handler?.(session, frame)
  }

  private _onHeartbeat (session: Session, frame: NodeFrame<'heartbeat'>): void {
    session.isHome = true
    session.version = frame.version
    session.pendingHeartbeat = { askedAtMs: frame.askedAtMs }
    this._recordVersion(session.node, frame.version, this._clock.nowMs())
    this._answerHeartbeats().catch(() => {})
  }

  /** One quorum read answers all heartbeats that were received before it began. */
  private async _answerHeartbeats (): Promise<void> {
    if (this._isConfirming) return
    this._isConfirming = true
    const waiting = [...this._sessions].filter(session => session.pendingHeartbeat !== undefined)
    const heartbeats = new Map(waiting.map(session => [session, session.pendingHeartbeat]))
    const confirmed = await this._group.readBarrier()
    this._isConfirming = false
    for (const [session, heartbeat] of heartbeats) {
      if (confirmed) this._answerHeartbeat(session, heartbeat!)
      if (session.pendingHeartbeat === heartbeat) session.pendingHeartbeat = undefined
    }
    if ([...this._sessions].some(session => session.pendingHeartbeat !== undefined)) await this._answerHeartbeats()
  }

  private _answerHeartbeat (session: Session, { askedAtMs }: PendingHeartbeat): void {
    const { version, term } = this._stateMachine.configurationStore.inForce
    if (session.version !== version) return this._sendLatest(session, true, askedAtMs)
    session.channel.send({ type: 'confirm', version, term, ...makeAskedAt(askedAtMs) })
  }

  private async _onRecord (session: Session, frame: RecordFrame): Promise<void> {
    if (session.openRecords >= MAX_OPEN_RECORDS) {
      const reply = { type: 'refused', reason: 'overloaded', retryAfterMs: 100 } as const
      session.channel.send({ type: 'recordReply', id: frame.id, reply })
      return
    }
    session.openRecords++
    const replyFrame = await this._group.proposeRecord(frame)
    session.openRecords--
    session.channel.send(replyFrame)
  }

  private _pushConfiguration (): void {
    const { version } = this._stateMachine.configurationStore.inForce
    for (const session of this._sessions) {
      if (session.isHome && session.version < version) this._sendLatest(session, false)
    }
  }

  private _sendLatest (session: Session, confirmed: boolean, askedAtMs?: number): void {
    const { configurationStore } = this._stateMachine
    const difference = configurationStore.deltaFrom(session.version)
    if (difference === undefined) return this._sendFullCopy(session, confirmed, askedAtMs)
    session.channel.send({ type: 'difference', confirmed, difference, ...makeAskedAt(askedAtMs) })
    // A sent version counts as in force, so that the next delta starts from it. The next heartbeat shows a loss.
    session.version = difference.version
  }

  private _sendFullCopy (session: Session, confirmed: boolean, askedAtMs?: number): void {
    const copy = this._stateMachine.configurationStore.inForce
    session.channel.send({ type: 'copy', confirmed, copy, ...makeAskedAt(askedAtMs) })
    session.version = copy.version
  }

  private _recordVersion (node: NodeId, version: Version, atMs: number): void {
    const known = this._versions.get(node)
    if (known !== undefined && known.atMs >= atMs) return
    this._versions.delete(node)
    this._versions.set(node, { version, atMs })
    if (this._versions.size > MAX_NODE_VERSIONS) this._versions.delete(this._versions.keys().next().value as NodeId)
  }

  /**
   * Closes home connections that have timed out and removes versions that were reported too long ago. Other connections
   * may be idle, since they carry only records.
   */
  private _expire (): void {
    const nowMs = this._clock.nowMs()
    for (const { channel, isHome } of this._sessions) {
      if (isHome && nowMs - channel.lastReceivedMs > NODE_TIMEOUT_MS) channel.destroy('no frame received within the node timeout')
    }
    for (const [node, { atMs }] of this._versions) {
      if (nowMs - atMs > IN_FORCE_RETENTION_MS) this._versions.delete(node)
    }
  }

  private _remove (session: Session): void {
    this._sessions.delete(session)
    this._membership.detach(session.peer)
  }
}

function makeAskedAt (askedAtMs: number | undefined): { readonly askedAtMs?: number } {
  return askedAtMs === undefined ? {} : { askedAtMs }
}
