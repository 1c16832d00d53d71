import { expect, test } from 'vitest'
import { PacedRelay } from '../../test/support/PacedRelay.js'
import type { AcceptedChannel } from '../control/ReplicaLinks.js'
import { DEFAULT_CALLER_LIMITS } from '../parts/routing/Constants.js'
import { RoutingStore } from '../parts/routing/RoutingStore.js'
import type { RoutingConfiguration } from '../parts/routing/Types.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import { ControlFeed } from '../routenode/ControlFeed.js'
import { FrameServer } from '../runtime/FrameServer.js'
import { SystemClock } from '../runtime/SystemClock.js'
import { type RoutingReceiver, RoutingDelivery } from './RoutingDelivery.js'
import type { FeedHello } from './NodeFeed.js'
import type { FeedToNode, NodeToFeed } from './Types.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const ROUTES = 1000
const CHANGES = 40
const CHANGE_INTERVAL_MS = 50
const LINK_MBPS = 5

/** Time within which a change is in force at every node, in milliseconds. */
const CONFIG_DEADLINE_MS = 2000

function makeConfiguration (version: number): RoutingConfiguration {
  const routes = Array.from({ length: ROUTES }, (_, i) => ({
    name: `route-${i}`,
    host: 'h.example',
    pathPrefix: `/path-${i}/`,
    kind: 'idempotent' as const,
    timeoutMs: 1000 + version,
    latencyObjectiveMs: 300,
    priority: 1,
    maxAttempts: 2,
    destination: { type: 'service' as const, service: 's' }
  }))
  const services = [{ name: 's', healthPath: '/', maxConnections: 1, protocol: 'h1', tls: false }]
  return { routes, services, limits: DEFAULT_CALLER_LIMITS }
}

/** Replica that serves one node; the node knows only the address of its slow link. */
class Replica {
  public readonly store = new RoutingStore()
  private readonly _server = new FrameServer<NodeToFeed, FeedToNode>(new SystemClock())
  private readonly _delivery = new RoutingDelivery(this.store, new SystemClock(), SILENT)
  private _receiver: RoutingReceiver | undefined

  public async listen (): Promise<PacedRelay> {
    const relay = new PacedRelay(await this._server.listen('127.0.0.1:0'), LINK_MBPS)
    const controls = [await relay.listen()]
    this._server.onChannel(channel => channel.onMessage(frame => {
      if (frame.type === 'feedPing') channel.send({ type: 'feedPong', fit: true })
      if (frame.type === 'routingInForce') this._delivery.confirm(this._receiver!, frame.version)
      if (frame.type !== 'feedHello') return
      channel.send({ type: 'welcome', entries: [], controls })
      this._receiver = makeReceiver(channel as unknown as AcceptedChannel, frame)
      this._delivery.send(this._receiver)
    }))
    this.address = controls[0]
    return relay
  }

  public address: string | undefined

  public change (version: number): void {
    const configuration = makeConfiguration(version)
    this.store.apply({ type: 'replace', version, base: version - 1, configuration }, `${version}`)
    this._delivery.send(this._receiver!)
  }

  public dispose (): void {
    this._server.dispose()
  }
}

function makeReceiver (channel: AcceptedChannel, { version, confirms }: FeedHello): RoutingReceiver {
  return {
    node: 'n',
    channel,
    compresses: false,
    confirms: confirms === true,
    version,
    unconfirmed: undefined,
    unconfirmedSinceMs: 0,
    dueSinceMs: undefined
  }
}

// Each version of a storm was queued on the link of the node, so that the last one came after all the others.
test('a storm of large changes is in force in time behind a slow link', async () => {
  const replica = new Replica()
  const relay = await replica.listen()
  const entry = { node: 'n', zone: 'a', epoch: 1, revision: 1, state: 'up' } as const
  const source = { nextEntry: () => entry, crashReports: () => [] }
  const feed = new ControlFeed([replica.address!], source, new SystemClock(), new SeededRandom(1), SILENT)
  const welcomed = new Promise(resolve => feed.onWelcome(resolve))
  feed.start()
  await welcomed
  const inForce = new Promise<void>(resolve => feed.onRouting(({ version }) => { if (version === CHANGES) resolve() }))
  for (let version = 1; version <= CHANGES; version++) {
    replica.change(version)
    await new Promise(resolve => setTimeout(resolve, CHANGE_INTERVAL_MS))
  }
  const acknowledgedAtMs = performance.now()
  await inForce
  const tookMs = performance.now() - acknowledgedAtMs
  feed.dispose()
  relay.dispose()
  replica.dispose()
  expect(tookMs).toBeLessThan(CONFIG_DEADLINE_MS)
}, 60_000)
