import { afterEach, expect, test } from 'vitest'
import { findFreeAddresses } from '../demo/FreePorts.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import type { FeedToNode, NodeToFeed } from '../routecontrol/Types.js'
import type { FrameChannel } from '../runtime/FrameChannel.js'
import { FrameServer } from '../runtime/FrameServer.js'
import { SystemClock } from '../runtime/SystemClock.js'
import type { Disposable } from '../runtime/Types.js'
import { ControlFeed, type EvacuationUpdate } from './ControlFeed.js'

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const ENTRY = { node: 'n:1', zone: 'a', epoch: 1, revision: 1, state: 'up' } as const
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }

const disposables: Disposable[] = []

afterEach(() => { disposables.splice(0).forEach(item => item.dispose()) })

/** The part of a welcome that tells of evacuations. */
type Evacuations = Pick<Extract<FeedToNode, { type: 'welcome' }>, 'evacuation' | 'evacuationAgeMs'>

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
