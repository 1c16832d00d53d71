import { randomInt } from 'node:crypto'
import { Container } from 'inversify'
import { SeededRandom } from '../parts/SeededRandom.js'
import type { Random } from '../parts/Types.js'
import { FileDisk } from '../runtime/FileDisk.js'
import { JsonLog } from '../runtime/JsonLog.js'
import type { LogLevel } from '../runtime/JsonLog.js'
import { Metrics } from '../runtime/Metrics.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Clock, Log } from '../runtime/Types.js'
import { ControlApi } from './ControlApi.js'
import { CONTROL_METRICS } from './ControlMetrics.js'
import { ControlReplica } from './ControlReplica.js'
import type { ControlSettings } from './ControlSettings.js'
import { MembershipHost } from './MembershipHost.js'
import { NodeSessions } from './NodeSessions.js'
import { PeerReplicas } from './PeerReplicas.js'

/** Service identifiers of dependencies that have no class to bind to. */
export const TOKENS = {
  settings: Symbol('settings'),
  clock: Symbol('clock'),
  log: Symbol('log'),
  random: Symbol('random')
} as const

/** Seeds of the random generator are below this. */
const SEED_RANGE = 2 ** 31 - 1

/**
 * Builds the dependency injection container of a control replica. Each object is created once, on first use.
 * @param settings Settings of the replica.
 * @param onFault Called when the process must stop because state may be lost or wrong.
 */
export function buildControlContainer (settings: ControlSettings, onFault: (error: Error) => void): Container {
  const container = new Container({ defaultScope: 'Singleton' })
  const clock = new SystemClock()
  const logger = new JsonLog('sassafras-control', settings.id, settings.log.level as LogLevel)
  const random = new SeededRandom(randomInt(SEED_RANGE))
  container.bind<ControlSettings>(TOKENS.settings).toConstantValue(settings)
  container.bind<Clock>(TOKENS.clock).toConstantValue(clock)
  container.bind<Log>(TOKENS.log).toConstantValue(logger)
  container.bind<Random>(TOKENS.random).toConstantValue(random)
  container.bind(FileDisk).toDynamicValue(() => new FileDisk(settings.dataFolder))
  container.bind(Metrics).toDynamicValue(() =>
    new Metrics(CONTROL_METRICS, settings.metrics, [`replica:${settings.id}`]))
  container.bind(ControlReplica).toDynamicValue(() =>
    new ControlReplica({ settings, disk: container.get(FileDisk), clock, random, logger, onFault }))
  container.bind(MembershipHost).toDynamicValue(() => new MembershipHost(clock))
  container.bind(NodeSessions).toDynamicValue(() => {
    const replica = container.get(ControlReplica)
    return new NodeSessions(replica.stateMachine, container.get(MembershipHost), replica, clock)
  })
  container.bind(PeerReplicas).toDynamicValue(() =>
    new PeerReplicas(container.get(ControlReplica), container.get(MembershipHost), container.get(NodeSessions)))
  container.bind(ControlApi).toDynamicValue(() =>
    new ControlApi(container.get(ControlReplica), container.get(NodeSessions), container.get(Metrics), clock))
  return container
}
