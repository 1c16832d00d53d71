import type { Container } from 'inversify'
import { RequestFingerprint } from '../parts/quarantine/RequestFingerprint.js'
import type { VersionedConfiguration } from '../parts/configuration/Types.js'
import type { ServiceName } from '../parts/Types.js'
import type { AdminSource, Health } from '../platform/AdminServer.js'
import type { FrameServer } from '../platform/FrameServer.js'
import { Metrics } from '../platform/Metrics.js'
import { Supervisor } from '../platform/Supervisor.js'
import type { Child } from '../platform/Supervisor.js'
import type { Clock, Log } from '../platform/Types.js'
import { ConfigurationHost } from './control/ConfigurationHost.js'
import { ControlLinks } from './control/ControlLinks.js'
import { MembershipHost } from './control/MembershipHost.js'
import type { CallEnd } from './ingress/IngressCall.js'
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
import { UpstreamWatch } from './UpstreamWatch.js'

/** Longest time that a planned stop waits for calls when no rule says otherwise. */
const DEFAULT_DRAIN_MS = 30_000

/** Writes the state dump to the log. */
const DUMP_SIGNAL = 'SIGUSR2'

const LEVEL_INTERVAL_MS = 1000

const MAX_RESTARTS = 5
const RESTART_WINDOW_MS = 10_000

/** Time in which the last frames leave before the connections end. */
const FLUSH_MS = 50

/** The node: ingress side and upstream side in one process, under one supervisor. */
export class NodeDaemon implements AdminSource {
  /** Rejects when the supervisor gives up. */
  public readonly ended: Promise<void>
  private readonly container: Container
  private readonly supervisor: Supervisor
  private readonly log: Log
  private fail: (error: Error) => void = () => {}

  /**
   * @param fingerprints Ready hash for fingerprints; see `RequestFingerprint.load`.
   */
  public constructor (private readonly settings: NodeSettings, fingerprints: RequestFingerprint) {
    this.container = buildNodeContainer(settings, fingerprints)
    this.log = this.container.get<Log>(TOKENS.log)
    this.ended = new Promise((_resolve, reject) => { this.fail = reject })
    const options = { name: 'node', maxRestarts: MAX_RESTARTS, withinMs: RESTART_WINDOW_MS }
    const clock = this.container.get<Clock>(TOKENS.clock)
    this.supervisor = new Supervisor(options, clock, this.log, error => this.fail(error))
  }

  /** Builds and starts a node from its settings. */
  public static async start (settings: NodeSettings): Promise<NodeDaemon> {
    const daemon = new NodeDaemon(settings, await RequestFingerprint.load())
    await daemon.run()
    return daemon
  }

  public health (): Health {
    const state = this.container.get(ConfigurationHost).state
    return state === 'current' ? { ok: true } : { ok: false, reason: `configuration ${state}` }
  }

  public state (): object {
    const { container } = this
    return {
      node: this.settings.id,
      place: this.settings.place,
      incarnation: container.get(TOKENS.incarnation),
      children: this.supervisor.describe(),
      configuration: container.get(ConfigurationHost).describe(),
      control: { home: container.get(ControlLinks).homeAddress, pending: container.get(ControlLinks).pendingRecords },
      membership: container.get(MembershipHost).describe(),
      mesh: container.get(PeerMesh).describe(),
      upstreamSide: container.get(UpstreamSide).describe(),
      ingress: { inFlight: container.get(IngressServer).inFlight, services: container.get(ServiceTable).describe() },
      measuring: { bytesInLastSecond: container.get(MeasuringHost).spentBytes }
    }
  }

  /** Stops in order: the listener for callers goes first, calls in flight end, then the connections close. */
  public async stop (): Promise<void> {
    this.log.info({}, 'stopping')
    const { container } = this
    const ingress = container.get(IngressServer)
    const side = container.get(UpstreamSide)
    ingress.close()
    container.get(UpstreamWatch).drain()
    side.close()
    await this.waitUntilEmpty(ingress, side)
    container.get(MembershipHost).leave()
    await new Promise(resolve => setTimeout(resolve, FLUSH_MS))
    process.off(DUMP_SIGNAL, this.dumpState)
    await this.supervisor.stop()
    this.log.info({}, 'stopped')
  }

  private async run (): Promise<void> {
    this.connectParts()
    await this.supervisor.add({ name: 'control', rule: 'restart', start: () => this.startControl() })
    await this.supervisor.add({ name: 'mesh', rule: 'restart', start: () => this.startMesh() })
    await this.supervisor.add({ name: 'ingress', rule: 'stop-process', start: () => this.startIngress() })
    await this.supervisor.add({ name: 'admin', rule: 'restart', start: () => this.startAdmin() })
    await this.supervisor.add({ name: 'metrics', rule: 'restart', start: () => this.startMetrics() })
    process.on(DUMP_SIGNAL, this.dumpState)
  }

  private readonly dumpState = (): void => {
    this.log.info({ state: JSON.stringify(this.state()) }, 'state')
  }

  private startControl (): Child {
    const links = this.container.get(ControlLinks)
    const hosts = [this.container.get(ConfigurationHost), this.container.get(MembershipHost)]
    links.start()
    return {
      stop: () => {
        for (const host of hosts) host.dispose()
        links.dispose()
      }
    }
  }

  private async startMesh (): Promise<Child> {
    const server = this.container.get<FrameServer<ToUpstreamSide, ToIngressSide>>(TOKENS.peerServer)
    const mesh = this.container.get(PeerMesh)
    const side = this.container.get(UpstreamSide)
    server.onChannel(channel => mesh.accept(channel))
    const address = await server.listen(this.settings.listen.peer)
    this.log.info({ address }, 'listening for nodes')
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

  private async startIngress (): Promise<Child> {
    const ingress = this.container.get(IngressServer)
    const services = this.container.get(ServiceTable)
    const address = await ingress.listen(this.settings.listen.caller)
    this.log.info({ address }, 'listening for callers')
    return {
      stop: () => {
        services.dispose()
        ingress.dispose()
      }
    }
  }

  private async startAdmin (): Promise<Child> {
    const watch = this.container.get(UpstreamWatch)
    const admin = buildNodeAdmin(this, watch, this.container.get(ConfigurationHost))
    const address = await admin.listen(this.settings.listen.admin)
    this.log.info({ address }, 'listening for operators')
    return {
      stop: () => {
        watch.dispose()
        admin.dispose()
      }
    }
  }

  private startMetrics (): Child {
    const metrics = this.container.get<Metrics<NodeMetric>>(Metrics)
    const timer = setInterval(() => this.sendLevels(metrics), LEVEL_INTERVAL_MS)
    return {
      stop: () => {
        clearInterval(timer)
        metrics.dispose()
      }
    }
  }

  // The parts tell each other what they see through typed events.
  private connectParts (): void {
    const { container } = this
    const services = container.get(ServiceTable)
    const members = container.get(MembershipHost)
    const mesh = container.get(PeerMesh)
    const side = container.get(UpstreamSide)
    container.get(ConfigurationHost).onApply(copy => this.applyConfiguration(copy))
    members.onChange(service => this.handleMembers(service))
    mesh.onLinkChange(({ node, open }) => {
      this.tellServices(node, instance => ({ type: open ? 'linkUp' : 'linkDown', instance }))
      if (open) for (const report of side.crashReports()) mesh.sendToPeer(node, { type: 'crashReport', report })
    })
    mesh.onEvidence(({ node, evidence }) => this.tellServices(node, instance => ({ type: 'evidence', instance, evidence })))
    mesh.onPeerFrame(({ from, frame }) => {
      if (frame.type === 'crashReport') side.takeQuarantine({ type: 'reported', report: frame.report })
      else container.get(ConfigurationHost).takePeerFrame(from, frame)
    })
    side.onQuarantine(action => { if (action.type === 'report') mesh.spread(action.report) })
    this.reportCallEnds()
    services.names.forEach(name => services.refresh(name))
  }

  private applyConfiguration (copy: VersionedConfiguration): void {
    const { container } = this
    container.get(MeasuringHost).configure(copy.configuration.measuring)
    container.get(ServiceTable).apply(copy)
    container.get(MembershipHost).setInterest(copy.configuration.services.map(service => service.name))
    this.connectPeers()
  }

  private handleMembers (service: ServiceName): void {
    this.container.get(ServiceTable).refresh(service)
    this.connectPeers()
    this.tellDeadLinks(service)
  }

  // The chooser takes a new instance for linked until it hears otherwise.
  private tellDeadLinks (service: ServiceName): void {
    const mesh = this.container.get(PeerMesh)
    for (const { node } of this.container.get(MembershipHost).membersOf(service)) {
      const instance = `${service}/${node}`
      if (!mesh.isLinked(instance)) this.container.get(ServiceTable).tell(service, { type: 'linkDown', instance })
    }
  }

  private connectPeers (): void {
    const members = this.container.get(MembershipHost)
    const peers = this.container.get(ServiceTable).names
      .flatMap(service => members.membersOf(service))
      .map(({ node, address }) => ({ node, address }))
    this.container.get(PeerMesh).setPeers(peers)
  }

  private tellServices (
    node: string, build: (instance: string) => Parameters<ServiceTable['tell']>[1]
  ): void {
    const services = this.container.get(ServiceTable)
    const members = this.container.get(MembershipHost)
    for (const service of services.names) {
      if (members.membersOf(service).some(member => member.node === node)) services.tell(service, build(`${service}/${node}`))
    }
  }

  // Looked up once: this runs for every call.
  private reportCallEnds (): void {
    const measuring = this.container.get(MeasuringHost)
    const metrics = this.container.get<Metrics<NodeMetric>>(Metrics)
    const services = this.container.get(ServiceTable)
    this.container.get(IngressServer).onEnd(end => {
      measuring.countCall()
      metrics.send('callsEnded', 1)
      metrics.send('callDuration', end.durationMs)
      if (end.attempts > 0) metrics.send('callAttempts', end.attempts)
      if (end.disposition === undefined) return
      metrics.send(DISPOSITION_METRICS[end.disposition], 1)
      this.log.info({ ...end, version: services.version }, 'call answered by the system')
    })
  }

  private sendLevels (metrics: Metrics<NodeMetric>): void {
    const evidence = this.container.get(UpstreamSide).evidence()
    metrics.send('upstreamRunning', evidence.inFlight)
    metrics.send('upstreamQueued', evidence.queued)
    metrics.send('configurationVersion', this.container.get(ServiceTable).version ?? 0)
    metrics.send('measuringBytes', this.container.get(MeasuringHost).spentBytes)
  }

  private async waitUntilEmpty (ingress: IngressServer, side: UpstreamSide): Promise<void> {
    const isEmpty = (): boolean => ingress.inFlight === 0 && side.heldCalls === 0
    if (isEmpty()) return
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, this.drainLimitMs())
      const check = (): void => {
        if (!isEmpty()) return
        clearTimeout(timer)
        resolve()
      }
      ingress.onEmpty(check)
      side.onEmpty(check)
    })
  }

  private drainLimitMs (): number {
    const services = this.container.get(ServiceTable)
    return Math.max(DEFAULT_DRAIN_MS, ...services.names.map(name => services.ruleOf(name)?.drainMs ?? 0))
  }
}

const DISPOSITION_METRICS: Record<NonNullable<CallEnd['disposition']>, NodeMetric> = {
  'not-run': 'answersNotRun',
  unknown: 'answersUnknown',
  quarantined: 'answersQuarantined'
}
