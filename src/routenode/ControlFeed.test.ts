import { afterEach, expect, test } from 'vitest'
import { ShiftedClock } from '../../test/support/ShiftedClock.js'
import { findFreeAddresses } from '../demo/FreePorts.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import type { FeedToNode, NodeToFeed } from '../routecontrol/Types.js'
import type { FrameChannel } from '../runtime/FrameChannel.js'
import { FrameServer } from '../runtime/FrameServer.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Clock, Disposable } from '../runtime/Types.js'
import { ControlFeed, type EvacuationUpdate } from './ControlFeed.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const ENTRY = { node: 'n:1', zone: 'a', epoch: 1, revision: 1, state: 'up' } as const
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }

const disposables: Disposable[] = []

afterEach(() => { disposables.splice(0).forEach(item => item.dispose()) })

/** The part of a welcome that tells of evacuations. */
type Evacuations = Pick<Extract<FeedToNode, { type: 'welcome' }>, 'evacuation' | 'evacuationAgeMs'>

function makeFeed (seed: string, randomSeed: number, clock: Clock = new SystemClock()): ControlFeed {
  const source = { nextEntry: () => ENTRY, crashReports: () => [] }
  return new ControlFeed([seed], source, clock, new SeededRandom(randomSeed), SILENT)
}

/** Connects a feed to a replica that sends one welcome on each connection, and on the last one other frames. */
async function receive (
  welcomes: readonly Evacuations[], later: readonly FeedToNode[] = []
): Promise<Array<EvacuationUpdate | 'routing'>> {
  const server = new FrameServer<NodeToFeed, FeedToNode>(new SystemClock())
  const address = await server.listen((await findFreeAddresses(1))[0] as string)
  let connections = 0
  server.onChannel(channel => channel.onMessage(({ type }) => {
    if (type !== 'feedHello') return
    const index = connections++
    channel.send({ type: 'welcome', entries: [], controls: [address], ...welcomes[index] })
    if (index === welcomes.length - 1) sendRest(channel, later)
    else channel.send({ type: 'feedPong', fit: false })
  }))
  const source = { nextEntry: () => ENTRY, crashReports: () => [] }
  const feed = new ControlFeed([address], source, new SystemClock(), new SeededRandom(1), SILENT)
  disposables.push(feed, server)
  const received: Array<EvacuationUpdate | 'routing'> = []
  feed.onEvacuation(update => received.push(update))
  const ended = new Promise<void>(resolve => feed.onRouting(() => {
    received.push('routing')
    resolve()
  }))
  feed.start()
  await ended
  return received
}

function sendRest (channel: FrameChannel<NodeToFeed, FeedToNode>, later: readonly FeedToNode[]): void {
  later.forEach(frame => channel.send(frame))
  channel.send({ type: 'routing', routing: { version: 1, configuration: { routes: [], services: [], limits: LIMITS } } })
}

// A node that serves before it knows of an evacuation sends requests to the zone.
test('a node that has just started knows the evacuated zones, as old ones, before it has a configuration', async () => {
  const evacuation = { revision: 2, zones: ['b'] }
  expect(await receive([{ evacuation, evacuationAgeMs: 10 }])).toEqual([{ evacuation, ageMs: Infinity }, 'routing'])
})

test('a node that was connected before takes over the age of a change that it has missed', async () => {
  const evacuation = { revision: 2, zones: ['b'] }
  expect(await receive([{}, { evacuation, evacuationAgeMs: 10 }])).toEqual([{ evacuation, ageMs: 10 }, 'routing'])
  expect(await receive([{}, { evacuation }])).toEqual([{ evacuation, ageMs: Infinity }, 'routing'])
})

test('a change while connected is new', async () => {
  const evacuation = { revision: 1, zones: ['a'] }
  expect(await receive([{}], [{ type: 'evacuation', evacuation }])).toEqual([{ evacuation, ageMs: 0 }, 'routing'])
})

// Another replica may lag behind the one that the node was connected to.
test('older revisions are ignored, in welcomes and in frames', async () => {
  const [old, newer] = [{ revision: 4, zones: [] }, { revision: 5, zones: ['a'] }]
  const received = await receive(
    [{ evacuation: newer }, { evacuation: old }, { evacuation: newer, evacuationAgeMs: 900 }, {}],
    [{ type: 'evacuation', evacuation: old }]
  )
  expect(received).toEqual([{ evacuation: newer, ageMs: Infinity }, { evacuation: newer, ageMs: 900 }, 'routing'])
})

test('a node that a replica turns away again and again goes on to the next replica', async () => {
  const [first, second] = await findFreeAddresses(2) as [string, string]
  for (const address of [first, second]) {
    const server = new FrameServer<NodeToFeed, FeedToNode>(new SystemClock())
    await server.listen(address)
    disposables.push(server)
    server.onChannel(channel => channel.onMessage(() => {
      if (address === second) return channel.send({ type: 'welcome', entries: [], controls: [first, second] })
      channel.send({ type: 'controls', controls: [first, second] })
      channel.send({ type: 'feedPong', fit: false })
    }))
  }
  const source = { nextEntry: () => ENTRY, crashReports: () => [] }
  const feed = new ControlFeed([first], source, new SystemClock(), new SeededRandom(1), SILENT)
  disposables.push(feed)
  const welcomed = new Promise(resolve => feed.onWelcome(resolve))
  feed.start()
  await welcomed
  expect(feed.replicaAddress).toBe(second)
})

// A node whose replica is frozen must have a change that is acknowledged one second later within its deadline, two
// seconds, although other replicas are frozen too.
test('a node leaves a silent replica within three seconds, also when two more are silent', async () => {
  const [home, silent, other, sound] = await findFreeAddresses(4) as [string, string, string, string]
  const controls = [home, silent, other, sound]
  let isHomeSilent = false
  for (const address of controls) {
    const server = new FrameServer<NodeToFeed, FeedToNode>(new SystemClock())
    await server.listen(address)
    disposables.push(server)
    server.onChannel(channel => channel.onMessage(({ type }) => {
      if (address === silent || address === other || (address === home && isHomeSilent)) return
      channel.send(type === 'feedPing' ? { type: 'feedPong', fit: true } : { type: 'welcome', entries: [], controls })
    }))
  }
  const feeds = Array.from({ length: 12 }, (_, seed) => makeFeed(home, seed))
  disposables.push(...feeds)
  const welcomes = feeds.map(async feed => await new Promise(resolve => feed.onWelcome(resolve)))
  feeds.forEach(feed => feed.start())
  await Promise.all(welcomes)
  isHomeSilent = true
  const silentSinceMs = performance.now()
  const moves = feeds.map(async feed => await new Promise<number>(resolve => {
    feed.onWelcome(() => resolve(performance.now() - silentSinceMs))
  }))
  expect(Math.max(...await Promise.all(moves))).toBeLessThan(3000)
  expect(new Set(feeds.map(feed => feed.replicaAddress))).toEqual(new Set([sound]))
}, 15_000)

// The frames that arrived during a pause are read only after the timers; a new connection would delay them further.
test('a node that was paused keeps its connection to a replica that is not silent', async () => {
  const server = new FrameServer<NodeToFeed, FeedToNode>(new SystemClock())
  const address = await server.listen((await findFreeAddresses(1))[0] as string)
  const clock = new ShiftedClock()
  let connections = 0
  const answered = new Promise<void>(resolve => {
    server.onChannel(channel => {
      connections++
      channel.onMessage(({ type }) => {
        if (type === 'feedHello') return channel.send({ type: 'welcome', entries: [], controls: [address] })
        channel.send({ type: 'feedPong', fit: true })
        if (clock.shiftMs > 0) resolve()
      })
    })
  })
  const feed = makeFeed(address, 1, clock)
  disposables.push(feed, server)
  const welcomed = new Promise(resolve => feed.onWelcome(resolve))
  feed.start()
  await welcomed
  clock.shiftMs = 5000
  await answered
  await new Promise(resolve => setTimeout(resolve, 500))
  expect(connections).toBe(1)
  expect(feed.replicaAddress).toBe(address)
})

test('a version that failed to come into force is not reported as in force and is sent again', async () => {
  const server = new FrameServer<NodeToFeed, FeedToNode>(new SystemClock())
  const address = await server.listen((await findFreeAddresses(1))[0] as string)
  const versions: number[] = []
  const configuration = { routes: [], services: [], limits: LIMITS }
  server.onChannel(channel => channel.onMessage(frame => {
    if (frame.type !== 'feedHello') return
    versions.push(frame.version)
    channel.send({ type: 'welcome', entries: [], controls: [address] })
    if (frame.version < 1) channel.send({ type: 'routing', routing: { version: 1, configuration } })
  }))
  const feed = makeFeed(address, 1)
  disposables.push(feed, server)
  let attempts = 0
  const applied = new Promise<void>(resolve => feed.onRouting(() => {
    if (++attempts === 1) throw new Error('listener failed')
    resolve()
  }))
  feed.start()
  await applied
  expect(versions).toEqual([0, 0])
})
