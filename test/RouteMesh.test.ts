import { afterEach, expect, test } from 'vitest'
import { request } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { makeRoute, HEADER_NAMES, type MeshNode, pause, RouteMesh } from './support/RouteMesh.js'
import { parseAddress } from '../src/runtime/Address.js'
import { FrameChannel } from '../src/runtime/FrameChannel.js'
import { SystemClock } from '../src/runtime/SystemClock.js'
import type { CallClientFrame, CallServerFrame, RoutedCall } from '../src/routenode/Types.js'

let mesh: RouteMesh | undefined

afterEach(() => {
  mesh?.dispose()
  mesh = undefined
})

async function startMesh (count: number): Promise<RouteMesh> {
  mesh = await RouteMesh.start(count)
  return mesh
}

test('an answer comes back complete, and the instance receives the service of the caller\'s VM', async () => {
  const { nodes, call } = bindCall(await startMesh(2))
  const answer = await call(nodes[0]!, '/read/x')
  expect(answer.statusCode).toBe(200)
  expect(answer.body).toMatch(/^i-\d svc$/)
  expect(answer.headers[HEADER_NAMES.signature]).toBe('s')
})

test('an at-most-once request is not retried when its answer is lost', async () => {
  const started = await startMesh(3)
  for (const { instance } of started.nodes) instance.behaviour = (_request, response) => response.destroy()
  const answer = await started.call(started.nodes[0]!, '/once/x')
  expect([answer.statusCode, started.startedCount]).toEqual([502, 1])
})

test('an idempotent request is retried at another instance when its answer is lost', async () => {
  const started = await startMesh(2)
  started.nodes[0]!.instance.behaviour = (_request, response) => response.destroy()
  started.nodes[1]!.instance.behaviour = undefined
  for (let i = 0; i < 10; i++) {
    expect((await started.call(started.nodes[0]!, '/read/x')).statusCode).toBe(200)
  }
})

test('an at-most-once request is retried after a rejection that proves that it has not run', async () => {
  const started = await startMesh(2)
  const rejected: string[] = []
  for (const { instance } of started.nodes) {
    instance.behaviour = (request, response, { ran }) => {
      if (rejected.length > 0) return instance.answer(request, response)
      const requestId = String(request.headers[HEADER_NAMES.requestId])
      rejected.push(requestId)
      ran.pop()
      response.writeHead(503, { [HEADER_NAMES.requestId]: requestId, [HEADER_NAMES.notExecuted]: '1' }).end()
    }
  }
  expect((await started.call(started.nodes[0]!, '/once/x')).statusCode).toBe(200)
  expect(started.nodes.flatMap(({ instance }) => instance.ran)).toEqual(rejected)
})

test('a status that promises that nothing ran is passed on only with the proof', async () => {
  const started = await startMesh(1)
  started.nodes[0]!.instance.behaviour = ({ headers }, response) => {
    response.writeHead(503, { [HEADER_NAMES.requestId]: String(headers[HEADER_NAMES.requestId]), [HEADER_NAMES.signature]: 's' }).end()
  }
  const answer = await started.call(started.nodes[0]!, '/once/x')
  expect([answer.statusCode, answer.headers[HEADER_NAMES.signature]]).toEqual([502, undefined])
})

test('a draining instance gets no new request after the acknowledgement', async () => {
  const started = await startMesh(2)
  const [leaving] = started.nodes as [RouteMesh['nodes'][0]]
  leaving.daemon.report({
    id: leaving.instance.id,
    bornMs: 1,
    sequence: 2,
    service: 'svc',
    address: leaving.instance.address,
    slots: 6,
    state: 'draining',
    coldMs: 0
  })
  for (const node of started.nodes) {
    for (let i = 0; i < 20; i++) expect((await started.call(node, '/read/x')).statusCode).toBe(200)
  }
  expect(leaving.instance.ran).toEqual([])
})

test('a request that exceeds the timeout of its route is answered with 504', async () => {
  const started = await startMesh(1)
  await started.configure(makeRoute('read', 'idempotent', { timeoutMs: 200 }))
  started.nodes[0]!.instance.behaviour = () => {}
  expect((await started.call(started.nodes[0]!, '/read/x')).statusCode).toBe(504)
})

test('a caller that disconnects cancels the run at the instance', async () => {
  const started = await startMesh(2)
  for (const { instance } of started.nodes) instance.behaviour = () => {}
  const caller = request(`${started.nodes[0]!.callerUrl}/read/x`, { headers: { host: 'h.example', [HEADER_NAMES.requestId]: 'leaving' } })
  caller.on('error', () => {})
  caller.end()
  while (started.startedCount === 0) await pause()
  caller.destroy()
  const abortedIds = (): string[] => started.nodes.flatMap(({ instance }) => instance.cut)
  while (abortedIds().length === 0) await pause()
  expect(abortedIds()).toEqual(['leaving'])
})

test('a request without a route in force is answered with 404, and an added route is served', async () => {
  const started = await startMesh(1)
  expect((await started.call(started.nodes[0]!, '/new/x')).statusCode).toBe(404)
  await started.configure(makeRoute('read', 'idempotent'), makeRoute('new', 'idempotent'))
  expect((await started.call(started.nodes[0]!, '/new/x')).statusCode).toBe(200)
})

test('a planned stop of a node interrupts no request of its callers or at its instance', async () => {
  const started = await startMesh(2)
  const statuses: number[] = []
  const stop = { done: false }
  for (const { instance } of started.nodes) {
    instance.behaviour = (incoming, response) => { setTimeout(() => instance.answer(incoming, response), 30) }
  }
  // More concurrent requests than the instance on their VM accepts.
  const callers = Array.from({ length: 10 }, async () => {
    while (!stop.done) statuses.push((await started.call(started.nodes[0]!, '/once/x')).statusCode)
  })
  while (started.nodes[1]!.instance.ran.length === 0) await pause()
  await started.nodes[1]!.daemon.stop()
  stop.done = true
  await Promise.all(callers)
  expect(new Set(statuses)).toEqual(new Set([200]))
})

test('during a planned stop of a node, its instance keeps working for other nodes', async () => {
  const started = await startMesh(2)
  const [other, stopping] = started.nodes as [MeshNode, MeshNode]
  for (const { instance } of started.nodes) {
    instance.behaviour = (incoming, response) => { setTimeout(() => instance.answer(incoming, response), 30) }
  }
  const stopped = stopping.daemon.stop()
  // More than one instance runs at a time, in two rounds so that a notice of the stop had time to arrive.
  for (let round = 0; round < 2; round++) {
    const answers = await Promise.all(Array.from({ length: 10 }, async () => await started.call(other, '/read/x')))
    expect(answers.map(({ statusCode }) => statusCode)).toEqual(Array(10).fill(200))
  }
  expect(stopping.instance.ran.length).toBeGreaterThanOrEqual(6)
  await stopped
})

test('a planned stop of a node waits for a caller that reads its answer slowly', async () => {
  const started = await startMesh(1)
  const [node] = started.nodes as [MeshNode]
  answerWith(node, LARGE_BODY)
  const answer = await startRequest(node, '/read/x')
  answer.pause()
  const stopped = node.daemon.stop()
  await refusesConnections(node.callerUrl)
  expect(await readLength(answer)).toBe(LARGE_BODY.length)
  await stopped
})

test('a planned stop of a node waits for another node that reads an answer slowly', async () => {
  const started = await startMesh(1)
  const [node] = started.nodes as [MeshNode]
  answerWith(node, LARGE_BODY)
  const socket = connect(parseAddress(node.nodeAddress))
  const channel = new FrameChannel<CallServerFrame, CallClientFrame>(socket, new SystemClock())
  channel.send({ type: 'callHello', node: 'other' })
  channel.send({ type: 'call', call: LARGE_CALL })
  while (started.startedCount === 0) await pause()
  socket.pause()
  const answered = new Promise<number | undefined>(resolve => {
    channel.onMessage(frame => { if (frame.type === 'answer') resolve(frame.answer.body.length) })
    channel.onClose(() => resolve(undefined))
  })
  const stopped = node.daemon.stop()
  await refusesConnections(node.callerUrl)
  socket.resume()
  expect(await answered).toBe(LARGE_BODY.length)
  await stopped
})

/** More than the socket buffers of a connection hold. */
const LARGE_BODY = Buffer.alloc(14 * 1024 * 1024, 'x')

const LARGE_CALL: RoutedCall = {
  id: 1,
  service: 'svc',
  method: 'GET',
  target: '/read/x',
  headers: ['Host', 'h.example', HEADER_NAMES.requestId, 'large'],
  body: new Uint8Array(0),
  requestId: 'large',
  work: 'read',
  kind: 'idempotent',
  nested: false,
  priority: 1,
  leftMs: 20_000,
  objectiveLeftMs: 10_000,
  moveMs: undefined,
  attempt: 'first'
}

function answerWith ({ instance }: MeshNode, body: Buffer): void {
  instance.behaviour = ({ headers }, response) => {
    const id = String(headers[HEADER_NAMES.requestId])
    response.writeHead(200, { [HEADER_NAMES.requestId]: id, [HEADER_NAMES.signature]: 's', 'content-length': body.length })
    response.end(body)
  }
}

async function startRequest (node: MeshNode, path: string): Promise<IncomingMessage> {
  return await new Promise((resolve, reject) => {
    const headers = { host: 'h.example', [HEADER_NAMES.requestId]: 'slow-reader' }
    request(`${node.callerUrl}${path}`, { headers, agent: false }).on('response', resolve).on('error', reject).end()
  })
}

/** Returns the length of the body, or that of the part that arrived before the connection broke. */
async function readLength (answer: IncomingMessage): Promise<number> {
  let length = 0
  answer.on('data', (chunk: Buffer) => { length += chunk.length })
  answer.on('error', () => {})
  const closed = new Promise(resolve => answer.once('close', resolve))
  answer.resume()
  await closed
  return length
}

/** Waits until the listener at a URL is closed. */
async function refusesConnections (url: string): Promise<void> {
  const { hostname, port } = new URL(url)
  for (;;) {
    const isRefused = await new Promise<boolean>(resolve => {
      const socket = connect(Number(port), hostname)
      socket.once('connect', () => resolve(false)).once('error', () => resolve(true))
      socket.once('connect', () => socket.destroy())
    })
    if (isRefused) return
    await pause()
  }
}

function bindCall (started: RouteMesh): Pick<RouteMesh, 'nodes' | 'call'> {
  return { nodes: started.nodes, call: async (node, path, deadlineMs) => await started.call(node, path, deadlineMs) }
}
