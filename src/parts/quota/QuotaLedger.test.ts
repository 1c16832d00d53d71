import { beforeEach, expect, test } from 'vitest'
import { COLLECT_INTERVAL_MS, COLLECT_MS, HOLD_LIFETIME_MS, LEDGER_TICK_MS, QUOTA_WINDOW_MS } from './Constants.js'
import { QuotaLedger } from './QuotaLedger.js'
import type { Quota, QuotaAnswer, QuotaGrant, QuotaLedgerAction, QuotaMessage, QuotaReport } from './Types.js'

const TERM = 4
/** Grants at most 110 credits in a window. */
const QUOTA = { ratePerS: 20, burst: 0 }

let nowMs: number
let quotas: Map<string, Quota>
let nodes: string[]
let ledger: QuotaLedger
let sequences: Map<string, number>
let heard: Map<string, number>

beforeEach(() => {
  nowMs = 50_000
  quotas = new Map([['w', QUOTA]])
  nodes = ['a', 'b']
  sequences = new Map()
  heard = new Map()
  const findQuota = (workspace: string): Quota | undefined => quotas.get(workspace)
  ledger = new QuotaLedger({ term: TERM, startedAtMs: nowMs, findQuota, listNodes: () => nodes })
})

function send (node: string, count: number, more: Partial<QuotaMessage> = {}): QuotaLedgerAction[] {
  const sequence = (sequences.get(node) ?? 0) + 1
  sequences.set(node, sequence)
  const heardMs = heard.get(node)
  const asks = count === 0 ? [] : [{ workspace: 'w', count }]
  const message = { sequence, incarnation: 1, term: TERM, asks, ...(heardMs === undefined ? {} : { heardMs }), ...more }
  const actions = ledger.step({ type: 'message', node, message }, nowMs)
  for (const { answer } of actions) if (answer.atMs !== undefined) heard.set(node, answer.atMs)
  return actions
}

/** Sends a message and returns the answer to it. */
function ask (node: string, count: number, more: Partial<QuotaMessage> = {}): QuotaAnswer | undefined {
  return send(node, count, more).find(action => action.type === 'answer')?.answer
}

function grantTo (node: string, count: number, more: Partial<QuotaMessage> = {}): QuotaGrant {
  return ask(node, count, more)!.grants[0]!
}

function report (more: Partial<QuotaReport> = {}): QuotaReport {
  return { id: 1, uses: [], returns: [], allowances: [], upMs: 60_000, ...more }
}

/** All nodes report that they have used nothing. */
function open (): void {
  for (const node of nodes) send(node, 0, { report: report() })
  for (const node of nodes) send(node, 0)
}

function tick (ms: number): QuotaLedgerAction[] {
  const actions: QuotaLedgerAction[] = []
  for (const endMs = nowMs + ms; nowMs < endMs;) {
    nowMs += LEDGER_TICK_MS
    actions.push(...ledger.step({ type: 'tick' }, nowMs))
  }
  return actions
}

test('a new leader answers nothing until all nodes have reported', () => {
  expect(ask('a', 1, { report: report() })).toBeUndefined()
  expect(ask('b', 1, { report: report() })?.grants).toMatchObject([{ workspace: 'w', count: 1 }])
  expect(ledger.isComplete).toBe(true)
})

test('a new leader calls for missing reports, and grants meanwhile about what the other nodes used before', () => {
  const uses = [{ workspace: 'w', count: 40, ageMs: 1000 }]
  const allowances = [{ workspace: 'w', count: 40 }]
  send('a', 0, { report: report({ uses, allowances }) })
  const calls = tick(COLLECT_MS).filter(({ type }) => type === 'collect')
  expect(calls.length).toBeGreaterThanOrEqual(COLLECT_MS / COLLECT_INTERVAL_MS - 1)
  expect(ledger.isComplete).toBe(false)
  send('a', 0)
  expect(grantTo('a', 100).count).toBe(7)
  for (let i = 0; i < QUOTA_WINDOW_MS / 200; i++) {
    tick(200)
    send('a', 0)
  }
  expect(grantTo('a', 100).count).toBe(40)
  nodes = ['a']
  tick(QUOTA_WINDOW_MS + LEDGER_TICK_MS)
  expect(ledger.isComplete).toBe(true)
})

// An earlier run of the node may have used the whole quota before both it and the leader ended.
test('a report of a node that has just started leaves its use unknown for a window', () => {
  send('a', 0, { report: report() })
  send('b', 0, { report: report({ upMs: 1000 }) })
  tick(3900)
  expect(ledger.isComplete).toBe(false)
  tick(200)
  expect(ledger.isComplete).toBe(true)
})

// Until it hears from the leader, the node admits as many requests again without asking.
test('a new leader counts the allowance of a node until the node acknowledges an answer', () => {
  const allowances = [{ workspace: 'w', count: 90 }]
  send('a', 0, { report: report({ allowances }) })
  send('b', 0, { report: report() })
  tick(QUOTA_WINDOW_MS)
  expect(grantTo('b', 110).count).toBe(20)
  send('a', 0)
  send('a', 0)
  expect(grantTo('b', 110).count).toBe(90)
})

test('what a silent node used is counted for as long as it may use it again', () => {
  open()
  expect(grantTo('a', 100).count).toBe(100)
  for (let i = 0; i < 100; i++) {
    tick(200)
    send('b', 0)
  }
  expect(grantTo('b', 110).count).toBe(10)
  for (let i = 0; i < HOLD_LIFETIME_MS / 200; i++) {
    tick(200)
    send('b', 0)
  }
  expect(grantTo('b', 110).count).toBe(110)
})

// Uses of a node that is always late would otherwise add up until its workspaces get nothing.
test('uses leave the window also while all acknowledgements are late', () => {
  open()
  const answeredAtMs: number[] = []
  for (let i = 0; i < 300; i++) {
    tick(200)
    const late = answeredAtMs.at(-3)
    const { count } = grantTo('a', 2, late === undefined ? {} : { heardMs: late })
    expect(count).toBe(2)
    answeredAtMs.push(nowMs)
  }
})

test('returned credits are granted again, once for each report', () => {
  open()
  expect(grantTo('a', 110).count).toBe(110)
  nowMs += 50
  const returned = { id: 2, uses: [], returns: [{ workspace: 'w', count: 30, ageMs: 50 }] }
  send('a', 0, { report: returned })
  send('a', 0, { report: returned })
  expect(grantTo('b', 110).count).toBe(30)
})

// A node that restarts has forgotten what it used, but the leader has not.
test('a restart of a node gives no credits back', () => {
  open()
  expect(grantTo('a', 110).count).toBe(110)
  expect(grantTo('a', 110, { incarnation: 2, report: report() }).count).toBe(0)
  expect(ask('a', 1, { incarnation: 1 })).toBeUndefined()
})

test('a changed quota decides the next grant, and without one all is granted', () => {
  open()
  expect(grantTo('a', 40).count).toBe(40)
  quotas.set('w', { ratePerS: 4, burst: 0 })
  expect(grantTo('a', 40).count).toBe(0)
  quotas.delete('w')
  expect(grantTo('a', 1000).count).toBe(1000)
})

test('a refusal tells when there is room again', () => {
  open()
  expect(grantTo('a', 110).count).toBe(110)
  const { retryAfterMs } = grantTo('b', 1)
  expect(retryAfterMs).toBeGreaterThan(QUOTA_WINDOW_MS)
  const freeAtMs = nowMs + retryAfterMs!
  while (nowMs < freeAtMs - 200) {
    tick(100)
    send('a', 0)
  }
  nowMs = freeAtMs - 1
  expect(grantTo('b', 1).count).toBe(0)
  nowMs = freeAtMs
  expect(grantTo('b', 1).count).toBe(1)
})

test('a deposed leader answers no message of a node that knows a later term', () => {
  open()
  expect(ask('a', 1, { term: TERM + 1 })).toBeUndefined()
})

test('workspaces and nodes that are not used any more leave the memory', () => {
  open()
  for (let i = 0; i < 500; i++) {
    quotas.set(`w${i}`, QUOTA)
    send('a', 0, { asks: [{ workspace: `w${i}`, count: 1 }] })
  }
  expect(ledger.size).toMatchObject({ workspaces: 500, nodes: 2, buckets: 500 })
  for (let i = 0; i < 2 * HOLD_LIFETIME_MS / 200; i++) {
    tick(200)
    send('a', 0)
    if (i === 50) nodes = ['a']
  }
  expect(ledger.size).toEqual({ workspaces: 0, nodes: 1, buckets: 0 })
})

// While nodes were replaced one after the other, a new leader granted no more than what had been used before.
test('nodes that start keep a new leader from granting the whole quota for little more than a window', () => {
  send('a', 0, { report: report() })
  send('b', 0, { report: report({ upMs: 500 }) })
  nodes.push('c')
  tick(QUOTA_WINDOW_MS - 1000)
  send('c', 0, { report: report({ upMs: 500 }) })
  tick(1600)
  expect(ledger.isComplete).toBe(true)
  expect(grantTo('a', 110).count).toBe(110)
})

test('before all nodes have reported, a node that starts anew holds the quota back, and a new one does not', () => {
  for (const isNewNode of [false, true]) {
    ledger = new QuotaLedger({
      term: TERM, startedAtMs: nowMs, findQuota: () => QUOTA, listNodes: () => nodes, isNewNode: () => isNewNode
    })
    send('a', 0, { report: report() })
    send('b', 0, { report: report({ upMs: 500 }) })
    tick(COLLECT_MS)
    expect(ledger.isComplete).toBe(isNewNode)
  }
})
