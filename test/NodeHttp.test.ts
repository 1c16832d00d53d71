import type { IncomingHttpHeaders, RequestListener } from 'node:http'
import { connect } from 'node:net'
import { afterAll, beforeAll, expect, test } from 'vitest'
import { buildRule, FakeControl } from './support/FakeControl.js'
import { call } from './support/HttpCall.js'
import type { Answer, CallOptions } from './support/HttpCall.js'
import { InProcessNode } from './support/InProcessNode.js'

const control = new FakeControl([buildRule('dies')])
const seenHeaders: IncomingHttpHeaders[] = []
let node: InProcessNode
let runs = 0

const upstream: RequestListener = (message, response) => {
  if (message.url === '/ready') {
    response.end('ok')
    return
  }
  runs++
  seenHeaders.push(message.headers)
  if (message.url === '/shed') {
    response.writeHead(503, { 'sassafras-shed': 'not-run' }).end()
    return
  }
  if (message.url?.startsWith('/status/') === true) {
    response.socket?.write(`HTTP/1.1 ${message.url.slice(8)} Odd\r\ncontent-length: 2\r\n\r\nok`)
    return
  }
  const chunks: Buffer[] = []
  message.on('data', chunk => chunks.push(chunk as Buffer))
  message.on('end', () => {
    response.writeHead(200, { 'x-hop': 'drop', connection: 'x-hop', 'set-cookie': ['a=1', 'b=2'] })
    response.end(`${message.method} ${message.url} ${Buffer.concat(chunks).toString()}`)
  })
}

beforeAll(async () => {
  node = await InProcessNode.start('n0', await control.listen(), 'dies', upstream, { limits: { maxHeaderBytes: 4096 } })
})

afterAll(async () => {
  await node.dispose()
  control.dispose()
})

async function send (path: string, options: Partial<CallOptions> = {}): Promise<Answer> {
  return await call(path, { service: 'dies', port: node.callerPort, ...options })
}

async function sendRaw (text: string): Promise<string> {
  return await new Promise((resolve, reject) => {
    const socket = connect(node.callerPort, '127.0.0.1', () => socket.write(text))
    const chunks: Buffer[] = []
    socket.on('data', chunk => chunks.push(chunk))
    socket.on('close', () => resolve(Buffer.concat(chunks).toString()))
    socket.on('error', reject)
  })
}

// A status that HTTP doesn't have was handed on. The upstream may be ejected meanwhile; a call then does not reach it.
test('an odd status of the upstream counts as an unknown outcome, and later calls are answered', async () => {
  for (const status of ['000', '600', '999']) {
    for (let hasRun = false; !hasRun;) {
      const before = runs
      const answer = await send(`/status/${status}`)
      hasRun = runs > before
      expect([502, 503]).toContain(answer.status)
      expect([status, answer.headers['sassafras-disposition']]).toEqual([status, hasRun ? 'unknown' : 'not-run'])
    }
    while ((await send('/lookups/1')).status !== 200);
  }
})

test('a lookup gets the complete answer with all its headers', async () => {
  const answer = await send('/lookups/1?x=2')
  expect(answer).toMatchObject({ status: 200, body: 'GET /lookups/1?x=2 ' })
  expect(answer.headers['set-cookie']).toEqual(['a=1', 'b=2'])
})

test('hop-by-hop headers stop at the node, in both directions', async () => {
  const headers = { connection: 'x-secret', 'x-secret': '1', te: 'trailers', 'x-kept': '2', 'sassafras-call': 'forged' }
  const answer = await send('/hop', { headers })
  const seen = seenHeaders.at(-1)
  expect(seen).toMatchObject({ 'x-kept': '2' })
  expect(seen).not.toHaveProperty('x-secret')
  expect(seen).not.toHaveProperty('te')
  expect(seen?.['sassafras-call']).not.toContain('forged')
  expect(answer.headers).not.toHaveProperty('x-hop')
})

test('a body of several chunks reaches the upstream complete', async () => {
  const body = 'x'.repeat(150_000)
  const answer = await send('/echo', { method: 'PUT', headers: { 'idempotency-key': 'chunks' }, body })
  expect(answer.body).toBe(`PUT /echo ${body}`)
})

test('too long a body is refused as not run', async () => {
  const before = runs
  const answer = await send('/echo', { method: 'PUT', body: 'x'.repeat(200_001) })
  expect(answer).toMatchObject({ status: 413 })
  expect(JSON.parse(answer.body)).toMatchObject({ disposition: 'not-run', reason: 'too-large' })
  expect(runs).toBe(before)
})

// Guards against a path that the node matches in another way than the upstream, so that a call evades the rule.
test('an at-most-once call needs a key, in every spelling of its path', async () => {
  const before = runs
  for (const path of ['/checkouts', '/checkouts/7', '//checkouts/7', '/%63heckouts', '/x/../checkouts', '/./checkouts?a=1']) {
    const answer = await send(path, { method: 'POST' })
    expect([path, answer.status, answer.headers['sassafras-reason']]).toEqual([path, 400, 'key-missing'])
  }
  // No pattern covers this path, but the method isn't safe.
  expect((await send('/checkouts-archive', { method: 'POST' })).status).toBe(400)
  expect(runs).toBe(before)
  expect((await send('/checkouts-archive')).status).toBe(200)
})

test('an at-most-once call gets an execution permit before its run', async () => {
  const before = runs
  const answer = await send('/checkouts/7', { method: 'POST', headers: { 'idempotency-key': 'k1' }, body: 'die 7' })
  expect(answer.body).toBe('POST /checkouts/7 die 7')
  expect(runs).toBe(before + 1)
  expect(control.commands.filter(command => command.record.key === 'k1').map(command => command.type)[0]).toBe('begin')
})

test('an at-most-once call without an execution permit does not run', async () => {
  const before = runs
  control.replies.set('k2', { type: 'inProgress', retryAfterMs: 700 })
  const answer = await send('/checkouts/8', { method: 'POST', headers: { 'idempotency-key': 'k2' } })
  expect(answer.status).toBe(409)
  expect(answer.headers).toMatchObject({ 'sassafras-disposition': 'unknown', 'retry-after': '1' })
  expect(runs).toBe(before)
})

test('a shed request counts as not run', async () => {
  const answer = await send('/shed')
  expect(answer.headers).toMatchObject({ 'sassafras-disposition': 'not-run', 'sassafras-reason': 'shedding' })
  expect(Number(answer.headers['retry-after'])).toBeGreaterThanOrEqual(1)
})

test('a call to an unknown service is refused with 404', async () => {
  const answer = await send('/x', { service: 'nothing' })
  expect(answer.status).toBe(404)
  expect(answer.headers['sassafras-reason']).toBe('service-unknown')
})

// Guards against request smuggling: framing that the node and the upstream would parse differently.
test('ambiguous and malformed requests get a 4xx and their connection is closed', async () => {
  const before = runs
  const cases = [
    'POST /a HTTP/1.1\r\nHost: dies.mesh\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b',
    'POST /a HTTP/1.1\r\nHost: dies.mesh\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!',
    'POST /a HTTP/1.1\r\nHost: dies.mesh\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n',
    'GET /a HTTP/1.1\r\nHost: dies.mesh\r\nBad Header: 1\r\n\r\n',
    'GET /a HTTP/1.1\r\n\r\n',
    `GET /a HTTP/1.1\r\nHost: dies.mesh\r\nX-Long: ${'y'.repeat(8000)}\r\n\r\n`
  ]
  for (const text of cases) expect((await sendRaw(text)).slice(0, 12)).toMatch(/^HTTP\/1\.1 4\d\d/)
  expect(runs).toBe(before)
})

test('a node without a confirmed configuration refuses at-most-once calls as not run', async () => {
  const ownControl = new FakeControl([buildRule('dies')])
  const staleNode = await InProcessNode.start('n9', await ownControl.listen(), 'dies', (_message, response) => { response.end('ok') })
  ownControl.isConfirming = false
  for (;;) {
    const state = await staleNode.state()
    if (state.configuration.state === 'stale') break
  }
  const headers = { 'idempotency-key': 'k3' }
  const guarded = await send('/checkouts/1', { method: 'POST', port: staleNode.callerPort, headers })
  expect(guarded.headers).toMatchObject({ 'sassafras-disposition': 'not-run', 'sassafras-reason': 'stale-configuration' })
  const read = await send('/lookups/1', { port: staleNode.callerPort })
  expect(read.body).toBe('ok')
  expect(ownControl.commands).toEqual([])
  await staleNode.dispose()
  ownControl.dispose()
})
