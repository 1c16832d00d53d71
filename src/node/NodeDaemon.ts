import type { Container } from 'inversify'
import { RequestFingerprint } from '../parts/quarantine/RequestFingerprint.js'
import { computeSha1 } from '../runtime/Digest.js'
import type { VersionedConfiguration } from '../parts/configuration/Types.js'
import type { ServiceName } from '../parts/Types.js'
import type { AdminSource, Health } from '../runtime/AdminServer.js'
import type { FrameServer } from '../runtime/FrameServer.js'
import { Metrics } from '../runtime/Metrics.js'
import { Supervisor } from '../runtime/Supervisor.js'
import type { Child } from '../runtime/Supervisor.js'
import type { Clock, Log } from '../runtime/Types.js'
import { ConfigurationHost } from './control/ConfigurationHost.js'
import { ControlLinks } from './control/ControlLinks.js'
import { MembershipHost } from './control/MembershipHost.js'
import type { CallSummary } from './ingress/IngressCall.js'
import { IngressServer } from './ingress/IngressServer.js'
import { ServiceTable } from './ingress/ServiceTable.js'
import { MeasuringHost } from './MeasuringHost.js'
import { PeerMesh } from './mesh/PeerMesh.js'
import type { ToIngressSide, ToUpstreamSide } from './mesh/Types.js'
import { buildNodeAdmin } from './NodeAdmin.js'
import { buildNodeContainer, TOKENS } from './NodeContainer.js'
import type { NodeMetric } from './NodeMetrics.js'
import type { NodeSettings } from './NodeSettings.js'
import { UpstreamSide } from './upstreamside/UpstreamSide.js'
import { UpstreamMonitor } from './UpstreamMonitor.js'

/** Longest time that a graceful shutdown waits for calls, unless a service's rule allows more. */
const DEFAULT_DRAIN_MS = 30_000

/** Interval at which gauges are sent. */
const GAUGE_INTERVAL_MS = 1000

/** Restarts of one child within `RESTART_WINDOW_MS`; at the next failure the supervisor gives up. */
const MAX_RESTARTS = 5
const RESTART_WINDOW_MS = 10_000

/** Time for the last frames to be sent before the connections are closed. */
const FLUSH_MS = 50

/**
 * The process beside each upstream: its ingress side routes the calls of callers, and its upstream side limits and runs
 * the calls to the local upstream. One supervisor starts its children in order and
 * stops them in reverse order.
 */
export class NodeDaemon implements AdminSource {
  /** Rejects when the supervisor gives up; never resolves. */
  public readonly ended: Promise<void>
  private readonly _container: Container
  private readonly _supervisor: Supervisor
  private readonly _log: Log
  private _rejectEnded: (error: Error) => void = () => {}

  /**
   * @param fingerprints Hash of requests.
   */
  public constructor (private readonly _settings: NodeSettings, fingerprints: RequestFingerprint) {
    this._container = buildNodeContainer(_settings, fingerprints)
    this._log = this._container.get<Log>(TOKENS.log)
    this.ended = new Promise((_resolve, reject) => { this._rejectEnded = reject })
    const options = { name: 'node', maxRestarts: MAX_RESTARTS, restartWindowMs: RESTART_WINDOW_MS }
    const clock = this._container.get<Clock>(TOKENS.clock)
    this._supervisor = new Supervisor(options, clock, this._log, error => this._rejectEnded(error))
  }

  /** Creates a node from its settings and starts it. */
  public static async start (settings: NodeSettings): Promise<NodeDaemon> {
    const daemon = new NodeDaemon(settings, new RequestFingerprint(computeSha1))
    await daemon._run()
    return daemon
  }

  public health (): Health {
    const state = this._container.get(ConfigurationHost).state
    return state === 'current' ? { ok: true } : { ok: false, reason: `configuration ${state}` }
  }

  public state (): object {
    const { _container: container } = this
    return {
      node: this._settings.id,
      place: this._settings.place,
      incarnation: container.get(TOKENS.incarnation),
      children: this._supervisor.describe(),
      configuration: container.get(ConfigurationHost).describe(),
      control: { home: container.get(ControlLinks).homeAddress, pending: container.get(ControlLinks).pendingRecords },
      membership: container.get(MembershipHost).describe(),
      mesh: container.get(PeerMesh).describe(),
      upstreamSide: container.get(UpstreamSide).describe(),
      ingress: { inFlight: container.get(IngressServer).inFlight, services: container.get(ServiceTable).describe() },
      measuring: { bytesInLastSecond: container.get(MeasuringHost).spentBytes }
    }
  }

  /**
   * Shuts down gracefully: closes the listener for callers, waits until they have received their answers and the calls
   * in flight have ended, then closes connections.
   */
  public async stop (): Promise<void> {
    this._log.info({}, 'stopping')
    const { _container: container } = this
    const ingress = container.get(IngressServer)
    const side = container.get(UpstreamSide)
    const callersLeft = ingress.close()
    container.get(UpstreamMonitor).drain()
    side.close()
    await this._waitUntilIdle(ingress, side, callersLeft)
    container.get(MembershipHost).announceLeft()
    await new Promise(resolve => setTimeout(resolve, FLUSH_MS))
    await this._supervisor.stop()
    this._log.info({}, 'stopped')
  }

  private async _run (): Promise<void> {
    this._wireEvents()
    await this._supervisor.add({ name: 'control', rule: 'restart', start: () => this._startControl() })
    await this._supervisor.add({ name: 'mesh', rule: 'restart', start: () => this._startMesh() })
    await this._supervisor.add({ name: 'ingress', rule: 'stop-process', start: () => this._startIngress() })
    await this._supervisor.add({ name: 'admin', rule: 'restart', start: () => this._startAdmin() })
    await this._supervisor.add({ name: 'metrics', rule: 'restart', start: () => this._startMetrics() })
  }

  private _startControl (): Child {
    const links = this._container.get(ControlLinks)
    const hosts = [this._container.get(ConfigurationHost), this._container.get(MembershipHost)]
    links.start()
    return {
      stop: () => {
        for (const host of hosts) host.dispose()
        links.dispose()
      }
    }
  }

  private async _startMesh (): Promise<Child> {
    const server = this._container.get<FrameServer<ToUpstreamSide, ToIngressSide>>(TOKENS.peerServer)
    const mesh = this._container.get(PeerMesh)
    const side = this._container.get(UpstreamSide)
    server.onChannel(channel => mesh.accept(channel))
    const address = await server.listen(this._settings.listen.peer)
    this._log.info({ address }, 'listening for nodes')
    return {
      stop: () => {
        server.close()
        mesh.end()
        mesh.dispose()
        side.dispose()
        server.dispose()
      }
    }
  }

  private async _startIngress (): Promise<Child> {
    const ingress = this._container.get(IngressServer)
    const services = this._container.get(ServiceTable)
    const address = await ingress.listen(this._settings.listen.caller)
    this._log.info({ address }, 'listening for callers')
    return {
      stop: () => {
        services.dispose()
        ingress.dispose()
      }
    }
  }

  private async _startAdmin (): Promise<Child> {
    const monitor = this._container.get(UpstreamMonitor)
    const admin = buildNodeAdmin(this, monitor, this._container.get(ConfigurationHost))
    const address = await admin.listen(this._settings.listen.admin)
    this._log.info({ address }, 'listening for operators')
    return {
      stop: () => {
        monitor.dispose()
        admin.dispose()
      }
    }
  }

  private _startMetrics (): Child {
    const metrics = this._container.get<Metrics<NodeMetric>>(Metrics)
    const timer = setInterval(() => this._sendGauges(metrics), GAUGE_INTERVAL_MS)
    return {
      stop: () => {
        clearInterval(timer)
        metrics.dispose()
      }
    }
  }

  // Subscribes the components to each other's events.
  private _wireEvents (): void {
    const { _container: container } = this
    const services = container.get(ServiceTable)
    const members = container.get(MembershipHost)
    const mesh = container.get(PeerMesh)
    const side = container.get(UpstreamSide)
    container.get(ConfigurationHost).onApply(copy => this._applyConfiguration(copy))
    members.onChange(service => this._onMembersChange(service))
    mesh.onLinkChange(({ node, open }) => {
      this._notifyServices(node, instance => ({ type: open ? 'linkUp' : 'linkDown', instance }))
      if (open) for (const report of side.crashReports()) mesh.sendToPeer(node, { type: 'crashReport', report })
    })
    mesh.onEvidence(({ node, evidence }) => this._notifyServices(node, instance => ({ type: 'evidence', instance, evidence })))
    mesh.onPeerFrame(({ from, frame }) => {
      if (frame.type === 'crashReport') side.handleQuarantineEvent({ type: 'reported', report: frame.report })
      else container.get(ConfigurationHost).handlePeerFrame(from, frame)
    })
    side.onQuarantine(action => { if (action.type === 'report') mesh.broadcastCrashReport(action.report) })
    this._subscribeToCallEnds()
    services.names.forEach(name => services.refreshMembers(name))
  }

  private _applyConfiguration (copy: VersionedConfiguration): void {
    const { _container: container } = this
    container.get(MeasuringHost).configure(copy.configuration.measuring)
    container.get(ServiceTable).apply(copy)
    container.get(MembershipHost).setInterest(copy.configuration.services.map(service => service.name))
    this._connectPeers()
  }

  private _onMembersChange (service: ServiceName): void {
    this._container.get(ServiceTable).refreshMembers(service)
    this._connectPeers()
    this._reportClosedLinks(service)
  }

  // The chooser assumes that a new instance is connected until it is notified otherwise.
  private _reportClosedLinks (service: ServiceName): void {
    const mesh = this._container.get(PeerMesh)
    for (const { node } of this._container.get(MembershipHost).membersOf(service)) {
      const instance = `${service}/${node}`
      if (!mesh.isLinked(instance)) this._container.get(ServiceTable).notify(service, { type: 'linkDown', instance })
    }
  }

  private _connectPeers (): void {
    const members = this._container.get(MembershipHost)
    const peers = this._container.get(ServiceTable).names
      .flatMap(service => members.membersOf(service))
      .map(({ node, address }) => ({ node, address }))
    this._container.get(PeerMesh).setPeers(peers)
  }

  private _notifyServices (
    node: string, buildEvent: (instance: string) => Parameters<ServiceTable['notify']>[1]
  ): void {
    const services = this._container.get(ServiceTable)
    const members = this._container.get(MembershipHost)
    for (const service of services.names) {
      if (members.membersOf(service).some(member => member.node === node)) services.notify(service, buildEvent(`${service}/${node}`))
    }
  }

  // The container is queried once here and not in the handler, which runs for every call.
  private _subscribeToCallEnds (): void {
    const measuring = this._container.get(MeasuringHost)
    const metrics = this._container.get<Metrics<NodeMetric>>(Metrics)
    const services = this._container.get(ServiceTable)
    this._container.get(IngressServer).onEnd(summary => {
      measuring.countCall()
      metrics.send('callsEnded', 1)
      metrics.send('callDuration', summary.durationMs)
      if (summary.attempts > 0) metrics.send('callAttempts', summary.attempts)
      if (summary.disposition === undefined) return
      metrics.send(DISPOSITION_METRICS[summary.disposition], 1)
      this._log.info({ ...summary, version: services.version }, 'call refused')
    })
  }

  private _sendGauges (metrics: Metrics<NodeMetric>): void {
    const evidence = this._container.get(UpstreamSide).evidence()
    metrics.send('upstreamRunning', evidence.inFlight)
    metrics.send('upstreamQueued', evidence.queued)
    metrics.send('configurationVersion', this._container.get(ServiceTable).version ?? 0)
    metrics.send('measuringBytes', this._container.get(MeasuringHost).spentBytes)
  }

  private async _waitUntilIdle (
    ingress: IngressServer, side: UpstreamSide, callersLeft: Promise<void>
  ): Promise<void> {
    let hasCallers = true
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, this._drainTimeoutMs())
      const check = (): void => {
        if (hasCallers || ingress.inFlight > 0 || side.pendingCalls > 0) return
        clearTimeout(timer)
        resolve()
      }
      ingress.onIdle(check)
      side.onIdle(check)
      callersLeft.then(() => {
        hasCallers = false
        check()
      }).catch((error: Error) => this._rejectEnded(error))
    })
  }

  private _drainTimeoutMs (): number {
    const services = this._container.get(ServiceTable)
    return Math.max(DEFAULT_DRAIN_MS, ...services.names.map(name => services.findRule(name)?.drainMs ?? 0))
  }
}

const DISPOSITION_METRICS: Record<NonNullable<CallSummary['disposition']>, NodeMetric> = {
  'not-run': 'answersNotRun',
  unknown: 'answersUnknown',
  quarantined: 'answersQuarantined'
}
