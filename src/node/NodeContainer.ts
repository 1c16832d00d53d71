import { Container } from 'inversify'
import { AdmissionController } from '../parts/admission/AdmissionController.js'
import { MeasuringBudget } from '../parts/budget/MeasuringBudget.js'
import { QuarantineTable } from '../parts/quarantine/QuarantineTable.js'
import type { RequestFingerprint } from '../parts/quarantine/RequestFingerprint.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import type { Incarnation, Random } from '../parts/Types.js'
import { FrameServer } from '../runtime/FrameServer.js'
import { JsonLog } from '../runtime/JsonLog.js'
import { Metrics } from '../runtime/Metrics.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Clock, Log } from '../runtime/Types.js'
import { ConfigurationHost } from './control/ConfigurationHost.js'
import { ControlLinks } from './control/ControlLinks.js'
import { MembershipHost } from './control/MembershipHost.js'
import { IngressServer } from './ingress/IngressServer.js'
import { ServiceTable } from './ingress/ServiceTable.js'
import { MeasuringHost } from './MeasuringHost.js'
import { PeerMesh } from './mesh/PeerMesh.js'
import type { ToIngressSide, ToUpstreamSide } from './mesh/Types.js'
import { NODE_METRICS } from './NodeMetrics.js'
import type { NodeSettings } from './NodeSettings.js'
import { UpstreamSide } from './upstreamside/UpstreamSide.js'
import { UpstreamMonitor } from './UpstreamMonitor.js'

/** Injection tokens of the values that are not classes. */
export const TOKENS = {
  settings: Symbol('settings'),
  clock: Symbol('clock'),
  log: Symbol('log'),
  random: Symbol('random'),
  incarnation: Symbol('incarnation'),
  /** Request hash, already loaded. */
  fingerprints: Symbol('fingerprints'),
  /** Listener for other nodes. */
  peerServer: Symbol('peerServer')
} as const

/** Limits on control traffic until the first configuration is in force; messages are counted per served call. */
const INITIAL_MEASURING_LIMITS = { bytesPerSecond: 12_000, messagesPerCall: 0.01 }

type PeerServer = FrameServer<ToUpstreamSide, ToIngressSide>

/**
 * Builds the dependency injection container of a node. Every object is a singleton, created on first use.
 * @param fingerprints Request hash, already loaded.
 */
export function buildNodeContainer (settings: NodeSettings, fingerprints: RequestFingerprint): Container {
  const container = new Container({ defaultScope: 'Singleton' })
  const clock = new SystemClock()
  container.bind<NodeSettings>(TOKENS.settings).toConstantValue(settings)
  container.bind<Clock>(TOKENS.clock).toConstantValue(clock)
  container.bind<Log>(TOKENS.log).toConstantValue(new JsonLog('sassafras-node', settings.id, settings.log.level))
  container.bind<Random>(TOKENS.random).toConstantValue(new SeededRandom(Math.floor(clock.wallMs()) ^ process.pid))
  container.bind<Incarnation>(TOKENS.incarnation).toConstantValue(Math.floor(clock.wallMs()))
  container.bind<RequestFingerprint>(TOKENS.fingerprints).toConstantValue(fingerprints)
  bindRuntime(container, settings)
  bindControl(container, settings)
  bindUpstreamSide(container, settings)
  bindIngress(container, settings)
  return container
}

function bindRuntime (container: Container, settings: NodeSettings): void {
  const get = buildAccessors(container)
  container.bind<PeerServer>(TOKENS.peerServer).toDynamicValue(() => new FrameServer(get.clock()))
  container.bind(Metrics).toDynamicValue(() => new Metrics(NODE_METRICS, settings.metrics, [`node:${settings.id}`]))
  container.bind(MeasuringHost).toDynamicValue(() => {
    return new MeasuringHost(new MeasuringBudget(INITIAL_MEASURING_LIMITS), get.clock())
  })
}

function bindControl (container: Container, settings: NodeSettings): void {
  const get = buildAccessors(container)
  const { id: node, place, listen, timing } = settings
  const maySendHeartbeat = (): boolean => container.get(MeasuringHost).maySend('heartbeat')
  const replicas = settings.control.map(replica => replica.address)
  container.bind(ControlLinks).toDynamicValue(() => {
    const version = (): number => container.get(ConfigurationHost).inForce?.version ?? 0
    const incarnation = get.incarnation()
    const hello = () => ({ type: 'nodeHello', node, incarnation, place, version: version() }) as const
    return new ControlLinks(replicas, hello, get.clock(), get.random())
  })
  container.bind(ConfigurationHost).toDynamicValue(() => new ConfigurationHost(
    container.get(ControlLinks), container.get(PeerMesh), get.clock(), get.log(), timing, maySendHeartbeat
  ))
  container.bind(MembershipHost).toDynamicValue(() => {
    const identity = { node, incarnation: get.incarnation(), place, address: listen.peer }
    return new MembershipHost(identity, container.get(ControlLinks), get.clock(), get.log(), maySendHeartbeat)
  })
}

function bindUpstreamSide (container: Container, settings: NodeSettings): void {
  const get = buildAccessors(container)
  const node = settings.id
  container.bind(UpstreamSide).toDynamicValue(() => new UpstreamSide({
    node,
    incarnation: get.incarnation(),
    clock: get.clock(),
    log: get.log(),
    admission: new AdmissionController(get.random()),
    quarantine: new QuarantineTable({ node, incarnation: get.incarnation() }),
    records: container.get(ControlLinks),
    mayRunGuarded: () => container.get(ConfigurationHost).state === 'current'
  }))
  container.bind(UpstreamMonitor).toDynamicValue(() => new UpstreamMonitor(
    container.get(UpstreamSide),
    container.get(MembershipHost),
    get.clock(),
    get.log(),
    settings.timing.announceTimeoutMs
  ))
  container.bind(PeerMesh).toDynamicValue(() => {
    const side = container.get(UpstreamSide)
    const incarnation = get.incarnation()
    return new PeerMesh({
      node,
      incarnation,
      clock: get.clock(),
      random: get.random(),
      log: get.log(),
      options: { heartbeatMs: settings.timing.peerHeartbeatMs, timeoutMs: settings.timing.peerTimeoutMs },
      local: side,
      hello: () => ({
        type: 'peerHello', node, incarnation, version: container.get(ConfigurationHost).inForce?.version ?? 0
      }),
      localEvidence: service => side.service === service ? side.evidence() : undefined,
      mayMeasure: kind => container.get(MeasuringHost).maySend(kind)
    })
  })
}

function bindIngress (container: Container, settings: NodeSettings): void {
  const get = buildAccessors(container)
  container.bind(ServiceTable).toDynamicValue(() => new ServiceTable({
    place: settings.place,
    clock: get.clock(),
    random: get.random(),
    log: get.log(),
    targets: container.get(PeerMesh),
    mayRunGuarded: () => container.get(ConfigurationHost).state === 'current',
    membersOf: service => container.get(MembershipHost).membersOf(service)
  }))
  container.bind(IngressServer).toDynamicValue(() => {
    let lastCallId = 0
    const context = {
      clock: get.clock(), log: get.log(), incarnation: get.incarnation(), nextCallId: () => ++lastCallId
    }
    return new IngressServer(
      settings.limits,
      container.get(ServiceTable),
      container.get(PeerMesh),
      container.get<RequestFingerprint>(TOKENS.fingerprints),
      context
    )
  })
}

interface Accessors {
  clock (): Clock
  log (): Log
  random (): Random
  incarnation (): Incarnation
}

function buildAccessors (container: Container): Accessors {
  return {
    clock: () => container.get(TOKENS.clock),
    log: () => container.get(TOKENS.log),
    random: () => container.get(TOKENS.random),
    incarnation: () => container.get(TOKENS.incarnation)
  }
}
