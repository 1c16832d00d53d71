import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { ZoneExclusion } from '../parts/evacuation/Types.js'
import type { GateLoad } from '../parts/gate/Types.js'
import { InstanceChooser } from '../parts/placement/InstanceChooser.js'
import { HedgePolicy } from '../parts/retry/HedgePolicy.js'
import type { Route } from '../parts/routing/Types.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import type { NodeId } from '../parts/Types.js'
import { MAX_DECLINES } from './Constants.js'
import { GatewayCall, type GatewayContext } from './GatewayCall.js'
import type { Placement } from './Placement.js'
import type { QuarantineRefusal } from './Quarantine.js'
import { SharedRetryBudgets } from './SharedRetryBudgets.js'
import type {
  AttemptKind, CallerWorkspace, GatewayResult, RoutedAnswer, RoutedCall, RoutedCallListener
} from './Types.js'

const IDLE: GateLoad = { running: 0, queued: 0, limit: 4, slowness: 1, workMs: 50, failing: 0 }
const ANSWER: RoutedAnswer = { status: 200, headers: [], body: new Uint8Array(0) }
const clock = { nowMs: () => Date.now(), wallMs: () => Date.now() }

/** A call that was sent to a node. */
interface SentCall {
  readonly node: NodeId
  readonly call: RoutedCall
  readonly listener: RoutedCallListener
  cancelled: boolean
  /** True while the body of an upload is not sent completely. */
  isUnsent: boolean
}

let sentCalls: SentCall[] = []
let hedgePolicy = new HedgePolicy()
let result: GatewayResult | undefined
let refusal: QuarantineRefusal | undefined
let exclusion: ZoneExclusion | undefined
let workspace: CallerWorkspace | undefined

beforeEach(() => { vi.useFakeTimers({ now: 1000 }) })

afterEach(() => {
  vi.useRealTimers()
  sentCalls = []
  hedgePolicy = new HedgePolicy()
  result = undefined
  refusal = undefined
  exclusion = undefined
  workspace = undefined
})

function start (
  nodes: readonly NodeId[], changes: Partial<Route> = {}, parentAttemptKind?: AttemptKind, slack = 100
): GatewayCall {
  const random = new SeededRandom(1)
  const chooser = new InstanceChooser('self', random)
  const candidate = { incarnation: '1', roundTripMs: 1, slots: 6, crossesZones: false }
  // Nodes are named after their zones here.
  nodes.forEach(node => chooser.setCandidate({ ...candidate, node, zone: node }))
  const findTarget = (node: NodeId): object => ({
    start: (call: RoutedCall, listener: RoutedCallListener) => {
      const entry: SentCall = { node, call, listener, cancelled: false, isUnsent: false }
      sentCalls.push(entry)
      return { cancel: () => { entry.cancelled = true }, isUnsent: () => entry.isUnsent }
    }
  })
  let lastId = 0
  const context: GatewayContext = {
    clock,
    random,
    placement: {
      findChooser: () => chooser,
      drawExclusion: () => exclusion === undefined ? {} : { exclusion },
      findTarget,
      findKnownLimit: () => undefined,
      findColdPerS: () => undefined,
      recordStatus: () => {}
    } as unknown as Placement,
    hedgePolicy,
    quarantine: { check: () => refusal },
    retryBudgets: new SharedRetryBudgets({ ratio: 1, slack, windowMs: 10_000 }),
    shareUsed: name => name === 'acme' ? 0.375 : undefined,
    nextCallId: () => ++lastId,
    nodeCount: () => 1
  }
  const route: Route = {
    name: 'r',
    host: 'h',
    pathPrefix: '/',
    kind: 'idempotent',
    timeoutMs: 1000,
    latencyObjectiveMs: 500,
    priority: 1,
    maxAttempts: 2,
    destination: { type: 'service', service: 's' },
    ...changes
  }
  const call = new GatewayCall({
    requestId: 'x',
    method: 'GET',
    target: '/',
    headers: [],
    body: new Uint8Array(0),
    route,
    service: 's',
    version: 1,
    parentAttemptKind,
    workspace,
    deadlineMs: 1000,
    arrivedAtMs: clock.nowMs(),
    objectiveAtMs: clock.nowMs() + 500,
    expectedBytes: 1000
  }, context, ended => { result = ended })
  call.start()
  return call
}

function decline (index: number, reason: 'busy' | 'too-late'): void {
  sentCalls[index]?.listener.onDeclined(reason, 40, IDLE)
}

// Without a limit on declines a refused caller would wait at one gate after the other.
test('after the largest number of declines the answer of the next gate is final', () => {
  const call = start(['a', 'b', 'c', 'd', 'e', 'f'])
  for (let i = 0; i < MAX_DECLINES; i++) decline(i, 'busy')
  expect(sentCalls.map(({ call: { moveMs } }) => moveMs !== undefined)).toEqual([true, true, true, false])
  decline(MAX_DECLINES, 'too-late')
  expect(sentCalls).toHaveLength(MAX_DECLINES + 1)
  expect(result).toMatchObject({ type: 'refused', reason: 'too-late' })
  expect(call.declines).toBe(MAX_DECLINES + 1)
})

test('a call that waited at its last gate in vain tries one more instance, where it must not wait', () => {
  start(['a', 'b', 'c', 'd', 'e', 'f'], { kind: 'once' })
  for (let i = 0; i < MAX_DECLINES; i++) decline(i, 'busy')
  vi.advanceTimersByTime(245)
  decline(MAX_DECLINES, 'too-late')
  expect(sentCalls.at(-1)?.call).toMatchObject({ moveMs: 0, attempt: 'first' })
  expect(sentCalls.at(-1)?.node).not.toBe(sentCalls[MAX_DECLINES]?.node)
  decline(MAX_DECLINES + 1, 'busy')
  expect(sentCalls).toHaveLength(MAX_DECLINES + 2)
  expect(result).toMatchObject({ type: 'refused', reason: 'busy' })
})

test('a call is sent without a move cost when there is no other instance', () => {
  start(['a'])
  expect(sentCalls[0]?.call.moveMs).toBeUndefined()
})

// The instance may be running a call that is pending at the timeout, so the request must not be refused as not run.
test('a call that is pending at the timeout counts as sent', () => {
  const call = start(['a', 'b'])
  vi.advanceTimersByTime(1001)
  expect([result, call.sends, sentCalls[0]?.cancelled]).toMatchObject([{ type: 'failed', reason: 'timeout' }, 1, true])
})

test('an idempotent request is retried at another instance after a failure', () => {
  start(['a', 'b'])
  sentCalls[0]?.listener.onFailed('unknown', 'instance-lost', IDLE)
  sentCalls[1]?.listener.onAnswer(ANSWER, IDLE)
  expect(result).toMatchObject({ type: 'answer' })
})

// A VM that is gone answers no ping; waiting for the link to fail takes most of a short deadline.
test('an idempotent request is retried once the node of its instance is unresponsive, and takes the first answer', () => {
  for (const answering of [0, 1]) {
    start(['a', 'b'])
    sentCalls[0]?.listener.onUnresponsive?.()
    expect(sentCalls.map(({ call: { attempt } }) => attempt)).toEqual(['first', 'repeat'])
    sentCalls[answering]?.listener.onAnswer(ANSWER, IDLE)
    expect([result?.type, sentCalls[1 - answering]?.cancelled]).toEqual(['answer', true])
    sentCalls = []
  }
})

test('an at-most-once request and one without a retry left wait for an unresponsive node', () => {
  for (const route of [{ kind: 'once' }, { maxAttempts: 1 }] as const) {
    start(['a', 'b'], route)
    sentCalls[0]?.listener.onUnresponsive?.()
    expect(sentCalls).toHaveLength(1)
    sentCalls[0]?.listener.onAnswer(ANSWER, IDLE)
    expect(result?.type).toBe('answer')
    sentCalls = []
  }
})

test('a retry beside an unresponsive attempt goes to a third instance when it is declined', () => {
  start(['a', 'b', 'c'])
  sentCalls[0]?.listener.onUnresponsive?.()
  decline(1, 'busy')
  sentCalls[2]?.listener.onAnswer(ANSWER, IDLE)
  expect(result?.type).toBe('answer')
})

test('a request whose retry is refused keeps its unresponsive attempt, and is never refused as not run', () => {
  start(['a', 'b'])
  sentCalls[0]?.listener.onUnresponsive?.()
  decline(1, 'too-late')
  expect(result).toBeUndefined()
  sentCalls[0]?.listener.onFailed('unknown', 'link-lost', undefined)
  expect(result?.type).not.toBe('refused')
  sentCalls.forEach(({ node, listener }) => { if (node === 'b') listener.onAnswer(ANSWER, IDLE) })
})

/** Makes 100 ms the usual latency of the route. */
function recordUsualLatency (): void {
  for (let i = 0; i < 200; i++) hedgePolicy.recordLatency('r', 100)
}

test('a slow first attempt is hedged, and cancelled when the hedge answers first', () => {
  recordUsualLatency()
  const call = start(['a', 'b'])
  vi.advanceTimersByTime(50)
  expect(sentCalls).toHaveLength(1)
  vi.advanceTimersByTime(100)
  expect(sentCalls.map(({ call: { attempt } }) => attempt)).toEqual(['first', 'hedge'])
  sentCalls[1]?.listener.onAnswer(ANSWER, IDLE)
  expect(result).toMatchObject({ type: 'answer' })
  expect([sentCalls[0]?.cancelled, call.hedge]).toEqual([true, 'won'])
})

test('an at-most-once request is never hedged', () => {
  recordUsualLatency()
  start(['a', 'b'], { kind: 'once' })
  vi.advanceTimersByTime(900)
  expect(sentCalls).toHaveLength(1)
})

test('a hedge counts towards the largest number of attempts of the route', () => {
  recordUsualLatency()
  start(['a', 'b'], { maxAttempts: 1 })
  vi.advanceTimersByTime(900)
  expect(sentCalls).toHaveLength(1)
})

test('a request whose first attempt fails is answered by its pending hedge', () => {
  recordUsualLatency()
  start(['a', 'b', 'c'])
  vi.advanceTimersByTime(150)
  sentCalls[0]?.listener.onFailed('unknown', 'instance-lost', IDLE)
  expect([result, sentCalls.length]).toEqual([undefined, 2])
  sentCalls[1]?.listener.onAnswer(ANSWER, IDLE)
  expect(result).toMatchObject({ type: 'answer' })
})

test('a declined hedge is sent to one more instance, and the first attempt continues', () => {
  recordUsualLatency()
  const call = start(['a', 'b', 'c', 'd'])
  vi.advanceTimersByTime(150)
  decline(1, 'busy')
  decline(2, 'busy')
  expect([sentCalls.length, call.hedge, result]).toEqual([3, 'declined', undefined])
  sentCalls[0]?.listener.onAnswer(ANSWER, IDLE)
  expect(result).toMatchObject({ type: 'answer' })
})

test('a request whose first attempt is declined after its hedge was sent is answered by the hedge', () => {
  recordUsualLatency()
  start(['a', 'b'])
  vi.advanceTimersByTime(150)
  decline(0, 'too-late')
  expect(result).toBeUndefined()
  sentCalls[1]?.listener.onAnswer(ANSWER, IDLE)
  expect(result).toMatchObject({ type: 'answer' })
})

// Hedges are never queued. Without this retry the request would be refused although an instance could queue it.
test('when the first attempt has failed and its hedge is declined, a retry replaces both', () => {
  recordUsualLatency()
  start(['a', 'b', 'c'])
  vi.advanceTimersByTime(150)
  sentCalls[0]?.listener.onFailed('unknown', 'instance-lost', IDLE)
  decline(1, 'busy')
  expect(sentCalls.map(({ call: { attempt } }) => attempt)).toEqual(['first', 'hedge', 'repeat'])
  sentCalls[2]?.listener.onAnswer(ANSWER, IDLE)
  expect(result).toMatchObject({ type: 'answer' })
})

// Nested calls of retries multiply along a chain of services unless each service bounds them by its own budget.
test('a nested call of a retry is paid from the retry budget, and refused when that is used up', () => {
  start(['a', 'b'], {}, 'repeat')
  expect(sentCalls[0]?.call).toMatchObject({ nested: true, attempt: 'repeat' })
  start(['a', 'b'], {}, 'hedge', 0)
  expect(sentCalls).toHaveLength(1)
  expect(result).toMatchObject({ type: 'refused', reason: 'retry-budget' })
})

test('a nested call of a first attempt is not paid from the retry budget', () => {
  start(['a', 'b'], {}, 'first', 0)
  expect(sentCalls[0]?.call).toMatchObject({ nested: true, attempt: 'first' })
})

test('a call whose last gate has reached its request limit meanwhile queues at another instance', () => {
  start(['a', 'b'])
  decline(0, 'busy')
  sentCalls[1]!.listener.onDeclined('rate-limited', 200, { ...IDLE, closedForMs: 200 })
  expect(sentCalls).toHaveLength(3)
  expect([sentCalls[2]!.node, sentCalls[2]!.call.moveMs]).toEqual([sentCalls[0]!.node, undefined])
})

test('a call that the request limits of all instances exclude is refused with the time until the first allows one', () => {
  start(['a', 'b'])
  sentCalls[0]!.listener.onDeclined('rate-limited', 200, { ...IDLE, closedForMs: 200 })
  sentCalls[1]!.listener.onDeclined('rate-limited', 100, { ...IDLE, closedForMs: 100 })
  expect([sentCalls.length, result]).toMatchObject([2, { type: 'refused', reason: 'rate-limited' }])
  const { retryAfterMs } = result as { retryAfterMs: number }
  expect(retryAfterMs).toBeGreaterThanOrEqual(100)
  expect(retryAfterMs).toBeLessThan(1000 / 3)
})

const QUARANTINED: QuarantineRefusal = { type: 'refuse', call: 0, reason: 'quarantined', retryAfterMs: 500_000 }

test('a quarantined request is refused at once, without an invitation to come again soon', () => {
  refusal = QUARANTINED
  start(['a', 'b'])
  expect(sentCalls).toHaveLength(0)
  expect(result).toEqual({ type: 'refused', reason: 'quarantined', retryAfterMs: 500_000 })
})

test('a request that is quarantined while it runs is not retried', () => {
  start(['a', 'b'])
  refusal = QUARANTINED
  sentCalls[0]?.listener.onFailed('unknown', 'instance-lost', IDLE)
  expect(sentCalls).toHaveLength(1)
  expect(result).toEqual({ type: 'failed', reason: 'quarantined', timedOut: false })
})

test('the node of an instance that knows of a quarantine ends the request', () => {
  start(['a', 'b'])
  sentCalls[0]?.listener.onDeclined('quarantined', 500_000, IDLE)
  expect(sentCalls).toHaveLength(1)
  expect(result).toEqual({ type: 'refused', reason: 'quarantined', retryAfterMs: 500_000 })
})

// A caller whose upload is proved not to have run may send it again; after 504 it may not.
test('an upload that times out while its body is moved is refused, after that its outcome is unknown', () => {
  start(['a', 'b'], { kind: 'upload' })
  sentCalls[0]!.isUnsent = true
  vi.advanceTimersByTime(1000)
  expect([result, sentCalls[0]?.cancelled]).toMatchObject([{ type: 'refused', reason: 'timeout' }, true])
  const call = start(['a', 'b'], { kind: 'upload' })
  vi.advanceTimersByTime(1000)
  expect([result, call.sends]).toMatchObject([{ type: 'failed', reason: 'timeout' }, 1])
})

test('an upload whose body was not moved completely goes to another instance, and is not retried after that', () => {
  start(['a', 'b', 'c'], { kind: 'upload' })
  sentCalls[0]?.listener.onFailed('unsent', 'link-lost', undefined)
  expect(sentCalls[1]?.node).not.toBe(sentCalls[0]?.node)
  sentCalls[1]?.listener.onFailed('unknown', 'link-lost', undefined)
  expect(sentCalls).toHaveLength(2)
  expect(result).toMatchObject({ type: 'failed', reason: 'link-lost' })
})

test('a request whose instances are all in evacuated zones is refused with the reason', () => {
  exclusion = { closedZones: new Set(['a', 'b']), avoidedZones: new Set() }
  start(['a', 'b'])
  expect(sentCalls).toEqual([])
  expect(result).toMatchObject({ type: 'refused', reason: 'zones-evacuated' })
})

test('a request declined in an evacuated zone goes to another zone', () => {
  start(['a', 'b'])
  const [first] = sentCalls as [SentCall]
  exclusion = { closedZones: new Set([first.node]), avoidedZones: new Set() }
  first.listener.onDeclined('no-slots', 0, { ...IDLE, limit: 0 })
  expect(sentCalls.map(({ node }) => node).sort()).toEqual(['a', 'b'])
})

// The gate of the instance orders workspaces by it.
test('a call tells which share of its quota the workspace has used, where that is known', () => {
  workspace = { name: 'acme', priority: 0 }
  start(['a'])
  workspace = { name: 'other', priority: 0 }
  start(['a'])
  expect(sentCalls.map(({ call }) => call.shareUsed)).toEqual([0.375, undefined])
})
