import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { AcceptedChannel } from '../control/ReplicaLinks.js'
import type { EvacuationState } from '../parts/evacuation/Types.js'
import { DepartureStore } from '../parts/instances/DepartureStore.js'
import type { NodeEntry } from '../parts/instances/Types.js'
import type { CrashReport } from '../parts/quarantine/Types.js'
import { Emitter } from '../runtime/Emitter.js'
import { NODE_TIMEOUT_MS } from './Constants.js'
import { NodeFeed } from './NodeFeed.js'
import type { NodeEntriesUpdate, RoutingReplica } from './RoutingReplica.js'
import type { FeedToNode } from './Types.js'

const NODES = 40
const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }
const clock = { nowMs: () => Date.now(), wallMs: () => Date.now() }

let nodeEntries = new Emitter<NodeEntriesUpdate>()
let crashReports = new Emitter<readonly CrashReport[]>()
let linkOpen = new Emitter<void>()
let evacuations = new Emitter<EvacuationState>()
let evacuation: EvacuationState = { revision: 0, zones: [] }
let broadcasts: Array<readonly NodeEntry[]> = []
let reportBroadcasts: Array<readonly CrashReport[]> = []
let feed: NodeFeed

beforeEach(() => {
  vi.useFakeTimers({ now: 1000 })
  nodeEntries = new Emitter()
  crashReports = new Emitter()
  linkOpen = new Emitter()
  evacuations = new Emitter()
  evacuation = { revision: 0, zones: [] }
  broadcasts = []
  reportBroadcasts = []
  feed = new NodeFeed({
    onNodeEntries: nodeEntries.event,
    onCrashReports: crashReports.event,
    onLinkOpen: linkOpen.event,
    machine: {
      onChange: new Emitter<void>().event,
      onEvacuation: evacuations.event,
      get evacuation () { return evacuation },
      departures: new DepartureStore(),
      store: { inForce: { version: 0 } }
    },
    memberAddresses: [],
    firstReadBarrier: async () => true,
    broadcastEntries: (entries: readonly NodeEntry[]) => broadcasts.push(entries),
    broadcastCrashReports: (reports: readonly CrashReport[]) => reportBroadcasts.push(reports)
  } as unknown as RoutingReplica, clock, SILENT)
})

afterEach(() => {
  feed.dispose()
  vi.useRealTimers()
})

function makeEntry (index: number, revision = 1): NodeEntry {
  return { node: `n${index}:1`, zone: 'a', epoch: 1, revision, state: 'up' }
}

function makeReport (sequence: number): CrashReport {
  return { fingerprint: 'f', node: 'n0', incarnation: 1, sequence, weight: 1, ageMs: 0 }
}

/** A connected node that counts the frames it is sent. */
interface ConnectedNode {
  encodedFrames: number
  readonly frames: FeedToNode[]
  publish (entry: NodeEntry): void
  sendReports (reports: readonly CrashReport[]): void
}

function connectNode (index: number, reports: readonly CrashReport[] = []): ConnectedNode {
  const messages = new Emitter<object>()
  const node: ConnectedNode = {
    encodedFrames: 0,
    frames: [],
    publish: entry => messages.fire({ type: 'publish', entry }),
    sendReports: sent => messages.fire({ type: 'crashReports', reports: sent })
  }
  const channel = {
    get lastReceivedMs () { return Date.now() },
    onMessage: messages.event,
    onClose: new Emitter<string>().event,
    send: (frame: FeedToNode) => node.frames.push(frame),
    sendEncoded: () => node.encodedFrames++,
    destroy: () => {},
    dispose: () => {}
  }
  feed.accept(channel as unknown as AcceptedChannel, { type: 'feedHello', entry: makeEntry(index), version: 0, reports })
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

test('an odd entry is dropped, and those beside it are taken', async () => {
  const node = connectNode(0)
  await vi.advanceTimersByTimeAsync(1000)
  const before = node.encodedFrames
  const odd = [{ ...makeEntry(1), node: 'n1:70000' }, { ...makeEntry(2), epoch: 1e308 }, 'odd', null] as NodeEntry[]
  nodeEntries.fire({ from: 'other', entries: odd, whole: true })
  await vi.advanceTimersByTimeAsync(100)
  expect([node.encodedFrames - before, feed.directory.size]).toEqual([0, 1])
  nodeEntries.fire({ from: 'other', entries: [...odd, makeEntry(3)], whole: true })
  await vi.advanceTimersByTimeAsync(100)
  expect([node.encodedFrames - before, feed.directory.size]).toEqual([1, 2])
})

test('a node cannot publish that another one is gone', async () => {
  const [node] = [connectNode(0), connectNode(1)]
  await vi.advanceTimersByTimeAsync(1000)
  broadcasts = []
  node!.publish({ ...makeEntry(1, 9), state: 'gone' })
  await vi.advanceTimersByTimeAsync(100)
  expect([broadcasts, feed.directory.size]).toEqual([[], 2])
})

test('crash reports of a node reach the other nodes, the other replicas and nodes that connect later', async () => {
  const [reporter, other] = [connectNode(0), connectNode(1)]
  await vi.advanceTimersByTimeAsync(1000)
  const before = other.encodedFrames
  reporter.sendReports([makeReport(1), makeReport(2)])
  await vi.advanceTimersByTimeAsync(100)
  expect([other.encodedFrames - before, reportBroadcasts.map(reports => reports.length)]).toEqual([1, [2]])
  const later = connectNode(2)
  await vi.advanceTimersByTimeAsync(0)
  expect(later.frames[0]).toMatchObject({ type: 'welcome', reports: [{ sequence: 1 }, { sequence: 2 }] })
})

test('crash reports from another replica reach the nodes and are not sent back to replicas', async () => {
  const node = connectNode(0)
  await vi.advanceTimersByTimeAsync(1000)
  const before = node.encodedFrames
  crashReports.fire([makeReport(1)])
  crashReports.fire([makeReport(1)])
  await vi.advanceTimersByTimeAsync(100)
  expect([node.encodedFrames - before, reportBroadcasts]).toEqual([1, []])
})

// A replica that has restarted has lost its reports.
test('a replica learns crash reports from the nodes and replicas that connect to it', async () => {
  connectNode(0, [makeReport(1)])
  await vi.advanceTimersByTimeAsync(100)
  expect(reportBroadcasts).toEqual([[makeReport(1)]])
  linkOpen.fire()
  expect(reportBroadcasts[1]).toMatchObject([{ sequence: 1 }])
})

function evacuate (state: EvacuationState): void {
  evacuation = state
  evacuations.fire(state)
}

// Frames must stay as they were where nobody ever orders an evacuation.
test('a welcome names evacuated zones only after an order', async () => {
  const before = connectNode(0)
  await vi.advanceTimersByTimeAsync(0)
  expect(Object.keys(before.frames[0]!)).toEqual(['type', 'entries', 'controls', 'departures'])
  evacuate({ revision: 1, zones: ['a'] })
  expect(before.encodedFrames).toBe(1)
  await vi.advanceTimersByTimeAsync(700)
  const later = connectNode(1)
  await vi.advanceTimersByTimeAsync(0)
  expect(later.frames[0]).toMatchObject({ type: 'welcome', evacuation: { revision: 1, zones: ['a'] }, evacuationAgeMs: 700 })
})

test('a replica that has not seen the order itself does not tell its age', async () => {
  evacuation = { revision: 4, zones: ['a'] }
  const node = connectNode(0)
  await vi.advanceTimersByTimeAsync(0)
  expect(node.frames[0]).toMatchObject({ evacuation: { revision: 4, zones: ['a'] } })
  expect(node.frames[0]).not.toHaveProperty('evacuationAgeMs')
})
