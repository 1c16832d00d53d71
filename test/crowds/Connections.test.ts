import { afterEach, expect, test } from 'vitest'
import { Crowd, type CrowdOptions, makeHead, repeat, type Sending } from '../support/Crowd.js'
import { type CrowdLimits, CrowdSite } from '../support/CrowdSite.js'

const KB = 1024

/** Descriptors of a node whose limit a small crowd exceeds. */
const FEW_FDS = 300

let site: CrowdSite | undefined
let crowd: Crowd | undefined

afterEach(async () => {
  crowd?.leave()
  await site?.dispose()
  crowd = undefined
  site = undefined
})

/** Lets a crowd connect, and expects ordinary requests to be served while it is open and after it has left. */
async function expectService (
  options: Omit<CrowdOptions, 'host'>, sending: Sending, limits: CrowdLimits = {}, sentLimitMs?: number
): Promise<void> {
  site = await CrowdSite.start(1, limits)
  const [node] = site.nodes as [CrowdSite['control']]
  crowd = new Crowd({ host: node.host, ...options }, sending)
  await crowd.sent(sentLimitMs)
  const ordinary = { host: node.host, path: '/svc-0/non_idempotent/', body: Buffer.alloc(KB, 'o') }
  const during = await site.serve(ordinary)
  crowd.leave()
  const after = await site.serve(ordinary)
  const served = { status: 200, text: String(KB) }
  expect({ excess: site.findExcess(node), during, after }).toEqual({ excess: [], during: served, after: served })
}

/** Buffers without an end. */
function * sendForever (head: Buffer | undefined, text: string): Iterable<Buffer> {
  if (head !== undefined) yield head
  for (;;) yield * repeat(text, Math.ceil(64 * KB / text.length))
}

const HEAD = 'GET /svc-0/idempotent/ HTTP/1.1\r\nhost: one.example\r\n'

/** How long a crowd without an end sends, in milliseconds, before an ordinary request is sent beside it. */
const ENDLESS_MS = 4000

test('idle connections beyond the descriptors give way to ordinary callers', async () => {
  await expectService({ count: 2 * FEW_FDS }, () => [], { maxFds: FEW_FDS }, 1000)
})

test('connections that are idle after a request give way to ordinary callers', async () => {
  await expectService({ count: 2 * FEW_FDS }, () => [Buffer.from(`${HEAD}\r\n`)], { maxFds: FEW_FDS }, 1000)
})

test('unfinished heads beyond the descriptors give way to ordinary callers', async () => {
  await expectService({ count: 2 * FEW_FDS }, () => [Buffer.from(`${HEAD}x-long: ${'a'.repeat(10 * KB)}`)], { maxFds: FEW_FDS }, 1000)
})

test('unfinished bodies beyond the descriptors give way to ordinary callers', async () => {
  const send = (): Buffer[] => [makeHead('/svc-0/upload/', ['content-length: 2']), Buffer.from('a')]
  await expectService({ count: 2 * FEW_FDS }, send, { maxFds: FEW_FDS }, 1000)
})

test('a head that does not end in time closes its connection, also in drops', async () => {
  site = await CrowdSite.start(1, { headerTimeoutMs: 500 })
  const [node] = site.nodes as [CrowdSite['control']]
  const sending: Sending = index => index % 2 === 0 ? [Buffer.from(HEAD)] : sendHeadInDrops()
  crowd = new Crowd({ host: node.host, count: 20, pauseMs: 200 }, sending)
  // Far less than the interval at which Node.js looks for late heads by default.
  const untilMs = performance.now() + 15_000
  while (crowd.openCount > 0 && performance.now() < untilMs) await new Promise(resolve => setTimeout(resolve, 100))
  expect(crowd.openCount).toBe(0)
})

function * sendHeadInDrops (): Iterable<Buffer> {
  yield Buffer.from(HEAD)
  for (;;) yield Buffer.from('a')
}

test('requests without end on each connection stay within memory', async () => {
  await expectService({ count: 8, readsNothing: true }, () => sendForever(undefined, `${HEAD}\r\n`), {}, ENDLESS_MS)
})

test('trailers without end stay within memory', async () => {
  const head = makeHead('/svc-0/upload/', ['transfer-encoding: chunked'])
  const begin = Buffer.concat([head, Buffer.from('1\r\na\r\n0\r\n')])
  await expectService({ count: 8 }, () => sendForever(begin, `x-trailer: ${'t'.repeat(100)}\r\n`), {}, ENDLESS_MS)
})

test('a chunk extension without end stays within memory', async () => {
  const head = makeHead('/svc-0/upload/', ['transfer-encoding: chunked'])
  await expectService({ count: 8 }, () => sendForever(Buffer.concat([head, Buffer.from('1;')]), 'e'.repeat(KB)), {}, ENDLESS_MS)
})
