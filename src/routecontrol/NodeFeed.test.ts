import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { AcceptedChannel } from '../control/ReplicaLinks.js'
import type { NodeEntry } from '../parts/instances/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import { NODE_TIMEOUT_MS } from './Constants.js'
import { NodeFeed } from './NodeFeed.js'
import type { NodeEntriesUpdate, RoutingReplica } from './RoutingReplica.js'
import type { NodeToFeed } from './Types.js'

const NODES = 40
const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const clock = { nowMs: () => Date.now(), wallMs: () => Date.now() }

let nodeEntries = new Emitter<NodeEntriesUpdate>()
let broadcasts: Array<readonly NodeEntry[]> = []
let feed: NodeFeed

beforeEach(() => {
  vi.useFakeTimers({ now: 1000 })
  nodeEntries = new Emitter()
  broadcasts = []
  feed = new NodeFeed({
    onNodeEntries: nodeEntries.event,
    onLinkOpen: new Emitter<void>().event,
    machine: { onChange: new Emitter<void>().event, store: { inForce: { version: 0 } } },
    memberAddresses: [],
    firstReadBarrier: async () => true,
    broadcastEntries: (entries: readonly NodeEntry[]) => broadcasts.push(entries)
  } as unknown as RoutingReplica, clock, SILENT)
})

afterEach(() => {
  feed.dispose()
  vi.useRealTimers()
})

function makeEntry (index: number, revision = 1): NodeEntry {
  return { node: `n${index}`, zone: 'a', epoch: 1, revision, state: 'up' }
}

/** A connected node that counts the frames it is sent. */
interface ConnectedNode {
  encodedFrames: number
  readonly frames: NodeToFeed[]
  publish (entry: NodeEntry): void
}

function connectNode (index: number): ConnectedNode {
  const messages = new Emitter<object>()
  const node: ConnectedNode = {
    encodedFrames: 0,
    frames: [],
    publish: entry => messages.fire({ type: 'publish', entry })
  }
  const channel = {
    get lastReceivedMs () { return Date.now() },
    onMessage: messages.event,
    onClose: new Emitter<string>().event,
    send: (frame: NodeToFeed) => node.frames.push(frame),
    sendEncoded: () => node.encodedFrames++,
    destroy: () => {},
    dispose: () => {}
  }
  feed.accept(channel as unknown as AcceptedChannel, { type: 'feedHello', entry: makeEntry(index), version: 0 })
  return node
}

// Each frame costs every node processor time: with one for each node that connects, a restart costs the square of them.
test('nodes that connect together are announced to each other in a few frames', async () => {
  const nodes = Array.from({ length: NODES }, (_, index) => connectNode(index))
  await vi.advanceTimersByTimeAsync(1000)
  for (const { encodedFrames } of nodes) expect(encodedFrames).toBeLessThanOrEqual(3)
  expect(broadcasts.flat()).toHaveLength(NODES)
  expect(broadcasts.length).toBeLessThanOrEqual(3)
})

test('nodes at rest are sent nothing, and replicas get the entries of their nodes again', async () => {
  const nodes = Array.from({ length: NODES }, (_, index) => connectNode(index))
  await vi.advanceTimersByTimeAsync(1000)
  const before = nodes.map(({ encodedFrames }) => encodedFrames)
  broadcasts = []
  await vi.advanceTimersByTimeAsync(10 * NODE_TIMEOUT_MS)
  expect(nodes.map(({ encodedFrames }) => encodedFrames)).toEqual(before)
  expect(broadcasts.map(entries => entries.length)).toEqual([NODES, NODES, NODES])
})

test('an entry from another replica reaches the nodes and is not sent back to replicas', async () => {
  const node = connectNode(0)
  await vi.advanceTimersByTimeAsync(1000)
  const before = node.encodedFrames
  broadcasts = []
  nodeEntries.fire({ from: 'other', entries: [makeEntry(1), makeEntry(0)], whole: true })
  await vi.advanceTimersByTimeAsync(100)
  expect([node.encodedFrames - before, broadcasts]).toEqual([1, []])
})

test('only the newest of several publications within a batch is sent', async () => {
  const node = connectNode(0)
  await vi.advanceTimersByTimeAsync(1000)
  broadcasts = []
  for (let revision = 2; revision <= 5; revision++) node.publish(makeEntry(0, revision))
  await vi.advanceTimersByTimeAsync(100)
  expect(broadcasts).toEqual([[makeEntry(0, 5)]])
})
