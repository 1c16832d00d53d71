import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { PacedRelay } from '../../test/support/PacedRelay.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import type { FeedToNode, NodeToFeed } from '../routecontrol/Types.js'
import { FrameServer } from '../runtime/FrameServer.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Disposable } from '../runtime/Types.js'
import { FEED_WELCOME_TIMEOUT_MS } from './Constants.js'
import { ControlFeed } from './ControlFeed.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const OWN = { node: '10.0.0.1:1', zone: 'zone-a', epoch: 1, revision: 1, state: 'up' } as const
const LINK_MBPS = 2.4
const BITS_PER_BYTE = 8

const disposables: Disposable[] = []

afterEach(() => disposables.splice(0).forEach(item => item.dispose()))

// Each attempt was ended before its welcome had arrived, so that the node never got a configuration.
test('a welcome that takes longer than its timeout on a slow link is awaited', async () => {
  const entries = Array.from({ length: 5000 }, (_, i) => {
    const node = `10.0.${1 + i >> 8}.${i & 255}:${7000 + i}`
    const instance = { id: `instance-${i}`, bornMs: 1e12 + i, service: 'svc', slots: 4, state: 'ready' } as const
    return { ...OWN, node, epoch: 1e12 + i, instance }
  })
  const server = new FrameServer<NodeToFeed, FeedToNode>(new SystemClock())
  const relay = new PacedRelay(await server.listen('127.0.0.1:0'), LINK_MBPS)
  const controls = [await relay.listen()]
  let hellos = 0
  const outcome = new Promise<string>(resolve => {
    server.onChannel(channel => channel.onMessage(({ type }) => {
      if (type !== 'feedHello') return
      if (++hellos === 2) resolve('asked again')
      channel.send({ type: 'welcome', entries, controls })
    }))
    const source = { nextEntry: () => OWN, crashReports: () => [] }
    const feed = new ControlFeed(controls, source, new SystemClock(), new SeededRandom(1), SILENT)
    disposables.push(feed, relay, server)
    feed.onWelcome(welcome => resolve(`welcomed with ${welcome.entries.length} nodes`))
    feed.start()
  })
  expect(await outcome).toBe(`welcomed with ${entries.length} nodes`)
  expect(relay.bytes.down * BITS_PER_BYTE / (LINK_MBPS * 1000)).toBeGreaterThan(FEED_WELCOME_TIMEOUT_MS)
}, 30_000)

test('a replica whose welcome trickles is left', async () => {
  let connections = 0
  const left = new Promise<void>(resolve => {
    const trickling = createServer(socket => {
      if (++connections === 2) resolve()
      socket.on('error', () => {})
      const announced = Buffer.alloc(4)
      announced.writeUInt32BE(100_000)
      socket.write(announced)
      const timer = setInterval(() => socket.write('a'), 100)
      socket.once('close', () => clearInterval(timer))
      socket.resume()
    })
    trickling.listen(0, '127.0.0.1', () => {
      const source = { nextEntry: () => OWN, crashReports: () => [] }
      const address = `127.0.0.1:${(trickling.address() as AddressInfo).port}`
      const feed = new ControlFeed([address], source, new SystemClock(), new SeededRandom(1), SILENT)
      disposables.push(feed, { dispose: () => { trickling.close() } })
      feed.start()
    })
  })
  await left
}, 30_000)
