import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { NodeDirectory } from '../parts/instances/NodeDirectory.js'
import type { QuotaMessage } from '../parts/quota/Types.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import { QuotaHost } from './QuotaHost.js'
import type { QuotaOutcome, RouteNodeMetrics } from './RouteNodeMetrics.js'
import type { GatewayRequest } from './Types.js'

const QUOTA = { ratePerS: 10, burst: 0 }

let clockStepMs = 0
let sent: QuotaMessage[] = []
let outcomes: QuotaOutcome[] = []
let host: QuotaHost

beforeEach(() => {
  vi.useFakeTimers({ now: 1000, toFake: ['setTimeout', 'clearTimeout', 'setImmediate', 'clearImmediate', 'Date'] })
  clockStepMs = 0
  sent = []
  outcomes = []
  host = new QuotaHost({
    self: 'a',
    incarnation: () => 1,
    directory: new NodeDirectory(),
    clock: { nowMs: () => Date.now(), wallMs: () => Date.now() + clockStepMs },
    random: new SeededRandom(1),
    metrics: { countQuota: (outcome: QuotaOutcome) => outcomes.push(outcome) } as unknown as RouteNodeMetrics,
    send: message => sent.push(message)
  })
})

afterEach(() => {
  host.dispose()
  vi.useRealTimers()
})

function makeRequest (leftMs = 3000, hasQuota = true): GatewayRequest {
  const workspace = { name: 'w', priority: 0, ...(hasQuota ? { quota: QUOTA } : {}) }
  const arrivedAtMs = Date.now()
  return {
    workspace, arrivedAtMs, deadlineMs: leftMs, objectiveAtMs: arrivedAtMs + leftMs, route: { timeoutMs: leftMs }
  } as unknown as GatewayRequest
}

/** Opens a credit and records how it was decided. */
function open (request = makeRequest()): { credit: ReturnType<QuotaHost['openCredit']>, decisions: string[] } {
  const decisions: string[] = []
  const credit = host.openCredit(request)
  credit.request(() => decisions.push('admitted'), ({ reason }) => decisions.push(reason))
  return { credit, decisions }
}

function grant (count: number, sequence = sent.at(-1)!.sequence): void {
  const grants = [{ workspace: 'w', count, eighths: 3 }]
  host.receive({ term: 1, sequence, atMs: 1, id: sequence, grants })
}

test('a request without a quota is admitted at once, without a timer or a message', () => {
  const { decisions } = open(makeRequest(3000, false))
  expect(decisions).toEqual(['admitted'])
  expect(vi.getTimerCount()).toBe(0)
  expect(outcomes).toEqual([])
})

test('requests of one turn of the event loop share a message', () => {
  const all = [open(), open(), open()]
  vi.advanceTimersByTime(0)
  expect(sent).toHaveLength(1)
  grant(3)
  expect(all.map(({ decisions }) => decisions)).toEqual([['admitted'], ['admitted'], ['admitted']])
  expect(host.shareUsed('w')).toBe(3 / 8)
})

test('a credit is given back at most once, and only when the request has not run', () => {
  const ran = open()
  const refused = open()
  vi.advanceTimersByTime(0)
  grant(2)
  ran.credit.end(false)
  refused.credit.end(true)
  refused.credit.end(true)
  expect(outcomes.filter(outcome => outcome === 'returned')).toHaveLength(1)
})

// Otherwise a caller that leaves while it waits costs its workspace a credit.
test('a caller that leaves while its request waits leaves the credit to the next one', () => {
  const left = open()
  vi.advanceTimersByTime(0)
  left.credit.end(true)
  const next = open()
  grant(1, 1)
  expect(left.decisions).toEqual([])
  expect(next.decisions).toEqual(['admitted'])
})

test('a request is refused within its time when no leader answers', () => {
  const { decisions } = open(makeRequest(400))
  vi.advanceTimersByTime(190)
  expect(decisions).toEqual([])
  vi.advanceTimersByTime(70)
  expect(decisions).toEqual(['quota-unknown'])
  expect(outcomes).toEqual(['requested', 'refused'])
})

// The credit may be far older than the monotonic clock says.
test('credits are not used after the wall clock has stepped', () => {
  open()
  vi.advanceTimersByTime(0)
  grant(3)
  clockStepMs = 60_000
  expect(open().decisions).toEqual([])
})
