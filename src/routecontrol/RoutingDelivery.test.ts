import { expect, test } from 'vitest'
import type { AcceptedChannel } from '../control/ReplicaLinks.js'
import { DEFAULT_CALLER_LIMITS } from '../parts/routing/Constants.js'
import { RoutingStore } from '../parts/routing/RoutingStore.js'
import { decodeBody } from '../runtime/FrameChannel.js'
import { FRAME_HEADER_BYTES } from '../runtime/Constants.js'
import { SLOW_DELIVERY_MS } from './Constants.js'
import { RoutingDelivery, type RoutingConfirmation, type RoutingReceiver } from './RoutingDelivery.js'
import type { FeedToNode } from './Types.js'

/** A delivery to one node, with what the node was sent and what was logged. */
class Fixture {
  public readonly store = new RoutingStore()
  public readonly sent: FeedToNode[] = []
  public readonly warnings: object[] = []
  public readonly confirmations: RoutingConfirmation[] = []
  public nowMs = 0
  public readonly delivery = new RoutingDelivery(this.store, { nowMs: () => this.nowMs, wallMs: () => 0 }, {
    debug: () => {}, info: () => {}, warn: fields => this.warnings.push(fields), error: () => {}
  })

  public readonly receiver: RoutingReceiver

  public constructor (confirms = true) {
    const channel = {
      sendEncoded: (frame: Buffer) => this.sent.push(decodeBody(frame.subarray(FRAME_HEADER_BYTES)) as FeedToNode)
    }
    this.receiver = {
      node: 'n',
      channel: channel as unknown as AcceptedChannel,
      compresses: false,
      confirms,
      version: 0,
      unconfirmed: undefined,
      unconfirmedSinceMs: 0,
      dueSinceMs: undefined
    }
    this.delivery.onConfirmation(confirmation => this.confirmations.push(confirmation))
  }

  /** Brings the next version into force at the replica. */
  public change (): void {
    const base = this.store.inForce.version
    const service = { name: `s${base}`, healthPath: '/', maxConnections: 1, protocol: 'h1', tls: false }
    const configuration = { routes: [], services: [service], limits: DEFAULT_CALLER_LIMITS }
    const reply = this.store.apply({ type: 'replace', base, version: base + 1, configuration }, `${base}`)
    expect(reply).toEqual({ type: 'accepted', version: base + 1 })
    this.delivery.send(this.receiver)
  }

  /** Last version of each frame that was sent. */
  public get sentVersions (): number[] {
    return this.sent.map(frame => {
      if (frame.type === 'routing') return frame.routing.version
      return frame.type === 'routingDifferences' ? frame.differences.at(-1)?.version ?? 0 : 0
    })
  }
}

// On a slow link, each version of a burst would wait for all before it.
test('a node that has not confirmed a version is sent only the newest one after it', () => {
  const fixture = new Fixture()
  for (let i = 0; i < 100; i++) fixture.change()
  expect(fixture.sentVersions).toEqual([1])
  fixture.delivery.confirm(fixture.receiver, 1)
  expect(fixture.sentVersions).toEqual([1, 100])
  fixture.delivery.confirm(fixture.receiver, 100)
  expect(fixture.sentVersions).toEqual([1, 100])
  fixture.change()
  expect(fixture.sentVersions).toEqual([1, 100, 101])
})

test('a node that confirms nothing is sent each version', () => {
  const fixture = new Fixture(false)
  for (let i = 0; i < 3; i++) fixture.change()
  expect(fixture.sentVersions).toEqual([1, 2, 3])
})

test('a node that cannot apply differences is sent a full copy at once', () => {
  const fixture = new Fixture()
  fixture.change()
  fixture.delivery.confirm(fixture.receiver, 1)
  fixture.change()
  fixture.delivery.sendFullCopy(fixture.receiver)
  expect(fixture.sent.map(({ type }) => type)).toEqual(['routing', 'routingDifferences', 'routing'])
  fixture.delivery.confirm(fixture.receiver, 2)
  fixture.change()
  expect(fixture.sentVersions).toEqual([1, 2, 2, 3])
})

test('the time of a delivery counts from the first version that the node lacked, and slow ones are logged', () => {
  const fixture = new Fixture()
  fixture.change()
  fixture.nowMs = 300
  fixture.change()
  fixture.nowMs = 500
  expect(fixture.delivery.longestWaitMs([fixture.receiver])).toBe(500)
  fixture.delivery.confirm(fixture.receiver, 1)
  fixture.nowMs = 300 + SLOW_DELIVERY_MS
  fixture.delivery.confirm(fixture.receiver, 2)
  expect(fixture.confirmations).toEqual([
    { node: 'n', version: 1, tookMs: 500 }, { node: 'n', version: 2, tookMs: SLOW_DELIVERY_MS }
  ])
  expect(fixture.warnings).toEqual([{ node: 'n', version: 2, tookMs: SLOW_DELIVERY_MS }])
  expect(fixture.delivery.longestWaitMs([fixture.receiver])).toBe(0)
})
