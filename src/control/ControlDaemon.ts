import type { Container } from 'inversify'
import { AdminServer, type AdminSource, type Health } from '../runtime/AdminServer.js'
import { FileDisk } from '../runtime/FileDisk.js'
import { FrameServer } from '../runtime/FrameServer.js'
import { Metrics } from '../runtime/Metrics.js'
import { type Child, Supervisor } from '../runtime/Supervisor.js'
import type { Clock, Log } from '../runtime/Types.js'
import { ControlApi } from './ControlApi.js'
import { buildControlContainer, TOKENS } from './ControlContainer.js'
import type { ControlMetric } from './ControlMetrics.js'
import { ControlReplica } from './ControlReplica.js'
import type { ControlSettings } from './ControlSettings.js'
import { MembershipHost } from './MembershipHost.js'
import { type NodeHello, NodeSessions } from './NodeSessions.js'
import { PeerReplicas } from './PeerReplicas.js'
import type { AcceptedChannel, ReplicaHello } from './ReplicaLinks.js'
import type { FromControl, ToControl } from './Types.js'

/** Restarts of one child within `RESTART_WINDOW_MS`; at the next failure the supervisor gives up. */
const MAX_RESTARTS = 5

const RESTART_WINDOW_MS = 10_000

/** Interval at which gauges are sent. */
const GAUGE_INTERVAL_MS = 1000

/**
 * Runs a control replica as a process: the replica, the listener for nodes and replicas, the admin server and the
 * metrics. One supervisor starts them in order and stops them in reverse order. A fault of the replica stops the
 * process.
 */
export class ControlDaemon implements AdminSource {
  private readonly _container: Container
  private readonly _supervisor: Supervisor
  private readonly _log: Log

  /**
   * @param _settings Settings of the replica.
   * @param onFault Called when the process must stop because state may be lost or wrong.
   */
  public constructor (
    private readonly _settings: ControlSettings,
    onFault: (error: Error) => void
  ) {
    this._container = buildControlContainer(_settings, onFault)
    this._log = this._container.get<Log>(TOKENS.log)
    const options = { name: 'control', maxRestarts: MAX_RESTARTS, restartWindowMs: RESTART_WINDOW_MS }
    this._supervisor = new Supervisor(options, this._container.get<Clock>(TOKENS.clock), this._log, onFault)
  }

  /** Starts all parts and resolves when the listeners are open. */
  public async start (): Promise<void> {
    await this._supervisor.add({ name: 'replica', rule: 'stop-process', start: () => this._startReplica() })
    await this._supervisor.add({ name: 'peer-listener', rule: 'restart', start: () => this._startListener() })
    await this._supervisor.add({ name: 'admin', rule: 'restart', start: () => this._startAdmin() })
    await this._supervisor.add({ name: 'levels', rule: 'restart', start: () => this._startGauges() })
    this._log.info({ ...this._settings.listen }, 'listening')
  }

  /** Stops all parts in reverse order. */
  public async stop (): Promise<void> {
    await this._supervisor.stop()
  }

  /** State for dumps, bounded in size: without the records and their stored answers. */
  public state (): object {
    const replica = this._container.get(ControlReplica)
    const { configurationStore, ledger } = replica.stateMachine
    return {
      replica: replica.view,
      diskFull: replica.diskFull,
      corruptions: replica.corruptions,
      version: configurationStore.inForce.version,
      operations: configurationStore.rememberedOperations,
      records: { count: ledger.size, answersBytes: ledger.answersBytes },
      nodes: this._container.get(NodeSessions).size,
      members: this._container.get(MembershipHost).table.members().length,
      children: this._supervisor.describe()
    }
  }

  /** Healthy while the log is intact, the disk has space, and this replica is in a group that has a leader. */
  public health (): Health {
    const replica = this._container.get(ControlReplica)
    const corruption = replica.corruptions[0]
    if (corruption !== undefined) return { ok: false, reason: `${corruption.file} at ${corruption.offset}: ${corruption.problem}` }
    if (replica.diskFull) return { ok: false, reason: 'the disk is full' }
    const { role, leader } = replica.view
    if (role === 'recovering') return { ok: false, reason: 'not a member of the group' }
    return leader === undefined ? { ok: false, reason: 'no leader' } : { ok: true }
  }

  private _startReplica (): Child {
    const replica = this._container.get(ControlReplica)
    const peerReplicas = this._container.get(PeerReplicas)
    replica.start()
    return {
      stop: () => {
        peerReplicas.dispose()
        this._container.get(NodeSessions).dispose()
        this._container.get(MembershipHost).dispose()
        replica.dispose()
        this._container.get(FileDisk).dispose()
      }
    }
  }

  private async _startListener (): Promise<Child> {
    const server = new FrameServer<ToControl, FromControl>(this._container.get<Clock>(TOKENS.clock))
    server.onChannel(channel => this._acceptByHello(channel))
    await server.listen(this._settings.listen.peer)
    return { stop: () => server.dispose() }
  }

  private async _startAdmin (): Promise<Child> {
    const admin = new AdminServer(this)
    this._container.get(ControlApi).addRoutes(admin.app)
    await admin.listen(this._settings.listen.admin)
    return { stop: () => admin.dispose() }
  }

  private _startGauges (): Child {
    const metrics = this._container.get<Metrics<ControlMetric>>(Metrics)
    const timer = setInterval(() => this._sendGauges(), GAUGE_INTERVAL_MS)
    const syncSubscription = this._container.get(ControlReplica).onSync(ms => metrics.send('syncDuration', ms))
    return {
      stop: () => {
        clearInterval(timer)
        syncSubscription.dispose()
        this._container.get(Metrics).dispose()
      }
    }
  }

  private _sendGauges (): void {
    const metrics = this._container.get<Metrics<ControlMetric>>(Metrics)
    const replica = this._container.get(ControlReplica)
    const { role, term, commitIndex, logBytes, openProposals } = replica.view
    const { configurationStore, ledger } = replica.stateMachine
    const gauges: ReadonlyArray<readonly [ControlMetric, number]> = [
      ['leads', Number(role === 'leader')],
      ['term', term],
      ['commitIndex', commitIndex],
      ['logBytes', logBytes],
      ['openProposals', openProposals],
      ['configurationVersion', configurationStore.inForce.version],
      ['records', ledger.size],
      ['nodes', this._container.get(NodeSessions).size],
      ['diskFull', Number(replica.diskFull)]
    ]
    for (const [name, value] of gauges) metrics.send(name, value)
  }

  /** The first frame shows whether a node or a replica has connected. */
  private _acceptByHello (channel: AcceptedChannel): void {
    const first = channel.onMessage(frame => {
      first.dispose()
      if (frame.type === 'nodeHello') this._container.get(NodeSessions).accept(channel, frame as NodeHello)
      else if (frame.type === 'replicaHello') this._container.get(PeerReplicas).accept(channel, frame as ReplicaHello)
      else channel.destroy('the first frame is not a hello')
    })
  }
}
