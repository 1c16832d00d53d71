import { connect } from 'node:net'
import fc from 'fast-check'
import { afterEach, expect, test } from 'vitest'
import { InstanceApi } from '../platform/InstanceApi.js'
import { JsonApi } from '../platform/JsonApi.js'
import { OperatorGateway } from '../platform/OperatorGateway.js'
import { findFreeAddresses } from '../src/demo/FreePorts.js'
import { parseAddress } from '../src/runtime/Address.js'
import { encodeMessage } from '../src/runtime/FrameChannel.js'
import { oddBytes, oddDocuments } from './support/OddInputs.js'
import { HEADER_NAMES, type MeshNode, RouteMesh } from './support/RouteMesh.js'

/** A longer search is `npm run fuzz:inputs` with `FUZZ_SECONDS` and `FUZZ_SEED`. */
const SEED = Number(process.env.FUZZ_SEED ?? 43)
const SEARCH_MS = 1000 * Number(process.env.FUZZ_SECONDS ?? 8)

/** Inputs between two checks that both nodes serve requests. */
const BATCH = 40

/** Interval at which each instance reports itself, in milliseconds. */
const REPORT_INTERVAL_MS = 300

/** Time for a node to find its instance again after odd answers of it, in milliseconds. */
const RECOVERY_MS = 15_000

const SILENT = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} }

const ROUTE = {
  Name: 'r-1',
  Host: 'h.example',
  PathPrefix: '/a/',
  RouteKind: 'idempotent',
  Timeout: '1.5s',
  TargetLatency: '600ms',
  Priority: 1,
  Service: 's',
  MaxAttempts: 2
}
const PUT = {
  Version: 'r9',
  BaseVersion: 'r5',
  Routes: [ROUTE],
  Services: [{ Name: 's', HealthPath: '/healthz', MaxConnections: 220, Protocol: 'h1', Tls: false }],
  Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 1000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' }
}
const CALL = {
  id: 1,
  service: 'svc',
  method: 'GET',
  target: '/read/x',
  headers: ['call-id', 'odd'],
  body: new Uint8Array(3),
  requestId: 'odd',
  work: 'read',
  kind: 'idempotent',
  nested: false,
  priority: 1,
  leftMs: 500,
  objectiveLeftMs: 100,
  moveMs: 0,
  attempt: 'first',
  knownLimit: { instance: 'i-9', perS: 5 },
  coldPerS: 5,
  workspace: 'w',
  workspacePriority: 1,
  shareUsed: 0.5,
  bodyBytes: 3
}
const REPORT = { fingerprint: 'f', node: 'n:1', incarnation: 1, sequence: 1, weight: 0.5, ageMs: 5, cleared: false }
const ENTRY = {
  node: '127.0.0.1:9',
  zone: 'a',
  epoch: 1,
  revision: 1,
  state: 'up',
  instance: { id: 'i-x', bornMs: 5, service: 'svc', slots: 4, state: 'ready' }
}
const NOTICE = { replica: '127.0.0.1:9#1', members: [], heard: [] }

const NODE_FRAMES: readonly object[] = [
  { type: 'callHello', node: 'n' }, { type: 'call', call: CALL }, { type: 'cancel', id: 1 }, { type: 'ping' },
  { type: 'bodyChunk', id: 1, body: new Uint8Array(3) }, { type: 'chunkAck' }
]
const FEED_FRAMES: readonly object[] = [
  { type: 'feedHello', entry: { ...ENTRY, node: '127.0.0.1:70000' }, version: 0 },
  { type: 'feedHello', entry: ENTRY, version: 0, reports: [REPORT] }, { type: 'publish', entry: ENTRY }, { type: 'feedPing' },
  { type: 'crashReports', reports: [REPORT] }, { type: 'askRouting' }, { type: 'operatorCall', call: { operation: 'put', parameter: '', body: '{}' } },
  { type: 'operatorOffer', operation: 'put', bytes: 100_000 },
  { type: 'replicaHello', replica: NOTICE.replica, incarnation: 1, address: '127.0.0.1:9', admin: '127.0.0.1:9' },
  { type: 'nodeEntries', entries: [ENTRY], whole: true }, { type: 'formation', notice: NOTICE }
]

const REQUEST = 'POST /once/x?a=b HTTP/1.1\r\nHost: h.example\r\ncall-id: q-1\r\ndeadline-ms: 500\r\nX-A: b\r\nContent-Length: 3\r\n\r\nabc'

let mesh: RouteMesh | undefined
let api: JsonApi | undefined

let reportTimer: NodeJS.Timeout | undefined

afterEach(() => {
  clearInterval(reportTimer)
  api?.dispose()
  mesh?.dispose()
})

/** Sends bytes on a new connection and resolves when it has closed, or after a while. */
async function sendAll (address: string, pieces: readonly Uint8Array[]): Promise<void> {
  const { host, port } = parseAddress(address)
  await new Promise<void>(resolve => {
    const socket = connect(port, host, () => socket.end(Buffer.concat(pieces)))
    const timer = setTimeout(() => socket.destroy(), 100)
    socket.on('error', () => {})
    socket.on('close', () => {
      clearTimeout(timer)
      resolve()
    })
    socket.resume()
  })
}

function post (path: string, body: unknown): Buffer {
  const text = typeof body === 'string' ? body : JSON.stringify(body) ?? ''
  return Buffer.from(`POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`)
}

const id = fc.oneof(fc.constantFrom('i-0', '', '%00', 'a%2Fb', '%E6%97%A5', '%', 'x'.repeat(3000)), fc.string().map(encodeURIComponent))

/** Frames of one sender: valid ones, and then one with odd fields or bytes. */
function frames (valid: readonly object[]): fc.Arbitrary<Uint8Array[]> {
  const odd = fc.constantFrom(...valid).chain(frame => fc.oneof(
    { weight: 3, arbitrary: oddDocuments(frame).map(changed => encodeMessage({ ...changed as object })) },
    { weight: 1, arbitrary: oddBytes(encodeMessage(frame)) }
  ))
  const before = fc.subarray(valid.slice(0, 2)).map(list => list.map(encodeMessage))
  return fc.tuple(before, fc.array(odd, { minLength: 1, maxLength: 3 })).map(([first, rest]) => [...first, ...rest])
}

/** Sends requests until one is served; fails when none is in time. */
async function expectServed (started: RouteMesh, node: MeshNode): Promise<void> {
  const untilMs = performance.now() + RECOVERY_MS
  let status = 0
  while (status !== 200 && performance.now() < untilMs) status = (await started.call(node, '/read/x', 2000)).statusCode
  expect(status).toBe(200)
}

test('odd inputs at each listener and odd answers of an instance end no process, and requests are served', async () => {
  const started = await RouteMesh.start(2)
  mesh = started
  const [node, other] = started.nodes as [MeshNode, MeshNode]
  const [platformAddress] = await findFreeAddresses(1) as [string]
  api = new JsonApi({
    ...new InstanceApi(node.daemon, SILENT).handlers, ...new OperatorGateway(node.daemon.operators, SILENT).handlers
  }, SILENT)
  await api.listen(platformAddress)
  const heartbeat = {
    Service: 'svc', Address: '127.0.0.1:9', Slots: 6, State: 'ready', ColdRemaining: '0ms', Seq: 4, born: 9
  }
  const answer = (requestId: string): Buffer => Buffer.from(
    `HTTP/1.1 200 OK\r\n${HEADER_NAMES.requestId}: ${requestId}\r\n${HEADER_NAMES.signature}: s\r\n` +
    `${HEADER_NAMES.load}: 1,0,6,100\r\nContent-Length: 2\r\n\r\nok`
  )
  let seed = SEED
  const sample = <T>(arbitrary: fc.Arbitrary<T>): T => fc.sample(arbitrary, { seed: seed++, numRuns: 1 })[0]!
  other.instance.behaviour = (request, response, instance) => {
    if (request.url !== '/read/odd') return instance.answer(request, response)
    const requestId = String(request.headers[HEADER_NAMES.requestId])
    const { socket } = request
    socket.write(sample(oddBytes(answer(requestId))))
    setTimeout(() => socket.destroy(), 50)
  }
  let sequence = 10
  reportTimer = setInterval(() => {
    sequence++
    for (const { daemon, instance: { id, address } } of started.nodes) {
      daemon.report({ id, bornMs: 1, sequence, service: 'svc', address, slots: 6, state: 'ready', coldMs: 0 })
    }
  }, REPORT_INTERVAL_MS)
  // Foreign reports that name the instance's address make the node ask the instance who it is.
  const claim = { ...heartbeat, Address: node.instance.address, Slots: 1 }
  const health = Buffer.from(`HTTP/1.1 200 OK\r\n${HEADER_NAMES.instanceId}: ${node.instance.id}\r\n${HEADER_NAMES.load}: 1,0,6,100\r\nContent-Length: 2\r\n\r\nok`)
  const states = fc.constantFrom('ready', 'draining')
  const inputs: ReadonlyArray<() => Promise<unknown>> = [
    async () => {
      let answers = 1
      node.instance.spoilHealth = () => answers-- > 0 ? sample(oddBytes(health)) : undefined
      const body = { ...claim, State: sample(states), born: sample(fc.nat(20)), Seq: sample(fc.nat()) }
      await sendAll(platformAddress, [post(`/api/Instances.Heartbeat/${sample(fc.constantFrom('i-0', 'i-x', 'i-y'))}`, body)])
    },
    async () => await sendAll(platformAddress, [post('/api/Instances.Heartbeat/i-x', sample(oddDocuments(claim)))]),
    async () => await sendAll(platformAddress, [post(`/api/Instances.Heartbeat/${sample(id)}`, sample(oddDocuments(heartbeat)))]),
    async () => await sendAll(platformAddress, [post(`/api/Instances.Deregister/x${sample(id)}`, sample(oddDocuments({ born: 5 })))]),
    async () => await sendAll(platformAddress, [post('/api/Config.Put', sample(oddDocuments(PUT)))]),
    async () => await sendAll(platformAddress, [sample(oddBytes(post('/api/Config.Patch', { Version: 'r9', BaseVersion: 'r5', Remove: { Routes: ['x'] } })))]),
    async () => await sendAll(node.callerUrl.replace('http://', ''), [sample(oddBytes(Buffer.from(REQUEST)))]),
    async () => await sendAll(node.nodeAddress, sample(frames(NODE_FRAMES))),
    async () => await sendAll(node.settings.seeds[0]!, sample(frames(FEED_FRAMES))),
    async () => await started.call(node, '/read/odd', 300)
  ]
  const untilMs = performance.now() + SEARCH_MS
  while (performance.now() < untilMs) {
    for (let count = 0; count < BATCH; count++) await inputs[seed++ % inputs.length]!().catch(() => {})
    for (const one of started.nodes) {
      await expectServed(started, one).catch((error: Error) => {
        const states = started.nodes.map(({ daemon }) => daemon.state())
        throw new Error(`seed ${SEED}, at ${seed}: ${error.message} at ${one.nodeAddress}: ${JSON.stringify(states)}`)
      })
    }
  }
  console.info(`seed ${SEED}: ${seed - SEED} draws`)
}, SEARCH_MS + 60_000)
