import { beforeEach, expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { ANSWER_LIFETIME_MS, ANSWER_TIMEOUT_MS, KEEPALIVE_MS, QUOTA_WINDOW_MS } from './Constants.js'
import { QuotaClient } from './QuotaClient.js'
import type { QuotaClientAction, QuotaClientEvent, QuotaGrant, QuotaMessage, QuotaReport } from './Types.js'

const QUOTA = { ratePerS: 10, burst: 0 }

let client: QuotaClient
let nowMs: number
let lastId: number
let sent: QuotaMessage[]

beforeEach(() => {
  nowMs = 100_000
  lastId = 0
  sent = []
  client = new QuotaClient({
    incarnation: () => 1, startedAtMs: 0, random: new SeededRandom(1), rank: () => ({ index: 0, count: 1000 })
  })
})

/** Steps the client and records what it sends; returns the decisions. */
function step (event: QuotaClientEvent): QuotaClientAction[] {
  const actions = [...client.step(event, nowMs), ...client.step({ type: 'flush' }, nowMs)]
  sent.push(...actions.flatMap(action => action.type === 'send' ? [action.message] : []))
  return actions.filter(({ type }) => type !== 'send')
}

function request (workspace = 'w'): QuotaClientAction[] {
  return step({ type: 'request', id: ++lastId, workspace, quota: QUOTA, waitMs: 1000 })
}

/** Answers the last message. */
function answer (grants: readonly QuotaGrant[], term = 1, sequence = sent.at(-1)!.sequence): QuotaClientAction[] {
  const id = sent.findLast(({ report }) => report !== undefined)?.report?.id ?? 0
  return step({ type: 'answer', answer: { term, sequence, atMs: nowMs, id, grants } })
}

function grant (count: number, more: Partial<QuotaGrant> = {}): QuotaGrant {
  return { workspace: 'w', count, eighths: 0, ...more }
}

/** Ticks until the next message that holds a report of returned credits or uses. */
function nextReport (): QuotaReport {
  const before = sent.length
  for (let i = 0; i < 100; i++) {
    nowMs += 50
    step({ type: 'tick' })
    const report = sent.slice(before).find(message => message.report !== undefined)?.report
    if (report !== undefined) return report
  }
  throw new Error('no report was sent')
}

function countReturns ({ returns }: QuotaReport): number {
  return returns.reduce((sum, { count }) => sum + count, 0)
}

test('requests that arrive together share a message', () => {
  for (let i = 0; i < 3; i++) {
    client.step({ type: 'request', id: ++lastId, workspace: i === 2 ? 'v' : 'w', quota: QUOTA, waitMs: 1000 }, nowMs)
  }
  step({ type: 'flush' })
  expect(sent).toHaveLength(1)
  expect(sent[0]?.asks).toEqual([{ workspace: 'w', count: 2 }, { workspace: 'v', count: 1 }])
})

test('credits in advance admit requests at once until they expire, and are then returned', () => {
  request()
  expect(answer([grant(1, { advance: 2 })])).toMatchObject([{ type: 'admit', id: 1 }])
  expect(request()).toMatchObject([{ type: 'admit', id: 2, isFallback: false }])
  nowMs += 1001
  expect(request()).toEqual([])
  expect(sent.at(-1)?.asks).toEqual([{ workspace: 'w', count: 1 }])
  expect(countReturns(sent.at(-1)!.report!)).toBe(1)
})

test('a refusal holds for a while without a message, and for its workspace only', () => {
  request()
  expect(answer([grant(0, { retryAfterMs: 200, eighths: 8 })])).toMatchObject([{ type: 'refuse', reason: 'quota' }])
  const { length } = sent
  nowMs += 100
  expect(request()).toMatchObject([{ type: 'refuse', reason: 'quota' }])
  expect(sent).toHaveLength(length)
  expect(request('v')).toEqual([])
  expect(client.shareUsed('w', nowMs)).toBe(1)
  nowMs += 200
  expect(request()).toEqual([])
})

// A caller that leaves must not cost its workspace a credit.
test('the credit of a request that does not wait any more is returned', () => {
  request()
  step({ type: 'cancel', id: 1, workspace: 'w' })
  expect(answer([grant(1)])).toEqual([])
  expect(countReturns(nextReport())).toBe(1)
})

test('a credit that is given back is returned in one report, which is repeated until it is acknowledged', () => {
  request()
  answer([grant(1)])
  step({ type: 'giveBack', workspace: 'w', atMs: nowMs })
  const report = nextReport()
  expect(countReturns(report)).toBe(1)
  const again = nextReport()
  expect(again.id).toBe(report.id)
  answer([])
  for (let i = 0; i < 10; i++) {
    nowMs += KEEPALIVE_MS
    step({ type: 'tick' })
    expect(sent.at(-1)?.report).toBeUndefined()
  }
})

// A new leader has counted only what was reported to it.
test('answers and credits of an earlier term are not used', () => {
  request()
  answer([grant(1, { advance: 3 })], 1)
  request('v')
  step({ type: 'answer', answer: { term: 2, grants: [] } })
  expect(request()).toEqual([])
  expect(answer([grant(1), grant(1, { workspace: 'v' })], 1)).toEqual([])
  expect(answer([grant(1)], 2)).toMatchObject([{ type: 'admit' }])
})

test('an answer after its lifetime is ignored', () => {
  request()
  const { sequence } = sent[0]!
  nowMs += ANSWER_LIFETIME_MS + 1
  expect(step({ type: 'tick' })).toMatchObject([{ type: 'refuse', reason: 'quota-unknown' }])
  request()
  expect(answer([grant(1)], 1, sequence)).toEqual([])
})

// A node that was suspended may hold credits that the ledger has stopped counting.
test('after a suspension credits and allowances are gone until the next answer', () => {
  for (let i = 0; i < 5; i++) {
    request()
    answer([grant(1, { advance: 1 })])
    nowMs += 100
  }
  step({ type: 'suspended' })
  expect(request()).toEqual([])
  nowMs += ANSWER_TIMEOUT_MS + 10
  expect(step({ type: 'tick' })).toEqual([])
  expect(answer([grant(1)])).toMatchObject([{ type: 'admit', isFallback: false }])
})

test('without an answer a node admits about what it used in the window before, and reports it', () => {
  for (let i = 0; i < 50; i++) {
    request()
    answer([grant(1)])
    nowMs += 100
  }
  let admitted = 0
  for (let i = 0; i < 100; i++) {
    request()
    nowMs += 50
    admitted += step({ type: 'tick' }).filter(({ type }) => type === 'admit').length
  }
  expect(admitted).toBeGreaterThan(35)
  expect(admitted).toBeLessThanOrEqual(55)
  expect(nextReport().uses.length).toBeGreaterThan(0)
})

test('workspaces that are not used any more leave the memory', () => {
  for (let i = 0; i < 1000; i++) {
    request(`w${i}`)
    answer([grant(1, { workspace: `w${i}` })])
  }
  expect(client.size).toBe(1000)
  for (let i = 0; i < 2 * QUOTA_WINDOW_MS / 100; i++) {
    nowMs += 100
    step({ type: 'tick' })
    answer([])
  }
  expect(client.size).toBe(0)
  expect(client.isActive).toBe(false)
})
