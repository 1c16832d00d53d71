import type { Random } from '../parts/Types.js'
import { AdminServer, type Health } from '../platform/AdminServer.js'
import { FileDisk } from '../platform/FileDisk.js'
import { FrameServer } from '../platform/FrameServer.js'
import type { Child } from '../platform/Supervisor.js'
import { Supervisor } from '../platform/Supervisor.js'
import type { Clock, Log } from '../platform/Types.js'
import { IN_FORCE_INTERVAL_MS } from './Constants.js'
import { ControlApi } from './ControlApi.js'
import { ControlReplica } from './ControlReplica.js'
import type { ControlSettings } from './ControlSettings.js'
import { MembershipHost, type MembershipPeer } from './MembershipHost.js'
import { type NodeHello, NodeSessions } from './NodeSessions.js'
import type { AcceptedChannel, ReplicaFrame, ReplicaHello } from './ReplicaLinks.js'
import type { FromControl, MembershipFrame, ReplicaToReplica, ToControl } from './Types.js'

/** What a control daemon is built with. */
export interface ControlDaemonOptions {
  readonly settings: ControlSettings
  readonly clock: Clock
  readonly random: Random
  readonly logger: Log
  /** The process must stop: state may be lost or wrong. */
  readonly onFault: (error: Error) => void
}

/** Kinds of membership frames that replicas exchange. */
const MEMBERSHIP_FRAMES: ReadonlySet<string> = new Set(['membership', 'interest', 'beats', 'digest'])

/**
 * A control replica as a process: the replica takes the process down when it fails, the listeners are
 * started again within limits.
 */
export class ControlDaemon {
  private readonly _supervisor: Supervisor
  private _replica: ControlReplica | undefined
  private _membership: MembershipHost | undefined
  private _sessions: NodeSessions | undefined
  private readonly _fellows = new Map<string, MembershipPeer>()

  /**
   * @param _options Settings, clock, random numbers and log.
   */
  public constructor (private readonly _options: ControlDaemonOptions) {
    const { clock, logger, onFault } = _options
    this._supervisor = new Supervisor({ name: 'control', maxRestarts: 5, withinMs: 10_000 }, clock, logger, onFault)
  }

  /** Starts all parts; resolves when the listeners are open. */
  public async start (): Promise<void> {
    await this._supervisor.add({ name: 'replica', rule: 'stop-process', start: fail => this._startReplica(fail) })
    await this._supervisor.add({ name: 'peer-listener', rule: 'restart', start: () => this._startListener() })
    await this._supervisor.add({ name: 'admin', rule: 'restart', start: () => this._startAdmin() })
  }

  /** Stops all parts. */
  public async stop (): Promise<void> {
    await this._supervisor.stop()
  }

  /** A bounded dump, without records or answers. */
  public state (): object {
    const replica = this._replica
    if (replica === undefined) return { children: this._supervisor.describe() }
    const { register, ledger } = replica.machine
    return {
      replica: replica.view,
      diskFull: replica.diskFull,
      corruptions: replica.corruptions,
      version: register.inForce.version,
      operations: register.remembered,
      records: { count: ledger.size, answersBytes: ledger.answersBytes },
      nodes: this._sessions?.size ?? 0,
      members: this._membership?.table.members().length ?? 0,
      children: this._supervisor.describe()
    }
  }

  private _startReplica (fail: (error: Error) => void): Child {
    const { settings, clock, random, logger } = this._options
    const disk = new FileDisk(settings.dataFolder)
    const replica = new ControlReplica({ settings, disk, clock, random, logger, onFault: fail })
    const membership = new MembershipHost(clock)
    const sessions = new NodeSessions(replica.machine, membership, replica, clock)
    this._replica = replica
    this._membership = membership
    this._sessions = sessions
    replica.links.onFrame(frame => this._takeSoftState(frame))
    const timer = setInterval(() => {
      replica.links.broadcast({ type: 'inForce', inForce: sessions.attached() })
    }, IN_FORCE_INTERVAL_MS)
    replica.start()
    return {
      stop: () => {
        clearInterval(timer)
        sessions.dispose()
        membership.dispose()
        replica.dispose()
        disk.dispose()
      }
    }
  }

  private async _startListener (): Promise<Child> {
    const server = new FrameServer<ToControl, FromControl>(this._options.clock)
    server.onChannel(channel => this._greet(channel))
    await server.listen(this._options.settings.listen.peer)
    return { stop: () => server.dispose() }
  }

  private async _startAdmin (): Promise<Child> {
    const admin = new AdminServer({ health: () => this._health(), state: () => this.state() })
    new ControlApi(this._replica!, this._sessions!).install(admin.app)
    await admin.listen(this._options.settings.listen.admin)
    return { stop: () => admin.dispose() }
  }

  /** The first frame tells whose connection it is. */
  private _greet (channel: AcceptedChannel): void {
    const first = channel.onMessage(frame => {
      first.dispose()
      if (frame.type === 'nodeHello') this._sessions!.accept(channel, frame as NodeHello)
      else if (frame.type === 'replicaHello') this._acceptReplica(channel, frame as ReplicaHello)
      else channel.destroy('no hello')
    })
  }

  private _acceptReplica (channel: AcceptedChannel, hello: ReplicaHello): void {
    this._replica!.links.accept(channel, hello)
    const send = (frame: MembershipFrame): void => this._replica!.links.send(hello.replica, frame as ReplicaToReplica)
    const peer: MembershipPeer = { id: hello.replica, kind: 'replica', send }
    this._fellows.set(hello.replica, peer)
    this._membership!.attach(peer)
    channel.onClose(() => {
      this._membership!.detach(peer)
      if (this._fellows.get(hello.replica) === peer) this._fellows.delete(hello.replica)
    })
  }

  private _takeSoftState ({ from, frame }: ReplicaFrame): void {
    if (frame.type === 'inForce') this._sessions!.merge(frame.inForce)
    const peer = this._fellows.get(from)
    if (peer === undefined || !MEMBERSHIP_FRAMES.has(frame.type)) return
    // The own registration stands for the fellow's: every replica hears of everything.
    if (frame.type !== 'interest') this._membership!.take(peer, frame as MembershipFrame)
  }

  private _health (): Health {
    const replica = this._replica
    if (replica === undefined) return { ok: false, reason: 'starting' }
    const damage = replica.corruptions[0]
    if (damage !== undefined) return { ok: false, reason: `${damage.file} at ${damage.offset}: ${damage.problem}` }
    if (replica.diskFull) return { ok: false, reason: 'the disk is full' }
    const { role, leader } = replica.view
    if (role === 'recovering') return { ok: false, reason: 'not a member of the group' }
    return leader === undefined ? { ok: false, reason: 'no leader' } : { ok: true }
  }
}
