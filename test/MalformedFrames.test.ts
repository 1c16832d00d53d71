import { connect } from 'node:net'
import fc from 'fast-check'
import { afterEach, expect, test } from 'vitest'
import { parseAddress } from '../src/runtime/Address.js'
import { FrameChannel } from '../src/runtime/FrameChannel.js'
import { SystemClock } from '../src/runtime/SystemClock.js'
import { RouteMesh } from './support/RouteMesh.js'
import { sendBytes } from './support/SendBytes.js'

const SEED = 28
const FRAMES = 150

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

const value = fc.jsonValue({ maxDepth: 2 })
const report = fc.record({
  fingerprint: value, node: value, incarnation: value, sequence: value, weight: value, ageMs: value, cleared: value
}, { requiredKeys: [] })

/** Frames whose fields have any type, or are missing. */
const frame: fc.Arbitrary<object> = fc.oneof(
  fc.record({ type: fc.constant('crashReports'), reports: fc.oneof(value, fc.array(fc.oneof(report, value))) }),
  fc.record({ type: fc.constantFrom('feedHello', 'publish'), entry: value, version: value, reports: fc.array(report) }),
  fc.record({ type: fc.constantFrom('call', 'callHello', 'cancel', 'ping'), call: value, id: value, node: value }),
  fc.record({ type: fc.constantFrom('replicaHello', 'agreement', 'formation', 'join', 'readIndex', 'nodeEntries') }),
  fc.record({ type: value }),
  fc.dictionary(fc.string(), value)
)

/** Sends frames on a new connection and resolves when it has closed at both ends. */
async function sendFrames (address: string, frames: readonly object[]): Promise<void> {
  const { host, port } = parseAddress(address)
  const socket = connect(port, host)
  await new Promise(resolve => socket.once('connect', resolve))
  const channel = new FrameChannel<object, object>(socket, new SystemClock())
  const closed = new Promise<void>(resolve => channel.onClose(() => resolve()))
  for (const item of frames) channel.send(item)
  channel.end()
  await closed
}

// A frame that ends the process, or that breaks the connections of others, would be a failure of one for all.
test('malformed frames of another process end their connection at most', async () => {
  const started = await RouteMesh.start(2)
  mesh = started
  const [first] = started.nodes
  const frames = fc.sample(frame, { seed: SEED, numRuns: FRAMES })
  for (const address of [first!.nodeAddress, first!.settings.seeds[0]!]) {
    for (const item of frames) await sendFrames(address, [item])
    const hello = address === first!.nodeAddress
      ? { type: 'callHello', node: 'stranger' }
      : { type: 'feedHello', entry: { node: 'stranger:1', zone: 'a', epoch: 1, revision: 1, state: 'stopping' }, version: 0 }
    for (const item of frames) await sendFrames(address, [hello, item])
  }
  await started.restart(started.nodes[1]!)
  for (const node of started.nodes) expect((await started.call(node, '/read/x')).statusCode).toBe(200)
})

test('bytes that are neither a frame nor a request end their connection at most', async () => {
  const started = await RouteMesh.start(2)
  mesh = started
  const [first] = started.nodes
  const bytes = fc.oneof(
    fc.uint8Array({ maxLength: 300 }),
    fc.string().map(text => Buffer.from(`GET /read/${text} HTTP/1.1\r\nhost: h.example\r\n${text}\r\n\r\n`))
  )
  const callers = first!.callerUrl.replace('http://', '')
  for (const address of [callers, first!.nodeAddress, first!.settings.seeds[0]!]) {
    for (const stream of fc.sample(bytes, { seed: SEED, numRuns: FRAMES })) await sendBytes(address, stream)
  }
  for (const node of started.nodes) expect((await started.call(node, '/read/x')).statusCode).toBe(200)
})
