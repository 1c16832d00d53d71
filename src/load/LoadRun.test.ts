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
import { Schedule } from './Schedule.js'
import type { CallEnd, CallResult, PlannedCall } from './Types.js'
import type { JournalLine } from '../standin/Types.js'

type Answer = (request: IncomingMessage, response: ServerResponse) => unknown

async function serve (answer: Answer): Promise<string> {
  const server = createServer(answer)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  onTestFinished(() => { server.close().closeAllConnections() })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

function planOf (target: string, stream: object): LoadPlan {
  return loadPlan.parse({
    targets: [target],
    durationMs: 100,
    retry: { attempts: 2, waitMs: 1 },
    streams: [{ service: 'custody', kind: 'guarded', rate: 200, deadlineMs: 60_000, ...stream }]
  })
}

function echo (request: IncomingMessage, id: string): string {
  const key = request.headers['idempotency-key']
  return JSON.stringify({ service: 'custody', call: 'checkout', id, requestId: id, key })
}

function callOf (id: string): PlannedCall {
  const stream = loadPlan.shape.streams.element.parse({ kind: 'guarded', service: 'custody', rate: 1 })
  return { id, number: 0, stream, dueMs: 0, target: 0, repeated: false }
}

function resultOf (id: string, end: CallEnd): CallResult {
  return { call: callOf(id), end, reason: '', attempts: 1, neverRun: end === 'not-run', latencyMs: 1, lateMs: 0 }
}

function startOf (requestId: string): JournalLine {
  const common = { atMs: 0, run: 1, process: 1, service: 'custody', instance: 'custody-1' }
  return { event: 'start', ...common, method: 'POST', target: '/', requestId, key: requestId, call: '' }
}

test('an answer of another request counts as wrong', async () => {
  let last = ''
  const target = await serve((request, response) => {
    const own = request.headers['x-request-id'] as string
    response.end(echo(request, last === '' ? own : last))
    last = own
  })
  const { all } = await new LoadRun(planOf(target, {}), 'wrong').run()
  expect(all.sent).toBeGreaterThan(2)
  expect(all.ends).toMatchObject({ ok: 1, wrong: all.sent - 1 })
})

test('a not-run answer is sent again with the same key after the time it asks for', async () => {
  const keys: string[] = []
  const target = await serve((request, response) => {
    const key = request.headers['idempotency-key'] as string
    const first = !keys.includes(key)
    keys.push(key)
    if (first) {
      response.writeHead(503, { 'sassafras-disposition': 'not-run', 'sassafras-retry-after-ms': '1' }).end()
    } else response.end(echo(request, key))
  })
  const { all } = await new LoadRun(planOf(target, {}), 'again').run()
  expect(all.ends.ok).toBe(all.sent)
  expect(keys).toHaveLength(2 * all.sent)
})

test('an error of the upstream that asks for a repeat is repeated, but never for a guarded request', async () => {
  const target = await serve((_request, response) => response.writeHead(503, { 'retry-after': '0' }).end())
  const guarded = await new LoadRun(planOf(target, {}), 'guarded').run()
  expect(guarded.all.attempts).toBe(guarded.all.sent)
  const lookups = await new LoadRun(planOf(target, { kind: 'lookup' }), 'lookup').run()
  expect(lookups.all.ends.error).toBe(lookups.all.sent)
  expect(lookups.all.attempts).toBe(2 * lookups.all.sent)
})

test('an unknown outcome is repeated for a lookup, and for a guarded request only when the answer asks', async () => {
  const target = await serve((_request, response) => response.writeHead(504, { 'sassafras-disposition': 'unknown' }).end())
  const guarded = await new LoadRun(planOf(target, {}), 'guarded').run()
  expect(guarded.all.attempts).toBe(guarded.all.sent)
  const lookups = await new LoadRun(planOf(target, { kind: 'lookup' }), 'lookup').run()
  expect(lookups.all.attempts).toBe(2 * lookups.all.sent)
})

test('a warm-up is sent and not counted as latency', async () => {
  const target = await serve((request, response) => response.end(echo(request, request.headers['x-request-id'] as string)))
  const plan = { ...planOf(target, {}), warmupMs: 50 }
  const { all } = await new LoadRun(plan, 'warm').run()
  const schedule = new Schedule(plan, 'warm')
  const counted: number[] = []
  while (schedule.nextDueMs !== undefined) counted.push(schedule.take().dueMs)
  expect(all.ends.ok).toBe(counted.length)
  expect(all.latency.count).toBe(counted.filter(dueMs => dueMs >= 50).length)
})

test('dispositions and reasons are counted', async () => {
  const target = await serve((_request, response) => {
    response.writeHead(503, { 'sassafras-disposition': 'unknown', 'sassafras-reason': 'peer-lost' }).end('{}')
  })
  const { all } = await new LoadRun(planOf(target, {}), 'unknown').run()
  expect(all.ends.unknown).toBe(all.sent)
  expect(all.reasons).toEqual({ 'unknown: peer-lost': all.sent })
})

test('changes of a plan reach the stand-ins, and one that fails is told', async () => {
  const bodies: string[] = []
  const target = await serve((request, response) => {
    if (request.url !== '/behaviour') return response.end(echo(request, request.headers['x-request-id'] as string))
    request.on('data', (chunk: Buffer) => { bodies.push(chunk.toString()) })
    request.on('end', () => { response.end('{"slowFactor":10}') })
  })
  const changes = [
    { atMs: 5, upstream: target, behaviour: { slowFactor: 10 } },
    { atMs: 5, upstream: '127.0.0.1:1', behaviour: { shedShare: 1 } }
  ]
  const summary = await new LoadRun({ ...planOf(target, {}), changes }, 'changes').run()
  expect(bodies).toEqual(['{"slowFactor":10}'])
  expect(summary.changes[0]).toEqual({ atMs: 5, upstream: target, answer: '{"slowFactor":10}' })
  expect(summary.changes[1]?.answer).toContain('ECONNREFUSED')
})

test('the audit tells lost, doubled and falsely refused runs apart', () => {
  const results = [
    resultOf('good', 'ok'),
    resultOf('lost', 'ok'),
    resultOf('doubled', 'ok'),
    resultOf('doubled', 'ok'),
    resultOf('refused', 'not-run'),
    resultOf('lied', 'not-run'),
    resultOf('untold', 'unknown'),
    resultOf('sent-twice', 'not-run'),
    resultOf('sent-twice', 'ok')
  ]
  const lines = ['good', 'doubled', 'doubled', 'lied', 'untold', 'sent-twice'].map(startOf)
  expect(new JournalAudit(lines).count(results)).toEqual({
    runs: 6,
    doubled: 1,
    lost: 1,
    falseNotRun: 1,
    ranUnknown: 1,
    examples: ['doubled: doubled', 'lost: lost', 'falseNotRun: lied', 'ranUnknown: untold']
  })
})

test('the same seed plans the same calls', () => {
  const plan = planOf('127.0.0.1:1', { repeatShare: 0.5 })
  const [first, second] = [new Schedule(plan, 'a'), new Schedule(plan, 'a')]
  while (first.nextDueMs !== undefined) expect(first.take()).toEqual(second.take())
  expect(second.nextDueMs).toBeUndefined()
})

test('over small seeds, the first call of a stream comes after its mean gap', () => {
  const SEEDS = 200
  const meanGapMs = 1000
  let sumMs = 0
  for (let seed = 0; seed < SEEDS; seed++) {
    const streams = [{ kind: 'lookup', service: 'a', rate: 1 }]
    const plan = loadPlan.parse({ targets: ['127.0.0.1:1'], durationMs: 3_600_000, seed, streams })
    sumMs += new Schedule(plan, 'a').nextDueMs ?? Number.NaN
  }
  // Six standard deviations of the mean of exponential gaps.
  expect(Math.abs(sumMs / SEEDS - meanGapMs)).toBeLessThan(6 * meanGapMs / Math.sqrt(SEEDS))
})

test('a stall counts against every call that was due in it', () => {
  const recorder = new LatencyRecorder(1000)
  for (let dueMs = 0; dueMs < 1000; dueMs++) recorder.record(dueMs, 1000 - dueMs)
  expect(recorder.summary().p50Ms).toBeCloseTo(500, -1)
  expect(recorder.overTime()).toHaveLength(60)
})

test('a cut or foreign body is no own answer', async () => {
  async function * bytes (text: string): AsyncGenerator<Uint8Array> {
    yield Buffer.from(text)
  }
  const call = callOf('a')
  const whole = JSON.stringify({ service: 'custody', call: 'checkout', id: 'a', requestId: 'a', key: 'a' })
  expect(await BODY_CHECKS.guarded(call, bytes(whole))).toBe(true)
  expect(await BODY_CHECKS.guarded(call, bytes(whole.slice(0, -1)))).toBe(false)
  expect(await BODY_CHECKS.guarded(call, bytes(whole.replace('custody', 'catalogue')))).toBe(false)
})
