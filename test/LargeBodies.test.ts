import { afterEach, expect, test } from 'vitest'
import { type IncomingMessage, request, type ServerResponse } from 'node:http'
import { connect } from 'node:net'
import { FakeNode, type FakeNodeChannel, IDLE_STATUS } from './support/FakeNode.js'
import { HEADER_NAMES, makeRoute, type MeshNode, type MockInstance, pause, RouteMesh } from './support/RouteMesh.js'
import {
  awaitNoBodies, awaitTransfer, BodyRecorder, drainInstance, makeBody, openUpload, readBodies, startUpload, type Upload
} from './support/Uploads.js'
import { SeededRandom } from '../src/parts/SeededRandom.js'
import { CHUNK_BYTES } from '../src/parts/transfer/Constants.js'
import type { CallClientFrame, CallServerFrame, RoutedCall } from '../src/routenode/Types.js'
import { parseAddress } from '../src/runtime/Address.js'
import { FrameChannel } from '../src/runtime/FrameChannel.js'
import { SystemClock } from '../src/runtime/SystemClock.js'

/** The largest size in use, and one whose transfer on loopback takes long enough for a test to act in the middle. */
const LARGE_BYTES = 360 * 1024
const HUGE_BYTES = 12 * 1024 * 1024

/** Memory of a node whose quarter holds one large body and not two. */
const SMALL_MEMORY_MB = 2

let mesh: RouteMesh | undefined
let fake: FakeNode | undefined

afterEach(() => {
  fake?.dispose()
  mesh?.dispose()
  fake = undefined
  mesh = undefined
})

/** Starts a mesh with a route for uploads; the instance of the first node takes no calls, so that bodies are moved. */
async function startMesh (
  count: number, settings: { readonly memoryMb?: number, readonly linkMbps?: number } = {}
): Promise<{ started: RouteMesh, caller: MeshNode, recorder: BodyRecorder }> {
  mesh = await RouteMesh.start(count, { settings: () => settings })
  const limits = { maxHeaderBytes: 16384, maxBodyBytes: 64 * 1024 * 1024, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  await mesh.configureWith({ routes: [makeRoute('upload', 'upload', { timeoutMs: 20_000 })], limits })
  const recorder = new BodyRecorder()
  for (const { instance } of mesh.nodes) instance.behaviour = recorder.behaviour
  const [caller] = mesh.nodes as [MeshNode]
  drainInstance(caller)
  const others = count - 1
  while (mesh.readyCount(caller) > others) await pause()
  return { started: mesh, caller, recorder }
}

/** Adds a fake node to a mesh whose first node then knows `instances` instances. */
async function startFake (
  started: RouteMesh, instances: number, onFrame: (channel: FakeNodeChannel, frame: CallClientFrame) => void
): Promise<FakeNode> {
  fake = new FakeNode(onFrame)
  await fake.start(started.nodes[0]!)
  await started.awaitInstances(started.nodes[0]!, instances)
  return fake
}

test('an upload reaches the instance on another VM whole, and leaves no memory taken', async () => {
  const { started, caller, recorder } = await startMesh(2)
  for (const bytes of [1, CHUNK_BYTES, CHUNK_BYTES + 1, LARGE_BYTES]) {
    const body = makeBody(bytes, bytes)
    const upload = startUpload(caller, body)
    expect((await upload.result).status).toBe(200)
    expect(recorder.hasWhole(upload, body)).toBe(true)
  }
  await awaitNoBodies(started)
  const movedBytes = 1 + CHUNK_BYTES + CHUNK_BYTES + 1 + LARGE_BYTES
  const metrics = await started.nodes[1]!.daemon.metrics.text()
  expect(metrics).toContain(`sassafras_body_bytes_moved_total{direction="received"} ${movedBytes}`)
})

test('an upload to the instance on the same VM is not moved', async () => {
  mesh = await RouteMesh.start(1)
  await mesh.configure(makeRoute('upload', 'upload'))
  const [node] = mesh.nodes as [MeshNode]
  const recorder = new BodyRecorder()
  node.instance.behaviour = recorder.behaviour
  const body = makeBody(LARGE_BYTES)
  const upload = startUpload(node, body)
  expect([(await upload.result).status, recorder.hasWhole(upload, body)]).toEqual([200, true])
  expect(await node.daemon.metrics.text()).not.toContain('sassafras_body_bytes_moved_total{')
})

test('a large answer to an upload arrives whole', async () => {
  const { started, caller } = await startMesh(2)
  const answer = makeBody(LARGE_BYTES).toString('hex')
  started.nodes[1]!.instance.behaviour = ({ headers }, response) => {
    const id = String(headers[HEADER_NAMES.requestId])
    response.writeHead(200, { [HEADER_NAMES.requestId]: id, [HEADER_NAMES.signature]: 's', 'content-length': answer.length })
    response.end(answer)
  }
  const { status, body } = await startUpload(caller, makeBody(100)).result
  expect([status, body === answer]).toEqual([200, true])
  await awaitNoBodies(started)
})

// The rest of the body would keep the connection and its memory for as long as the instance does not read.
test('an instance may answer before it has read the body, whose rest is not sent', async () => {
  const { started, caller } = await startMesh(2)
  const [, { instance }] = started.nodes as [MeshNode, MeshNode]
  const closedConnections: Array<Promise<number>> = []
  instance.behaviour = (incoming, response) => {
    const { socket } = incoming
    closedConnections.push(new Promise(resolve => socket.once('close', () => resolve(socket.bytesRead))))
    instance.answer(incoming, response)
  }
  for (let i = 0; i < 3; i++) expect((await startUpload(caller, makeBody(HUGE_BYTES)).result).status).toBe(200)
  expect(instance.ran).toHaveLength(3)
  await awaitNoBodies(started)
  for (const readBytes of await Promise.all(closedConnections)) expect(readBytes).toBeLessThan(HUGE_BYTES)
})

function reject ({ headers }: IncomingMessage, response: ServerResponse, instance: MockInstance): void {
  instance.ran.pop()
  const id = String(headers[HEADER_NAMES.requestId])
  response.writeHead(503, { [HEADER_NAMES.requestId]: id, [HEADER_NAMES.notExecuted]: '1' }).end()
}

test('an upload that an instance rejects before it has read the body goes to another, whole', async () => {
  const { started, caller, recorder } = await startMesh(3)
  const rejecting: MockInstance[] = []
  for (const { instance } of started.nodes) {
    instance.behaviour = (incoming, response) => {
      if (rejecting.length > 0) return recorder.behaviour(incoming, response, instance)
      rejecting.push(instance)
      reject(incoming, response, instance)
    }
  }
  const body = makeBody(HUGE_BYTES)
  const upload = startUpload(caller, body)
  expect([(await upload.result).status, recorder.hasWhole(upload, body)]).toEqual([200, true])
  expect([rejecting.length, rejecting[0]?.ran.length, started.startedCount]).toEqual([1, 0, 1])
  await awaitNoBodies(started)
})

test('an upload that every instance rejects is refused as not run', async () => {
  const { started, caller } = await startMesh(2)
  started.nodes[1]!.instance.behaviour = reject
  const { status, headers } = await startUpload(caller, makeBody(LARGE_BYTES)).result
  expect([status, headers['retry-after'] !== undefined, started.startedCount]).toEqual([503, true, 0])
})

test('an upload whose instance resets or dies in the middle of the body does not run again', async () => {
  const { started, caller } = await startMesh(3)
  const instances = started.nodes.slice(1).map(({ instance }) => instance)
  const reset = ({ socket }: IncomingMessage): void => { socket.resetAndDestroy() }
  for (const instance of instances) instance.behaviour = incoming => incoming.once('data', () => reset(incoming))
  expect((await startUpload(caller, makeBody(HUGE_BYTES)).result).status).toBe(502)
  expect(started.startedCount).toBe(1)
  for (const instance of instances) instance.behaviour = incoming => incoming.once('data', () => instance.crash())
  expect((await startUpload(caller, makeBody(HUGE_BYTES)).result).status).toBe(502)
  expect(started.startedCount).toBe(2)
  await awaitNoBodies(started)
})

test('an upload whose instance dies while its body is on the way has not run, and goes to another', async () => {
  const { started, caller, recorder } = await startMesh(3)
  const body = makeBody(HUGE_BYTES)
  const upload = startUpload(caller, body)
  await awaitTransfer(caller)
  const receiver = started.nodes.slice(1).find(node => readBodies(node).openTransfers > 0) as MeshNode
  receiver.instance.crash()
  expect([(await upload.result).status, recorder.hasWhole(upload, body)]).toEqual([200, true])
  expect(started.startedCount).toBe(1)
  await awaitNoBodies(started)
})

test('an upload whose receiving node is killed in the middle of the body goes to another', async () => {
  const { started, caller, recorder } = await startMesh(3)
  const body = makeBody(HUGE_BYTES)
  const upload = startUpload(caller, body)
  await awaitTransfer(caller)
  const receiver = started.nodes.slice(1).find(node => readBodies(node).openTransfers > 0) as MeshNode
  receiver.daemon.dispose()
  expect([(await upload.result).status, recorder.hasWhole(upload, body)]).toEqual([200, true])
  expect(started.startedCount).toBe(1)
})

test('an upload whose link falls silent in the middle of the body has not run, and goes to another instance', async () => {
  const { started, caller, recorder } = await startMesh(2)
  const silences: string[] = []
  await startFake(started, 2, (channel, frame) => {
    if (frame.type === 'call') channel.send({ type: 'sendBody', id: frame.call.id })
    if (frame.type !== 'bodyChunk') return
    silences.push(frame.type)
    // Not even pings are answered from now on.
    channel.send = () => true
  })
  const body = makeBody(LARGE_BYTES)
  while (silences.length === 0) {
    // At once, so that both instances are chosen.
    const uploads = Array.from({ length: 4 }, () => startUpload(caller, body))
    for (const upload of uploads) {
      expect([(await upload.result).status, recorder.hasWhole(upload, body)]).toEqual([200, true])
    }
  }
  expect(started.nodes[1]!.instance.ran).toHaveLength(new Set(started.nodes[1]!.instance.ran).size)
})

test('a client that leaves in the middle of its body frees its memory, and nothing is sent to an instance', async () => {
  const { started, caller } = await startMesh(2)
  const upload = openUpload(caller, LARGE_BYTES)
  upload.request.write(makeBody(CHUNK_BYTES))
  while (readBodies(caller).heldBytes === 0) await pause()
  // Memory is taken as the body arrives.
  expect(readBodies(caller).heldBytes).toBe(CHUNK_BYTES)
  upload.request.destroy()
  await awaitNoBodies(started)
  expect(started.startedCount).toBe(0)
})

test('a client that leaves while its body is moved frees the slot and the memory, and the instance sees nothing', async () => {
  const { started, caller } = await startMesh(2)
  const upload = startUpload(caller, makeBody(HUGE_BYTES))
  await awaitTransfer(started.nodes[1]!)
  upload.request.destroy()
  await awaitNoBodies(started)
  const { load } = started.nodes[1]!.daemon.state() as { readonly load: { readonly running: number } }
  expect([load.running, started.startedCount]).toEqual([0, 0])
})

test('a planned stop of the caller\'s node waits for a body that is on its way', async () => {
  const { started, caller } = await startMesh(1)
  const held: FakeNodeChannel[] = []
  let receivedBytes = 0
  await startFake(started, 1, (channel, frame) => {
    if (frame.type === 'call') channel.send({ type: 'sendBody', id: frame.call.id })
    if (frame.type !== 'bodyChunk') return
    receivedBytes += frame.body.length
    // The acknowledgement of the first chunk is held back.
    if (held.length === 0) held.push(channel)
    else channel.send({ type: 'chunkAck' })
    if (receivedBytes < LARGE_BYTES) return
    const answer = { status: 200, headers: [HEADER_NAMES.signature, 's'], body: new Uint8Array(0) }
    channel.send({ type: 'answer', id: frame.id, answer, load: IDLE_STATUS })
  })
  const upload = startUpload(caller, makeBody(LARGE_BYTES))
  while (held.length === 0) await pause()
  const stopped = caller.daemon.stop()
  await refusesConnections(caller.callerUrl)
  expect(receivedBytes).toBe(CHUNK_BYTES)
  held[0]?.send({ type: 'chunkAck' })
  expect((await upload.result).status).toBe(200)
  await stopped
})

test('a planned stop of the instance\'s node waits for a body that is on its way', async () => {
  const { started } = await startMesh(2)
  const [, stopping] = started.nodes as [MeshNode, MeshNode]
  const socket = connect(parseAddress(stopping.nodeAddress))
  const channel = new FrameChannel<CallServerFrame, CallClientFrame>(socket, new SystemClock())
  const wanted = new Promise<void>(resolve => channel.onMessage(({ type }) => { if (type === 'sendBody') resolve() }))
  const ended = new Promise<string>(resolve => {
    channel.onMessage(frame => { if (frame.type === 'answer') resolve(`answer ${frame.answer.status}`) })
    channel.onMessage(frame => { if (frame.type === 'failed') resolve(`failed ${frame.reason}`) })
    channel.onClose(resolve)
  })
  channel.send({ type: 'call', call: { ...ANNOUNCED, bodyBytes: 1000 } })
  await wanted
  let sentBytes = 0
  const sendByte = (): void => {
    sentBytes++
    channel.send({ type: 'bodyChunk', id: 1, body: new Uint8Array(1) })
  }
  // A sender that sends nothing would count as stalled.
  const timer = setInterval(sendByte, 100)
  const stopped = stopping.daemon.stop()
  await refusesConnections(stopping.callerUrl)
  clearInterval(timer)
  channel.send({ type: 'bodyChunk', id: 1, body: new Uint8Array(1000 - sentBytes) })
  expect(await ended).toBe('answer 200')
  await stopped
})

test('a planned stop of the instance\'s node waits for another node that receives a large answer slowly', async () => {
  const { started } = await startMesh(2)
  const [, stopping] = started.nodes as [MeshNode, MeshNode]
  const answer = makeBody(LARGE_BYTES)
  stopping.instance.behaviour = ({ headers }, response) => {
    const id = String(headers[HEADER_NAMES.requestId])
    response.writeHead(200, { [HEADER_NAMES.requestId]: id, [HEADER_NAMES.signature]: 's', 'content-length': answer.length })
    response.end(answer)
  }
  const socket = connect(parseAddress(stopping.nodeAddress))
  const channel = new FrameChannel<CallServerFrame, CallClientFrame>(socket, new SystemClock())
  const chunks: Uint8Array[] = []
  let acknowledge = (): void => {}
  const closed = new Promise(resolve => channel.onClose(resolve))
  const begun = new Promise<void>(resolve => channel.onMessage(frame => {
    if (frame.type === 'sendBody') channel.send({ type: 'bodyChunk', id: 1, body: new Uint8Array(1) })
    if (frame.type !== 'bodyChunk') return
    chunks.push(Uint8Array.from(frame.body))
    acknowledge()
    resolve()
  }))
  channel.send({ type: 'call', call: { ...ANNOUNCED, bodyBytes: 1 } })
  await begun
  const stopped = stopping.daemon.stop()
  await refusesConnections(stopping.callerUrl)
  expect(chunks).toHaveLength(1)
  acknowledge = () => { channel.send({ type: 'chunkAck' }) }
  acknowledge()
  await closed
  expect(Buffer.concat(chunks).equals(answer)).toBe(true)
  await stopped
})

/** A call of another node for an upload. */
const ANNOUNCED: RoutedCall = {
  id: 1,
  service: 'svc',
  method: 'POST',
  target: '/upload/x',
  headers: ['Host', 'h.example', HEADER_NAMES.requestId, 'announced'],
  body: new Uint8Array(0),
  bodyBytes: LARGE_BYTES,
  requestId: 'announced',
  work: 'upload',
  kind: 'upload',
  nested: false,
  priority: 1,
  leftMs: 20_000,
  objectiveLeftMs: 10_000,
  moveMs: undefined,
  attempt: 'first'
}

test('an upload that the memory of its node has no room for is refused before its body is read', async () => {
  const { started, caller } = await startMesh(2, { memoryMb: SMALL_MEMORY_MB })
  const [, { instance }] = started.nodes as [MeshNode, MeshNode]
  let answer = (): void => {}
  instance.behaviour = (incoming, response) => { answer = () => instance.answer(incoming, response) }
  const held = startUpload(caller, makeBody(LARGE_BYTES))
  while (instance.ran.length === 0) await pause()
  expect(readBodies(caller).heldBytes).toBe(LARGE_BYTES)
  const refused = openUpload(caller, LARGE_BYTES)
  refused.request.flushHeaders()
  const { status, headers, body } = await refused.result
  expect([status, JSON.parse(body)]).toEqual([503, { reason: 'body-memory', notRun: true }])
  expect(Number(headers['retry-after'])).toBeGreaterThan(0)
  expect(readBodies(caller).heldBytes).toBe(LARGE_BYTES)
  expect(await caller.daemon.metrics.text()).toContain('sassafras_bodies_refused_total{origin="caller"} 1')
  refused.request.destroy()
  answer()
  expect((await held.result).status).toBe(200)
  await awaitNoBodies(started)
})

// A connection that is closed while its caller sends is reset, which takes the refusal with it.
test('a caller that reads nothing before it has sent its body receives the refusal, also during a planned stop', async () => {
  const { caller } = await startMesh(2, { memoryMb: SMALL_MEMORY_MB })
  expect(await sendBeforeReading(caller, HUGE_BYTES)).toMatch(/^HTTP\/1.1 503 /)
  const stopped = caller.daemon.stop()
  expect(await sendBeforeReading(caller, HUGE_BYTES)).toMatch(/^HTTP\/1.1 503 /)
  await stopped
  expect(readBodies(caller).heldBytes).toBe(0)
})

/** Sends an upload and then reads; returns the beginning of the answer, or the error of the connection. */
async function sendBeforeReading ({ settings }: MeshNode, bytes: number): Promise<string> {
  const socket = connect(parseAddress(settings.callerAddress))
  return await new Promise(resolve => {
    socket.once('error', error => resolve(error.message))
    socket.pause()
    socket.write(`POST /upload/x HTTP/1.1\r\nhost: h.example\r\n${HEADER_NAMES.requestId}: raw\r\ncontent-length: ${bytes}\r\n\r\n`)
    socket.write(makeBody(bytes), () => {
      socket.once('data', chunk => {
        resolve(String(chunk))
        socket.destroy()
      })
      socket.resume()
    })
  })
}

test('a body of unknown length is refused once the memory has no room for what has arrived', async () => {
  const { started, caller } = await startMesh(2, { memoryMb: SMALL_MEMORY_MB })
  const upload = openUpload(caller, undefined)
  upload.request.end(makeBody(LARGE_BYTES))
  expect((await upload.result).status).toBe(200)
  const large = openUpload(caller, undefined)
  large.request.end(makeBody(HUGE_BYTES))
  expect((await large.result).status).toBe(503)
  await awaitNoBodies(started)
  expect(started.startedCount).toBe(1)
})

// A client that never ends its body would hold its memory for ever.
test('an upload whose body does not arrive before its deadline is refused and frees its memory', async () => {
  const { started, caller } = await startMesh(2)
  const upload = openUpload(caller, LARGE_BYTES, 300)
  upload.request.write(makeBody(CHUNK_BYTES))
  const { status, body } = await upload.result
  expect([status, JSON.parse(body)]).toEqual([503, { reason: 'body-late', notRun: true }])
  await awaitNoBodies(started)
  expect(started.startedCount).toBe(0)
})

// The caller reads the refusal and knows that nothing has run.
test('an upload that was refused as late does not run when its body is completed after all', async () => {
  const { started } = await startMesh(2)
  // The instance on its VM would run it at once, on the connection that is open already.
  const [, caller] = started.nodes as [MeshNode, MeshNode]
  expect((await startUpload(caller, makeBody(1)).result).status).toBe(200)
  const socket = connect(parseAddress(caller.settings.callerAddress))
  const head = ['POST /upload/x HTTP/1.1', 'host: h.example', `${HEADER_NAMES.deadlineMs}: 200`, 'content-length: 2']
  socket.write(`${head.join('\r\n')}\r\n\r\na`)
  const refusal = await new Promise<string>(resolve => socket.once('data', chunk => resolve(String(chunk))))
  const closed = new Promise(resolve => socket.once('close', resolve))
  socket.end('b')
  await closed
  expect(refusal).toMatch(/^HTTP\/1.1 503 /)
  await awaitNoBodies(started)
  expect(started.startedCount).toBe(1)
})

/** Sizes of the bodies in use: 60 KB in the mean, up to 360 KB. */
const COMMON_BYTES = 30 * 1024
const TAIL_SHARE = 0.1

const CALLER_COUNT = 40
const INSTANCE_COUNT = 7
const UPLOADS_PER_S = 28
const UPLOAD_COUNT = 140

/** Memory of which a quarter holds one body of the largest size and one of the common one. */
const LOADED_MEMORY_MB = 1.6

// The load of the users: 28 uploads a second from the callers of 40 nodes to 7 instances; then each caller sends two of
// the largest bodies at once.
test('under many uploads to few instances none runs twice, refused ones have not run, and memory stays in bounds', async () => {
  mesh = await RouteMesh.start(INSTANCE_COUNT + CALLER_COUNT, {
    settings: index => {
      return { service: index < INSTANCE_COUNT ? 'svc' : 'idle', memoryMb: LOADED_MEMORY_MB, linkMbps: 4.41 }
    }
  })
  const { nodes } = mesh
  const callers = nodes.slice(INSTANCE_COUNT)
  await mesh.configure(makeRoute('upload', 'upload'))
  const recorder = new BodyRecorder()
  const random = new SeededRandom(7)
  for (const { instance } of nodes) {
    instance.behaviour = (incoming, response) => {
      if (random.next() < REJECTION_SHARE) return reject(incoming, response, instance)
      incoming.once('end', () => setTimeout(() => instance.answer(incoming, response), WORK_MS))
      recorder.record(incoming)
    }
  }
  let largestHeldBytes = 0
  const probe = setInterval(() => {
    largestHeldBytes = Math.max(largestHeldBytes, ...nodes.map(node => readBodies(node).heldBytes))
  }, 1)
  const uploads: Array<{ readonly upload: Upload, readonly body: Buffer }> = []
  const send = (caller: MeshNode, bytes: number): void => {
    const body = makeBody(bytes, uploads.length + 1)
    uploads.push({ body, upload: startUpload(caller, body, 4000) })
  }
  for (let index = 0; index < UPLOAD_COUNT; index++) {
    const caller = callers[Math.floor(random.next() * CALLER_COUNT)] as MeshNode
    send(caller, random.next() < TAIL_SHARE ? LARGE_BYTES : COMMON_BYTES)
    await new Promise(resolve => setTimeout(resolve, 2 * random.next() * 1000 / UPLOADS_PER_S))
  }
  for (const caller of [...callers, ...callers]) send(caller, LARGE_BYTES)
  const statuses = await Promise.all(uploads.map(async ({ upload }) => (await upload.result).status))
  clearInterval(probe)
  const ran = nodes.flatMap(({ instance }) => instance.ran)
  expect(new Set(ran).size).toBe(ran.length)
  uploads.forEach(({ upload, body }, index) => {
    if (statuses[index] === 200) expect(recorder.hasWhole(upload, body)).toBe(true)
    if (statuses[index] === 503) expect(ran).not.toContain(upload.id)
  })
  expect(new Set(statuses)).toEqual(new Set([200, 503]))
  expect(statuses.slice(0, UPLOAD_COUNT).filter(status => status === 200).length).toBeGreaterThan(UPLOAD_COUNT / 2)
  expect(largestHeldBytes).toBeLessThanOrEqual(LOADED_MEMORY_MB * 1024 * 1024 / 4)
  await awaitNoBodies(mesh)
})

/** Share of the uploads that an instance rejects with the proof that it did not run them. */
const REJECTION_SHARE = 0.1

/** Time that an instance takes for an upload, in milliseconds. */
const WORK_MS = 100

/** Waits until the listener at a URL is closed. */
async function refusesConnections (url: string): Promise<void> {
  for (;;) {
    const isRefused = await new Promise<boolean>(resolve => {
      const probe = request(url, { agent: false })
      probe.once('error', () => resolve(true))
      probe.once('socket', socket => socket.once('connect', () => {
        resolve(false)
        probe.destroy()
      }))
    })
    if (isRefused) return
    await pause()
  }
}
