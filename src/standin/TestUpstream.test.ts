import { createHash } from 'node:crypto'
import { once } from 'node:events'
import { mkdtempSync } from 'node:fs'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import express from 'express'
import { request } from 'undici'
import { expect, onTestFinished, test, vi } from 'vitest'
import { DownloadCheck } from '../load/DownloadCheck.js'
import { AdminServer } from '../runtime/AdminServer.js'
import { DownloadBody } from '../runtime/DownloadBody.js'
import { readJournal } from './Journal.js'
import { LoadReporter } from './LoadReporter.js'
import { TestUpstream } from './TestUpstream.js'
import { testUpstreamSettings } from './TestUpstreamSettings.js'

const WAIT = { timeout: 30_000 }

interface StartedUpstream {
  readonly testUpstream: TestUpstream
  readonly http: string
  readonly admin: string
  readonly journal: string
}

async function start (overrides: object): Promise<StartedUpstream> {
  const journal = join(mkdtempSync(join(tmpdir(), 'test-upstream-')), 'journal.jsonl')
  const settings = testUpstreamSettings.parse({
    service: 'custody',
    instance: 'custody-1',
    listen: { http: '127.0.0.1:0', admin: '127.0.0.1:0' },
    journal,
    log: { level: 'silent' },
    ...overrides
  })
  const testUpstream = new TestUpstream(settings)
  const addresses = await testUpstream.start()
  onTestFinished(() => { testUpstream.dispose() })
  return { testUpstream, ...addresses, journal }
}

async function changeBehaviour (admin: string, change: object): Promise<unknown> {
  const answer = await request(`http://${admin}/behaviour`, {
    method: 'POST', body: JSON.stringify(change), headers: { 'content-type': 'application/json' }
  })
  return await answer.body.json()
}

test('a checkout echoes what identifies its request, and is journalled', async () => {
  const { http, journal } = await start({})
  const answer = await request(`http://${http}/checkouts/die-7`, {
    method: 'POST', body: 'press 4', headers: { 'x-request-id': 'r1', 'idempotency-key': 'k1' }
  })
  expect(await answer.body.json()).toMatchObject({
    service: 'custody',
    call: 'checkout',
    id: 'die-7',
    requestId: 'r1',
    key: 'k1',
    bodyDigest: createHash('sha256').update('press 4').digest('hex')
  })
  expect(readJournal(journal)).toMatchObject([
    { event: 'start', run: 1, requestId: 'r1', key: 'k1', method: 'POST', target: '/checkouts/die-7' },
    { event: 'end', run: 1, outcome: 'answered', status: 200 }
  ])
})

test('the answer to a shed request says that it did not run, and the journal has no run', async () => {
  const { http, admin, journal } = await start({})
  await changeBehaviour(admin, { shedShare: 1 })
  const answer = await request(`http://${http}/lookups/1`)
  await answer.body.dump()
  expect([answer.statusCode, answer.headers['sassafras-shed']]).toEqual([503, 'not-run'])
  expect(readJournal(journal)).toEqual([])
})

test('a lookup ends when its deadline passes', async () => {
  const { http, journal } = await start({ serviceTime: { kind: 'constant', ms: 600_000 } })
  const answer = await request(`http://${http}/lookups/1`, { headers: { 'sassafras-deadline-ms': '5' } })
  await answer.body.dump()
  expect(answer.statusCode).toBe(504)
  expect(readJournal(journal)[1]).toMatchObject({ event: 'end', outcome: 'deadline' })
})

test('a download has exactly the bytes of its length and seed', async () => {
  const { http } = await start({})
  const answer = await request(`http://${http}/downloads/200000?seed=9`)
  const check = new DownloadCheck(new DownloadBody(200_000, 9))
  const other = new DownloadCheck(new DownloadBody(200_000, 8))
  const hash = createHash('sha256')
  for await (const chunk of answer.body) {
    check.update(chunk)
    other.update(chunk)
    hash.update(chunk)
  }
  expect(check.isComplete).toBe(true)
  expect(other.isComplete).toBe(false)
  expect(answer.headers['repr-digest']).toBe(`sha-256=:${hash.digest('base64')}:`)
})

test('a silent connection stays open without answers while a new connection works', async () => {
  const { http, admin } = await start({})
  const [host, port] = http.split(':')
  const socket = connect(Number(port), host)
  let received = ''
  socket.on('data', (chunk: Buffer) => { received += chunk.toString() })
  socket.write('GET /load HTTP/1.1\r\nhost: a\r\n\r\n')
  await once(socket, 'data')
  expect(await changeBehaviour(admin, { silence: 1 })).toMatchObject({ silenced: 1 })
  const before = received.length
  socket.write('GET /load HTTP/1.1\r\nhost: a\r\n\r\n')
  const answer = await request(`http://${http}/load`)
  await answer.body.dump()
  expect(answer.statusCode).toBe(200)
  expect(received.length).toBe(before)
  expect(socket.readyState).toBe('open')
  socket.destroy()
})

test('a request whose connection goes silent during its run is finished but not answered', async () => {
  const { http, admin, journal } = await start({})
  const [host, port] = http.split(':')
  const socket = connect(Number(port), host)
  let received = ''
  socket.on('data', (chunk: Buffer) => { received += chunk.toString() })
  socket.write('POST /checkouts/1?ms=2000 HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n')
  await vi.waitFor(() => { expect(readJournal(journal)).toHaveLength(1) }, WAIT)
  await changeBehaviour(admin, { silence: 1 })
  await vi.waitFor(() => { expect(readJournal(journal)).toHaveLength(2) }, WAIT)
  expect(readJournal(journal)[1]).toMatchObject({ event: 'end', outcome: 'undelivered' })
  expect(received).toBe('')
  socket.destroy()
})

test('a graceful shutdown announces the drain and finishes the download in flight', async () => {
  const states: string[] = []
  const node = new AdminServer({ health: () => ({ ok: true }), state: () => ({}) })
  node.app.use(express.json())
  node.app.post('/announce', (incoming, response) => {
    states.push((incoming.body as { state: string }).state)
    response.json({})
  })
  const nodeAdmin = await node.listen('127.0.0.1:0')
  onTestFinished(() => { node.dispose() })
  const nodeAddresses = { admin: nodeAdmin, caller: nodeAdmin }
  const { testUpstream, http, journal } = await start({ node: nodeAddresses, drain: { quietMs: 1 } })
  const answer = await request(`http://${http}/downloads/400000?rate=2000000`)
  const check = new DownloadCheck(new DownloadBody(400_000, 0))
  const stopped = testUpstream.stop()
  for await (const chunk of answer.body) check.update(chunk)
  await stopped
  expect(check.isComplete).toBe(true)
  expect(states.at(-1)).toBe('draining')
  expect(readJournal(journal).map(line => line.event)).toEqual(['start', 'drain', 'end'])
})

test('a lagging report gives the load of the past', () => {
  const reporter = new LoadReporter(testUpstreamSettings.shape.load.parse({ mode: 'lagging', lagMs: 100 }))
  reporter.record({ inFlight: 5, queued: 0 }, 1000)
  reporter.record({ inFlight: 0, queued: 0 }, 1050)
  expect(reporter.report({ inFlight: 0, queued: 0 }, 1099)).toEqual({ inFlight: 0, queued: 0 })
  expect(reporter.report({ inFlight: 0, queued: 0 }, 1120)).toEqual({ inFlight: 5, queued: 0 })
  expect(reporter.report({ inFlight: 9, queued: 9 }, 1150)).toEqual({ inFlight: 0, queued: 0 })
})
