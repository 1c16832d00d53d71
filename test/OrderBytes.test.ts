import fc from 'fast-check'
import { request } from 'node:http'
import { connect } from 'node:net'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, beforeAll, beforeEach, expect, test } from 'vitest'
import { OperatedGroup } from '../bench/acknowledgements/OperatedGroup.js'
import { FIRST_ORDER, fillVersions, normalise, OrderModel, orders } from './support/OrderModel.js'

const PUT = '/api/Config.Put'
const PATCH = '/api/Config.Patch'
/** Second octet of the loopback addresses; runs beside each other mostly differ. */
const NETWORK = 232 + process.pid % 20
/** Orders of the generator that are sent to the processes. */
const GENERATED_ORDERS = 400

const MAX_BODY_BYTES = 8 * 1024 * 1024

const folder = mkdtempSync(join(tmpdir(), 'orders-'))
let group: OperatedGroup
/** Each way in: the leader, a follower, the replica outside the group and a node. */
let hosts: readonly string[]
let version = 0

interface Answer {
  readonly status: number
  readonly body: string
}

type Headers = Readonly<Record<string, string>>

async function send (host: string, path: string, body: Uint8Array, headers: Headers = {}): Promise<Answer> {
  for (;;) {
    const answer = await new Promise<Answer>((resolve, reject) => {
      const method = path === '/api/Config.Get' ? 'GET' : 'POST'
      const call = request({ host, port: group.port, path, method, agent: false, headers }, response => {
        const chunks: Buffer[] = []
        response.on('data', (chunk: Buffer) => chunks.push(chunk))
        response.on('end', () => resolve({ status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString() }))
      })
      call.on('error', reject)
      call.end(body)
    })
    if (answer.status !== 503) return answer
    await pause(50)
  }
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

const ROUTE = {
  Name: 'r-1',
  Host: 'h.example',
  PathPrefix: '/a/',
  RouteKind: 'idempotent',
  Timeout: '1500ms',
  TargetLatency: '600ms',
  Priority: 1,
  Service: 'svc',
  MaxAttempts: 2
}
const SERVICE = { Name: 'svc', HealthPath: '/healthz', MaxConnections: 220, Protocol: 'h1', Tls: false }
const LIMITS = { MaxHeaderBytes: 16384, MaxBodyBytes: 1000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' }

/** Next complete configuration as JSON, with a part of its text replaced. */
function nextPut (from: string | RegExp = '', to = '', above = version): string {
  const text = JSON.stringify({
    Version: `r${above + 1}`,
    Routes: [ROUTE],
    Services: [SERVICE],
    Limits: LIMITS,
    BaseVersion: version === 0 ? 0 : `r${version}`
  })
  const changed = text.replace(from, to)
  if (from !== '' && changed === text) throw new Error(`nothing replaced: ${String(from)}`)
  return changed
}

function nextPatch (members: object): string {
  return JSON.stringify({ Version: `r${version + 1}`, ...members, BaseVersion: `r${version}` })
}

async function read (host: string): Promise<Record<string, unknown>> {
  const { status, body } = await send(host, '/api/Config.Get', Buffer.alloc(0))
  expect(status).toBe(200)
  return JSON.parse(body) as Record<string, unknown>
}

/** Sends the same bytes to every way in, and returns the statuses. */
async function sendEverywhere (path: string, body: Uint8Array, headers: Headers = {}): Promise<number[]> {
  const statuses = []
  for (const host of hosts) statuses.push((await send(host, path, body, headers)).status)
  return statuses
}

async function expectRefused (
  path: string, body: string | Uint8Array, headers: Headers = {}, status = 400
): Promise<void> {
  const bytes = typeof body === 'string' ? Buffer.from(body) : body
  expect(await sendEverywhere(path, bytes, headers)).toEqual(hosts.map(() => status))
  expect((await read(hosts[0]!))['Version']).toBe(`r${version}`)
}

/** Sends a valid order to every way in and expects that it is acknowledged by each and read back as it was sent. */
async function expectTaken (path: string, body: string): Promise<void> {
  // Encoded once more, since a reader can't tell -0 from 0.
  const sent = JSON.parse(JSON.stringify(JSON.parse(body))) as Record<string, unknown>
  expect(await sendEverywhere(path, Buffer.from(body))).toEqual(hosts.map(() => 200))
  version = Number(String(sent['Version']).slice(1))
  const { BaseVersion: _base, Version: _version, ...content } = sent
  for (const host of hosts) {
    const found = await read(host)
    expect(found).toMatchObject({ Version: `r${version}`, ...(path === PUT ? content : {}) })
  }
}

beforeAll(async () => {
  const plan = { folder: join(folder, 'group'), programs: 'dist/platform', network: NETWORK, replicas: 4, nodes: 1 }
  group = new OperatedGroup(plan)
  const replicas = group.replicaHosts
  for (const host of [...replicas, ...group.nodeHosts]) {
    for (;;) {
      const answer = await send(host, PUT, Buffer.from(nextPut())).catch(() => undefined)
      if (answer?.status === 200) break
      await pause(50)
    }
  }
  hosts = [...replicas, ...group.nodeHosts]
})

// Otherwise an order that one test finds taken fails the tests after it as well.
beforeEach(async () => { version = Number(String((await read(hosts[0]!))['Version']).slice(1)) })

afterAll(async () => {
  await group.dispose()
  rmSync(folder, { recursive: true, force: true })
})

test('bytes that are no UTF-8 are refused at every way in', async () => {
  const bytes = Buffer.from(nextPut('"r-1"', '"r-\u00e9"'))
  const at = bytes.indexOf(0xc3)
  await expectRefused(PUT, Buffer.concat([bytes.subarray(0, at), Buffer.from([0xff]), bytes.subarray(at + 2)]))
  await expectRefused(PUT, Buffer.from(nextPut(), 'utf16le'))
})

// Otherwise a node takes what a replica refuses: the decoder of frames drops the mark.
test('a byte-order mark gets one verdict', async () => {
  await expectRefused(PUT, `\ufeff${nextPut()}`)
  await expectRefused(PUT, nextPut(/"svc"/g, `"\ufeff${'s'.repeat(100)}"`))
})

test('lone surrogates are refused, and pairs and control characters are read back', async () => {
  await expectRefused(PUT, nextPut('"r-1"', '"\\ud800"'))
  await expectRefused(PUT, nextPut('"r-1"', '"\\udc00\\ud800"'))
  await expectTaken(PUT, nextPut('"r-1"', '"\\ud83d\\ude00\\u0000\\u001f\\u007f"'))
})

test('versions that no number holds exactly are refused and end no later change', async () => {
  for (const large of ['r9007199254740993', 'r99999999999999999999999', `r${'9'.repeat(400)}`]) {
    await expectRefused(PUT, nextPut(/"r\d+"/, `"${large}"`))
  }
  for (const base of ['"r9007199254740993"', '9007199254740993', '1e400', '0.5', '-1']) {
    await expectRefused(PUT, nextPut(/"BaseVersion":"r\d+"/, `"BaseVersion":${base}`))
  }
  await expectTaken(PUT, nextPut())
})

test('a version is r and a number', async () => {
  const number = version + 1
  for (const text of [`${number}`, `"${number}"`, `"R${number}"`, `"r${number}.0"`, `"r+${number}"`, `" r${number}"`, '"r"', '"r1e3"']) {
    await expectRefused(PUT, nextPut(/"r\d+"/, text))
  }
  await expectTaken(PUT, nextPut(/"r(\d+)"/, '"r00$1"'))
})

test('duplicate members are refused at any depth', async () => {
  await expectRefused(PUT, nextPut('"Service":"svc"', '"Service":"gone","Service":"svc"'))
  await expectRefused(PUT, nextPut('"Service":"svc"', '"\\u0053ervice":"svc","Service":"svc"'))
  await expectRefused(PUT, nextPut('"Routes"', '"Routes":[],"Routes"'))
  await expectRefused(PATCH, `{"Version":"r${version + 1}","BaseVersion":"r${version}","Upsert":{},"Upsert":{"Routes":[]}}`)
})

test('unknown members are read back, and what a patch can not change is refused', async () => {
  await expectTaken(PUT, nextPut('"Tls":false', '"Tls":false,"Note":{"a":[1,null,"x"]}'))
  await expectTaken(PUT, nextPut('"Priority":1', '"Priority":1,"Sticky":true'))
  await expectRefused(PATCH, nextPatch({ Upsert: { Rotues: [ROUTE] } }))
  await expectRefused(PATCH, nextPatch({ Remove: { Regions: ['x'] } }))
  await expectRefused(PATCH, nextPatch({ upsert: { Routes: [ROUTE] } }))
})

test('a name in one patch twice is refused', async () => {
  await expectRefused(PATCH, nextPatch({ Upsert: { Routes: [ROUTE, { ...ROUTE, Priority: 2 }] } }))
  await expectRefused(PATCH, nextPatch({ Upsert: { Routes: [ROUTE] }, Remove: { Routes: ['r-1'] } }))
})

// Otherwise the table of routes serves only one of them.
test('routes whose hosts differ only in case are refused', async () => {
  await expectTaken(PUT, nextPut())
  const other = { ...ROUTE, Name: 'r-2', Host: 'H.example' }
  await expectRefused(PATCH, nextPatch({ Upsert: { Routes: [other] } }))
  await expectRefused(PUT, nextPut(/"Routes":\[.*?\]/, JSON.stringify({ Routes: [ROUTE, other] }).slice(1, -1)))
  await expectTaken(PUT, nextPut('"h.example"', '"H.Example"'))
})

test('durations are read back exactly or refused', async () => {
  for (const [sent, found] of [['1.005s', '1005ms'], ['0.0000001s', '0.0001ms'], ['1.0005s', '1000.5ms'], ['0001500.0ms', '1500ms']] as const) {
    const body = nextPut('"600ms"', `"${sent}"`)
    expect(await sendEverywhere(PUT, Buffer.from(body))).toEqual(hosts.map(() => 200))
    version++
    for (const host of hosts) expect((await read(host))['Routes']).toEqual([{ ...ROUTE, TargetLatency: found }])
  }
  await expectRefused(PUT, nextPut('"15000ms"', `"${'9'.repeat(400)}ms"`))
  await expectRefused(PUT, nextPut('"600ms"', `"600.${'123'.repeat(100)}ms"`))
  for (const text of ['-1ms', '1e3ms', '1 s', '.5s', '5.s', '1m', '5', 'ms', '1,5s']) await expectRefused(PUT, nextPut('"600ms"', `"${text}"`))
})

test('long durations of limits stop no node', async () => {
  await expectTaken(PUT, nextPut(/"3000ms","IdleTimeout":"15000ms"/, '"4294967297ms","IdleTimeout":"1000000000000000000000000ms"'))
})

test('numbers out of range are refused', async () => {
  for (const number of ['1e400', '-1', '0.5', '9007199254740993', '"1"', 'NaN']) {
    await expectRefused(PUT, nextPut('"MaxConnections":220', `"MaxConnections":${number}`))
  }
  await expectTaken(PUT, nextPut('"MaxConnections":220', '"MaxConnections":2.2e2'))
  await expectTaken(PUT, nextPut('"Priority":1', '"Priority":-0'))
})

test('deep nesting is refused and ends no process', async () => {
  for (const depth of [1000, MAX_BODY_BYTES / 2 - 1000]) {
    await expectRefused(PUT, nextPut('"Tls":false', `"Tls":false,"Note":${'['.repeat(depth)}${']'.repeat(depth)}`))
  }
})

test('any number of findings ends no process', async () => {
  await expectRefused(PUT, nextPut(/"Routes":\[.*?\]/, `"Routes":[${'0,'.repeat(MAX_BODY_BYTES / 2 - 1000)}0]`))
})

test('paths and names that no request can carry are refused', async () => {
  for (const path of ['/a b', '/a\\r\\nX-Y: z', '/\\u0000', 'healthz']) {
    await expectRefused(PUT, nextPut('"/healthz"', `"${path}"`))
  }
  for (const prefix of ['a/', '/a', '', 'a']) await expectRefused(PUT, nextPut('"/a/"', `"${prefix}"`))
  await expectRefused(PUT, nextPut('"h.example"', '""'))
  for (const name of ['w\\r\\nX-Y: z', 'w\\u0000', '']) {
    await expectRefused(PUT, nextPut('"Limits"', `"Tenants":[{"Name":"${name}","ApiKeys":["k"]}],"Limits"`))
  }
})

test('a body with an encoding is not decided as if it had none', async () => {
  await expectRefused(PUT, nextPut(), { 'content-encoding': 'gzip' }, 415)
  expect(await sendEverywhere(PUT, Buffer.from(nextPut()), { 'content-encoding': 'identity' })).toEqual(hosts.map(() => 200))
  version++
})

test('a body that is cut is never decided', async () => {
  const body = nextPut()
  const { length } = Buffer.from(body)
  const head = `POST ${PUT} HTTP/1.1\r\nHost: h\r\n`
  const streams = [
    `${head}Content-Length: ${length + 1}\r\n\r\n${body}`,
    `${head}Content-Length: ${length}\r\n\r\n${body.slice(0, -1)}`,
    `${head}Transfer-Encoding: chunked\r\n\r\n${length.toString(16)}\r\n${body}\r\n`,
    `${head}Transfer-Encoding: chunked\r\n\r\n${(length + 5).toString(16)}\r\n${body}`,
    `${head}Transfer-Encoding: chunked\r\n\r\n${length.toString(16)}\r\n${body}\r\n0\r\n`
  ]
  for (const host of hosts) {
    for (const stream of streams) {
      for (const ending of ['end', 'destroy'] as const) {
        await new Promise<void>(resolve => {
          const socket = connect(group.port, host, () => socket.write(stream, () => {
            if (ending === 'end') socket.end()
            else setTimeout(() => socket.destroy(), 20)
          }))
          socket.on('error', () => {})
          socket.on('close', () => resolve())
          socket.resume()
        })
      }
    }
  }
  await expectRefused(PUT, body.slice(0, -1))
})

test('a body of the largest size is decided, and a larger one is refused, at every way in', async () => {
  const spaces = (size: number): string => {
    const text = nextPut()
    return text.slice(0, -1) + ' '.repeat(size - text.length) + '}'
  }
  await expectTaken(PUT, spaces(MAX_BODY_BYTES))
  await expectRefused(PUT, spaces(MAX_BODY_BYTES + 1), {}, 413)
  await expectRefused(PUT, spaces(MAX_BODY_BYTES + 1), { 'transfer-encoding': 'chunked' }, 413)
})

test('many routes are read back by a node as by a replica', async () => {
  const routes = Array.from({ length: 3000 }, (_, i) => JSON.stringify({ ...ROUTE, Name: `r-${i}`, PathPrefix: `/${i}/` }))
  await expectTaken(PUT, nextPut(/"Routes":\[.*?\]/, `"Routes":[${routes.join(',')}]`))
  await expectTaken(PUT, nextPut())
})

test('whichever process receives an order, it is acknowledged exactly when it is valid', async () => {
  const model = new OrderModel()
  model.version = version
  const list = [FIRST_ORDER, ...fc.sample(orders, { seed: 44, numRuns: GENERATED_ORDERS })]
  let acknowledged = 0
  for (const [index, order] of list.entries()) {
    const text = fillVersions(order.text, model.version)
    const isValid = model.take(order, text)
    const receiver = hosts[index % hosts.length]!
    const { status } = await send(receiver, order.type === 'replace' ? PUT : PATCH, Buffer.from(text))
    expect([status, text]).toEqual([isValid ? 200 : 400, text])
    if (isValid) acknowledged++
    expect(normalise(await read(hosts[(index + 1 + index % 3) % hosts.length]!))).toEqual(model.expected)
  }
  expect(acknowledged).toBeGreaterThan(GENERATED_ORDERS / 10)
})
