import fc from 'fast-check'
import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import type { CallId, Disposition, Part, Reason } from '../Types.js'
import { MIN_BURST, RETRY_DEFAULTS } from './Constants.js'
import { Deadline } from './Deadline.js'
import { RetryPolicy } from './RetryPolicy.js'
import type { RetryAction, RetryEvent, RetryOptions } from './Types.js'

type Policy = Part<RetryEvent, RetryAction>

type Command =
  | { readonly do: 'begin', readonly idempotent: boolean, readonly retriesAbove: boolean, readonly deadlineMs: number }
  | {
    readonly do: 'fail',
    readonly pick: number,
    readonly disposition: Disposition,
    readonly reason: Reason,
    readonly responseStarted: boolean
  }
  | { readonly do: 'succeed', readonly pick: number }
  | { readonly do: 'advance', readonly byMs: number }

interface HostCall {
  readonly begin: Extract<RetryEvent, { type: 'begin' }>
  readonly startedAtMs: number
  inFlight: number
  attempts: number
  hasEnded: boolean
}

const MAX_CALLS = 12

/** High enough that short runs retry often. */
const RETRY_SHARE = 0.3

const FAILURES: ReadonlyArray<readonly [Disposition, Reason]> = [
  ['not-run', 'draining'], ['not-run', 'overloaded'], ['not-run', 'peer-lost'], ['unknown', 'peer-lost'],
  ['unknown', 'upstream-failed'], ['quarantined', 'quarantined'], ['not-run', 'bad-request']
]

const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      do: fc.constant('begin' as const),
      idempotent: fc.boolean(),
      retriesAbove: fc.boolean(),
      deadlineMs: fc.integer({ min: 0, max: 400 })
    })
  },
  {
    weight: 6,
    arbitrary: fc.record({
      pick: fc.nat(99),
      failure: fc.constantFrom(...FAILURES),
      responseStarted: fc.oneof({ weight: 5, arbitrary: fc.constant(false) }, fc.constant(true))
    }).map(({ pick, failure: [disposition, reason], responseStarted }) =>
      ({ do: 'fail' as const, pick, disposition, reason, responseStarted }))
  },
  { weight: 3, arbitrary: fc.record({ do: fc.constant('succeed' as const), pick: fc.nat(99) }) },
  { weight: 5, arbitrary: fc.record({ do: fc.constant('advance' as const), byMs: fc.integer({ min: 0, max: 60 }) }) }
)

/** Hosts a policy as an ingress node does, and checks the rules for retries after each step. */
class Host {
  private readonly _part: Policy
  private readonly _calls = new Map<CallId, HostCall>()
  private readonly _beginsAtMs: number[] = []
  private readonly _extraAttemptsAtMs: number[] = []
  private readonly _wakesAtMs: number[] = []
  private _nowMs = 0

  public constructor (part: Policy) {
    this._part = part
  }

  public run (commands: readonly Command[]): void {
    for (const next of commands) {
      this._run(next)
    }
    this._checkBudget()
  }

  private _run (next: Command): void {
    if (next.do === 'begin') {
      this._begin(next.idempotent, next.retriesAbove, next.deadlineMs)
    } else if (next.do === 'advance') {
      this._advance(next.byMs)
    } else {
      this._answer(next)
    }
  }

  private _begin (idempotent: boolean, retriesAbove: boolean, deadlineMs: number): void {
    const open = [...this._calls.values()].filter(call => !call.hasEnded).length
    if (open >= MAX_CALLS) {
      return
    }
    const call = this._calls.size
    const begin = { type: 'begin' as const, call, idempotent, deadlineAtMs: this._nowMs + deadlineMs, retriesAbove }
    this._calls.set(call, { begin, startedAtMs: this._nowMs, inFlight: 1, attempts: 1, hasEnded: false })
    this._beginsAtMs.push(this._nowMs)
    this._send(begin)
  }

  private _answer (next: Extract<Command, { pick: number }>): void {
    const open = [...this._calls].filter(([, call]) => !call.hasEnded)
    const [id, call] = open[next.pick % open.length] ?? []
    if (id === undefined || call === undefined) {
      return
    }
    if (next.do === 'succeed') {
      call.hasEnded = true
      this._send({ type: 'succeeded', call: id, latencyMs: this._nowMs - call.startedAtMs })
      return
    }
    call.inFlight--
    const { disposition, reason, responseStarted } = next
    const actions = this._send({ type: 'failed', call: id, disposition, reason, retryAfterMs: 7, responseStarted })
    this._checkFailure(id, call, next, actions)
  }

  private _checkFailure (
    id: CallId, call: HostCall, failure: Extract<Command, { do: 'fail' }>, actions: readonly RetryAction[]
  ): void {
    const retried = actions.some(action => action.type === 'retry' && action.call === id)
    const mayHaveRun = failure.disposition !== 'not-run'
    expect(retried && mayHaveRun && !call.begin.idempotent, 'non-idempotent only if not run').toBe(false)
    expect(retried && mayHaveRun && call.begin.retriesAbove, 'one layer retries').toBe(false)
    expect(retried && failure.responseStarted, 'no retry after a started answer').toBe(false)
    expect(retried && failure.disposition === 'quarantined', 'quarantined is final').toBe(false)
    expect(retried && call.begin.deadlineAtMs <= this._nowMs, 'no retry past the deadline').toBe(false)
    expect(call.hasEnded || call.inFlight > 0, 'given up once no attempt is in flight').toBe(true)
  }

  private _advance (byMs: number): void {
    const untilMs = this._nowMs + byMs
    for (let wakeAtMs = this._nextWakeMs(); wakeAtMs <= untilMs; wakeAtMs = this._nextWakeMs()) {
      this._wakesAtMs.splice(this._wakesAtMs.indexOf(wakeAtMs), 1)
      this._nowMs = Math.max(this._nowMs, wakeAtMs)
      this._send({ type: 'tick' })
    }
    this._nowMs = untilMs
  }

  private _nextWakeMs (): number {
    return Math.min(Infinity, ...this._wakesAtMs)
  }

  private _send (event: RetryEvent): RetryAction[] {
    const actions = this._part.step(event, this._nowMs)
    actions.forEach(action => this._apply(action))
    return actions
  }

  private _apply (action: RetryAction): void {
    if (action.type === 'wake') {
      this._wakesAtMs.push(action.atMs)
      return
    }
    const call = this._calls.get(action.call) as HostCall
    if (action.type === 'cancelAttempts') {
      expect(call.hasEnded && call.inFlight > 1, 'cancels only other attempts in flight').toBe(true)
      return
    }
    expect(call.hasEnded, 'no action after the answer').toBe(false)
    if (action.type === 'giveUp') {
      call.hasEnded = true
      return
    }
    call.inFlight++
    call.attempts++
    this._extraAttemptsAtMs.push(this._nowMs)
    expect(action.attempt).toBe(call.attempts)
    expect(call.attempts, 'attempts bounded').toBeLessThanOrEqual(RETRY_DEFAULTS.maxAttempts)
    const hedged = action.type === 'hedge'
    expect(hedged && !call.begin.idempotent, 'hedges only idempotent').toBe(false)
    expect(hedged && call.begin.retriesAbove, 'hedges at one layer').toBe(false)
  }

  /** Checks the budget over every window that starts and ends with a retry or hedge. */
  private _checkBudget (): void {
    const { floorPerSecond } = RETRY_DEFAULTS
    const burst = Math.max(MIN_BURST, RETRY_SHARE * this._beginsAtMs.length)
    this._extraAttemptsAtMs.forEach((fromMs, first) => {
      this._extraAttemptsAtMs.slice(first).forEach((toMs, index) => {
        const begins = this._beginsAtMs.filter(atMs => atMs >= fromMs && atMs <= toMs).length
        const allowed = burst + RETRY_SHARE * begins + floorPerSecond * (toMs - fromMs) / 1000
        expect(index + 1, 'budget').toBeLessThanOrEqual(allowed + 1e-6)
      })
    })
  }
}

/** Wraps a policy in a fault that the property must detect. */
type Fault = (inner: Policy) => Policy

function withAlteredEvents (change: (event: RetryEvent) => RetryEvent): Fault {
  return inner => ({ step: (event, nowMs) => inner.step(change(event), nowMs) })
}

function assertRules (fault: Fault, options: Partial<RetryOptions> = {}): void {
  fc.assert(fc.property(fc.array(command, { minLength: 40, maxLength: 160 }), commands => {
    new Host(fault(new RetryPolicy({ retryShare: RETRY_SHARE, ...options }))).run(commands)
  }), { seed: 5012, numRuns: 150, endOnFailure: true })
}

/** Returns the cause of the failed check, or `held`. */
function failureMessage (check: () => void): string {
  try {
    check()
    return 'held'
  } catch (error) {
    return String((error as Error).cause)
  }
}

interface FaultCase {
  readonly fault: Fault
  readonly options?: Partial<RetryOptions>
  /** Part of the message with which the property must fail. */
  readonly expectedMessage: string
}

const noFault: Fault = inner => inner

const FAULTS: Readonly<Record<string, FaultCase>> = {
  'no budget': { fault: noFault, options: { burst: 1000, retryShare: 1 }, expectedMessage: 'budget' },
  'every attempt adds to the budget': {
    fault: inner => ({
      step: (event, nowMs) => {
        if (event.type === 'failed') {
          inner.step({ type: 'begin', call: -1, idempotent: false, deadlineAtMs: 0, retriesAbove: true }, nowMs)
          inner.step({ type: 'begin', call: -1, idempotent: false, deadlineAtMs: 0, retriesAbove: true }, nowMs)
        }
        return inner.step(event, nowMs)
      }
    }),
    expectedMessage: 'budget'
  },
  'all calls treated as idempotent': {
    fault: withAlteredEvents(event => event.type === 'begin' ? { ...event, idempotent: true } : event),
    expectedMessage: 'idempotent'
  },
  'all failures treated as not run': {
    fault: withAlteredEvents(event => event.type === 'failed' ? { ...event, disposition: 'not-run' } : event),
    expectedMessage: 'if not run'
  },
  'every layer retries': {
    fault: withAlteredEvents(event => event.type === 'begin' ? { ...event, retriesAbove: false } : event),
    expectedMessage: 'one layer'
  },
  'retries after a started answer': {
    fault: withAlteredEvents(event => event.type === 'failed' ? { ...event, responseStarted: false } : event),
    expectedMessage: 'started answer'
  },
  'no deadline': {
    fault: withAlteredEvents(event => event.type === 'begin' ? { ...event, deadlineAtMs: Infinity } : event),
    expectedMessage: 'past the deadline'
  },
  'unlimited attempts': { fault: noFault, options: { maxAttempts: 9, retryShare: 1 }, expectedMessage: 'attempts bounded' }
}

test('retries and hedges follow the rules and stay within the budget', () => {
  assertRules(noFault)
})

test.each(Object.entries(FAULTS))('the property detects the fault: %s', (_name, { fault, options, expectedMessage }) => {
  expect(failureMessage(() => assertRules(fault, options))).toContain(expectedMessage)
})

const BEGIN = { type: 'begin', idempotent: true, deadlineAtMs: 10_000, retriesAbove: false } as const

const OVERLOADED = {
  type: 'failed', disposition: 'not-run', reason: 'overloaded', retryAfterMs: 40, responseStarted: false
} as const

const UPSTREAM_FAILED = {
  type: 'failed', disposition: 'unknown', reason: 'upstream-failed', retryAfterMs: 0, responseStarted: false
} as const

// Each call is refused for overload, and each retry too: unlimited retries would multiply the overload.
test('retries after overload stay within the budget', () => {
  const policy = new RetryPolicy({ floorPerSecond: 0 })
  let retries = 0
  for (let call = 0; call < 10_000; call++) {
    policy.step({ ...BEGIN, call }, call)
    let actions = policy.step({ ...OVERLOADED, call }, call)
    while (actions.some(action => action.type === 'retry')) {
      retries++
      actions = policy.step({ ...OVERLOADED, call }, call)
    }
    expect(actions).toEqual([{ type: 'giveUp', call, reason: 'overloaded', retryAfterMs: 40 }])
  }
  expect(retries).toBeLessThanOrEqual(RETRY_DEFAULTS.burst + RETRY_DEFAULTS.retryShare * 10_000)
})

test('a hedge is sent after the latency quantile, and the slower attempt is cancelled', () => {
  const policy = new RetryPolicy({ hedgeQuantile: 0.9 })
  for (let call = 0; call < 500; call++) {
    policy.step({ ...BEGIN, call }, call)
    policy.step({ type: 'succeeded', call, latencyMs: 5 }, call)
  }
  policy.step({ type: 'tick' }, 1000)
  const wake = policy.step({ ...BEGIN, call: 900 }, 1000).find(action => action.type === 'wake')
  expect(wake?.atMs).toBeGreaterThan(1004)
  expect(wake?.atMs).toBeLessThan(1007)
  expect(policy.step({ type: 'tick' }, wake?.atMs ?? 0)).toContainEqual({ type: 'hedge', call: 900, attempt: 2 })
  const actions = policy.step({ type: 'succeeded', call: 900, latencyMs: 7, attempt: 2 }, 1008)
  expect(actions).toEqual([{ type: 'cancelAttempts', call: 900, except: 2 }])
})

test('memory is bounded when calls never end', () => {
  const policy = new RetryPolicy({ maxCalls: 100 })
  for (let call = 0; call < 1000; call++) {
    policy.step({ ...BEGIN, call }, call)
  }
  expect(policy.size).toBe(100)
  expect(policy.step({ ...OVERLOADED, call: 999 }, 1000)).toMatchObject([{ type: 'giveUp', call: 999 }])
})

test('a deadline shrinks at each hop and never grows', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 60_000 }), fc.array(fc.nat(50), { maxLength: 7 }), (leftMs, hops) => {
    let passed = leftMs
    for (const spentMs of hops) {
      const forwarded = Deadline.fromHeader(String(passed), 60_000, 0).forwardedMs(spentMs)
      expect(forwarded).toBeLessThanOrEqual(Math.max(0, passed - spentMs))
      passed = forwarded
    }
  }), { seed: 5013 })
  expect(Deadline.fromHeader('-5', 300, 10).atMs).toBe(310)
  expect(Deadline.fromHeader('900000', 300, 10).atMs).toBe(310)
})

test('hedges that do not answer first are suppressed until they do', () => {
  const policy = new RetryPolicy({ retryShare: 1 })
  let call = 0
  const countHedges = (calls: number, winner: number): number => {
    let hedges = 0
    for (const end = call + calls; call < end; call++) {
      const atMs = call * 100
      policy.step({ ...BEGIN, call, deadlineAtMs: atMs + 1000 }, atMs)
      hedges += policy.step({ type: 'tick' }, atMs + 50).filter(action => action.type === 'hedge').length
      policy.step({ type: 'succeeded', call, latencyMs: 1, attempt: winner }, atMs + 60)
    }
    return hedges
  }
  countHedges(100, 1)
  expect(countHedges(80, 1)).toBe(10)
  countHedges(200, 2)
  expect(countHedges(80, 2)).toBe(80)
})

test('no hedges are sent while too many attempts are refused for overload', () => {
  const policy = new RetryPolicy({ retryShare: 2 })
  let call = 0
  const countHedges = (calls: number, refusedOneIn: number): number => {
    let hedges = 0
    for (const end = call + calls; call < end; call++) {
      const atMs = call * 100
      policy.step({ ...BEGIN, call, deadlineAtMs: atMs + 1000 }, atMs)
      if (call % refusedOneIn === 0) {
        policy.step({ ...OVERLOADED, call }, atMs)
      }
      hedges += policy.step({ type: 'tick' }, atMs + 50).filter(action => action.type === 'hedge').length
      policy.step({ type: 'succeeded', call, latencyMs: 1, attempt: 2 }, atMs + 60)
    }
    return hedges
  }
  countHedges(100, 100)
  expect(countHedges(200, 100)).toBe(200)
  countHedges(200, 5)
  expect(countHedges(200, 5)).toBe(0)
  countHedges(400, 100)
  expect(countHedges(200, 100)).toBe(200)
})

/** Returns the attempts per call of 100 nodes that each call a failing service every 714 ms on average for a minute. */
function lowTrafficAmplification (options: Partial<RetryOptions>): number {
  const random = new SeededRandom(5015)
  let calls = 0
  let retries = 0
  for (let node = 0; node < 100; node++) {
    const policy = new RetryPolicy(options)
    for (let atMs = 0; atMs < 60_000; atMs -= 714 * Math.log(1 - random.next())) {
      const call = calls++
      policy.step({ ...BEGIN, call, deadlineAtMs: atMs + 1000 }, atMs)
      while (policy.step({ ...UPSTREAM_FAILED, call }, atMs).some(action => action.type === 'retry')) {
        retries++
      }
    }
  }
  return 1 + retries / calls
}

// The floor applies to each node: at 0.2 retries per second it lets nodes with little traffic amplify failures to more
// than 1.2 attempts per call.
test('many nodes with little traffic cause no retry storm together', () => {
  expect(lowTrafficAmplification({})).toBeLessThanOrEqual(1.2)
  expect(lowTrafficAmplification({ floorPerSecond: 0.2 })).toBeGreaterThan(1.2)
})
