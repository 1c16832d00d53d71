import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect, onTestFinished, test } from 'vitest'
import { BODY_CHECKS } from './AnswerCheck.js'
import { JournalAudit } from './JournalAudit.js'
import { LatencyRecorder } from './LatencyRecorder.js'
import { loadPlan } from './LoadPlan.js'
import type { LoadPlan } from './LoadPlan.js'
import { LoadRun } from './LoadRun.js'
import { ArrivalSchedule } from './ArrivalSchedule.js'
import type { CallEnd, CallResult, PlannedCall } from './Types.js'
import type { JournalLine } from '../standin/Types.js'

type Answer = (request: IncomingMessage, response: ServerResponse) => unknown

async function serve (answer: Answer): Promise<string> {
  const server = createServer(answer)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  onTestFinished(() => { server.close().closeAllConnections() })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

function makePlan (target: string, stream: object): LoadPlan {
  return loadPlan.parse({
    targets: [target],
    durationMs: 100,
    retry: { attempts: 2, waitMs: 1 },
    streams: [{ service: 'custody', kind: 'guarded', rate: 200, deadlineMs: 60_000, ...stream }]
  })
}

function echoBody (request: IncomingMessage, id: string): string {
  const key = request.headers['idempotency-key']
  return JSON.stringify({ service: 'custody', call: 'checkout', id, requestId: id, key })
}

function makeCall (id: string): PlannedCall {
  const stream = loadPlan.shape.streams.element.parse({ kind: 'guarded', service: 'custody', rate: 1 })
  return { id, number: 0, stream, dueMs: 0, target: 0, sentTwice: false }
}

function makeResult (id: string, end: CallEnd): CallResult {
  return { call: makeCall(id), end, reason: '', attempts: 1, reportedNotRun: end === 'not-run', latencyMs: 1, lateMs: 0 }
}

function makeStartLine (requestId: string): JournalLine {
  const common = { atMs: 0, run: 1, process: 1, service: 'custody', instance: 'custody-1' }
  return { event: 'start', ...common, method: 'POST', target: '/', requestId, key: requestId, call: '' }
}

test('an answer that belongs to another request counts as wrong', async () => {
  let last = ''
  const target = await serve((request, response) => {
    const own = request.headers['x-request-id'] as string
    response.end(echoBody(request, last === '' ? own : last))
    last = own
  })
  const { all } = await new LoadRun(makePlan(target, {}), 'wrong').run()
  expect(all.sent).toBeGreaterThan(2)
  expect(all.ends).toMatchObject({ ok: 1, wrong: all.sent - 1 })
})

test('a call that was not run is retried with the same key after the wait that the answer asks for', async () => {
  const keys: string[] = []
  const target = await serve((request, response) => {
    const key = request.headers['idempotency-key'] as string
    const first = !keys.includes(key)
    keys.push(key)
    if (first) {
      response.writeHead(503, { 'sassafras-disposition': 'not-run', 'sassafras-retry-after-ms': '1' }).end()
    } else response.end(echoBody(request, key))
  })
  const { all } = await new LoadRun(makePlan(target, {}), 'again').run()
  expect(all.ends.ok).toBe(all.sent)
  expect(keys).toHaveLength(2 * all.sent)
})

test('an upstream error with Retry-After is retried, but never for a guarded request', async () => {
  const target = await serve((_request, response) => response.writeHead(503, { 'retry-after': '0' }).end())
  const guarded = await new LoadRun(makePlan(target, {}), 'guarded').run()
  expect(guarded.all.attempts).toBe(guarded.all.sent)
  const lookups = await new LoadRun(makePlan(target, { kind: 'lookup' }), 'lookup').run()
  expect(lookups.all.ends.error).toBe(lookups.all.sent)
  expect(lookups.all.attempts).toBe(2 * lookups.all.sent)
})

test('an unknown outcome is retried for a lookup, and for a guarded request only when the answer asks for it', async () => {
  const target = await serve((_request, response) => response.writeHead(504, { 'sassafras-disposition': 'unknown' }).end())
  const guarded = await new LoadRun(makePlan(target, {}), 'guarded').run()
  expect(guarded.all.attempts).toBe(guarded.all.sent)
  const lookups = await new LoadRun(makePlan(target, { kind: 'lookup' }), 'lookup').run()
  expect(lookups.all.attempts).toBe(2 * lookups.all.sent)
})

test('calls of the warm-up are sent but their latency is not recorded', async () => {
  const target = await serve((request, response) => response.end(echoBody(request, request.headers['x-request-id'] as string)))
  const plan = { ...makePlan(target, {}), warmupMs: 50 }
  const { all } = await new LoadRun(plan, 'warm').run()
  const schedule = new ArrivalSchedule(plan, 'warm')
  const counted: number[] = []
  while (schedule.nextDueMs !== undefined) counted.push(schedule.take().dueMs)
  expect(all.ends.ok).toBe(counted.length)
  expect(all.latency.count).toBe(counted.filter(dueMs => dueMs >= 50).length)
})

test('the summary counts dispositions and reasons', async () => {
  const target = await serve((_request, response) => {
    response.writeHead(503, { 'sassafras-disposition': 'unknown', 'sassafras-reason': 'peer-lost' }).end('{}')
  })
  const { all } = await new LoadRun(makePlan(target, {}), 'unknown').run()
  expect(all.ends.unknown).toBe(all.sent)
  expect(all.reasons).toEqual({ 'unknown: peer-lost': all.sent })
})

test('behaviour changes reach the test upstreams, and the summary reports a failed one', async () => {
  const bodies: string[] = []
  const target = await serve((request, response) => {
    if (request.url !== '/behaviour') return response.end(echoBody(request, request.headers['x-request-id'] as string))
    request.on('data', (chunk: Buffer) => { bodies.push(chunk.toString()) })
    request.on('end', () => { response.end('{"slowFactor":10}') })
  })
  const changes = [
    { atMs: 5, upstream: target, behaviour: { slowFactor: 10 } },
    { atMs: 5, upstream: '127.0.0.1:1', behaviour: { shedShare: 1 } }
  ]
  const summary = await new LoadRun({ ...makePlan(target, {}), changes }, 'changes').run()
  expect(bodies).toEqual(['{"slowFactor":10}'])
  expect(summary.changes[0]).toEqual({ atMs: 5, upstream: target, answer: '{"slowFactor":10}' })
  expect(summary.changes[1]?.answer).toContain('ECONNREFUSED')
})

test('the audit counts lost and duplicate runs and runs that were reported as not run', () => {
  const results = [
    makeResult('good', 'ok'),
    makeResult('lost', 'ok'),
    makeResult('doubled', 'ok'),
    makeResult('doubled', 'ok'),
    makeResult('refused', 'not-run'),
    makeResult('lied', 'not-run'),
    makeResult('untold', 'unknown'),
    makeResult('sent-twice', 'not-run'),
    makeResult('sent-twice', 'ok')
  ]
  const lines = ['good', 'doubled', 'doubled', 'lied', 'untold', 'sent-twice'].map(makeStartLine)
  expect(new JournalAudit(lines).count(results)).toEqual({
    runs: 6,
    doubled: 1,
    lost: 1,
    falseNotRun: 1,
    ranUnknown: 1,
    examples: ['doubled: doubled', 'lost: lost', 'falseNotRun: lied', 'ranUnknown: untold']
  })
})

test('the same seed gives the same calls', () => {
  const plan = makePlan('127.0.0.1:1', { repeatShare: 0.5 })
  const [first, second] = [new ArrivalSchedule(plan, 'a'), new ArrivalSchedule(plan, 'a')]
  while (first.nextDueMs !== undefined) expect(first.take()).toEqual(second.take())
  expect(second.nextDueMs).toBeUndefined()
})

test('over small seeds, the first call of a stream is due after the mean inter-arrival time on average', () => {
  const SEEDS = 200
  const meanGapMs = 1000
  let sumMs = 0
  for (let seed = 0; seed < SEEDS; seed++) {
    const streams = [{ kind: 'lookup', service: 'a', rate: 1 }]
    const plan = loadPlan.parse({ targets: ['127.0.0.1:1'], durationMs: 3_600_000, seed, streams })
    sumMs += new ArrivalSchedule(plan, 'a').nextDueMs ?? Number.NaN
  }
  // Guards against correlated first random numbers of small seeds. The bound is six standard deviations of the mean of
  // exponential gaps.
  expect(Math.abs(sumMs / SEEDS - meanGapMs)).toBeLessThan(6 * meanGapMs / Math.sqrt(SEEDS))
})

test('a stall counts in the latency of every call that was due during it', () => {
  const recorder = new LatencyRecorder(1000)
  for (let dueMs = 0; dueMs < 1000; dueMs++) recorder.record(dueMs, 1000 - dueMs)
  expect(recorder.summary().p50Ms).toBeCloseTo(500, -1)
  expect(recorder.overTime()).toHaveLength(60)
})

test('a truncated body and the body of another service fail the body check', async () => {
  async function * bytes (text: string): AsyncGenerator<Uint8Array> {
    yield Buffer.from(text)
  }
  const call = makeCall('a')
  const whole = JSON.stringify({ service: 'custody', call: 'checkout', id: 'a', requestId: 'a', key: 'a' })
  expect(await BODY_CHECKS.guarded(call, bytes(whole))).toBe(true)
  expect(await BODY_CHECKS.guarded(call, bytes(whole.slice(0, -1)))).toBe(false)
  expect(await BODY_CHECKS.guarded(call, bytes(whole.replace('custody', 'catalogue')))).toBe(false)
})
