import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { Part } from '../Types.js'
import { HEARTBEAT_SHARE, MESSAGE_BURST } from './Constants.js'
import { MeasuringBudget } from './MeasuringBudget.js'
import type { BudgetAction, BudgetEvent, MeasuringKind } from './Types.js'

type Budget = Part<BudgetEvent, BudgetAction>

interface Command {
  readonly afterMs: number
  readonly kind: MeasuringKind
  readonly bytes: number
  readonly calls: number
}

interface Spent {
  readonly atMs: number
  readonly bytes: number
}

const BYTES = 12_000
const SHARE = 0.01
const KINDS: readonly MeasuringKind[] = ['probe', 'poll', 'heartbeat', 'report', 'membership']
const COUNTED: readonly MeasuringKind[] = ['probe', 'poll', 'report']

const commands = fc.array(fc.record<Command>({
  afterMs: fc.oneof(
    { weight: 6, arbitrary: fc.constant(0) },
    { weight: 3, arbitrary: fc.double({ min: 0, max: 300, noNaN: true }) },
    { weight: 1, arbitrary: fc.integer({ min: 0, max: 2500 }) }
  ),
  kind: fc.constantFrom(...KINDS, 'membership', 'membership', 'membership'),
  bytes: fc.integer({ min: 0, max: 4000 }),
  calls: fc.oneof(fc.constant(0), fc.nat(400))
}), { minLength: 1, maxLength: 120, size: 'max' })

/** Runs the commands and returns what was granted, checking the allowance of messages on the way. */
function run (budget: Budget, list: readonly Command[]): Spent[] {
  const spent: Spent[] = []
  let nowMs = 0
  let calls = 0
  let messages = 0
  list.forEach((command, id) => {
    nowMs += command.afterMs
    calls += command.calls
    budget.step({ type: 'served', calls: command.calls }, nowMs)
    const actions = budget.step({ type: 'request', id, kind: command.kind, bytes: command.bytes }, nowMs)
    expect(actions).toHaveLength(1)
    expect(actions[0]?.id).toBe(id)
    if (actions[0]?.type === 'granted') {
      spent.push({ atMs: nowMs, bytes: command.bytes })
      messages += COUNTED.includes(command.kind) ? 1 : 0
    } else {
      expect(actions[0]?.retryAtMs).toBeGreaterThan(nowMs)
    }
    expect(messages).toBeLessThanOrEqual(SHARE * calls + 1e-9)
  })
  return spent
}

/** The most bytes in any span of one second; such a span may start at a grant. */
function mostInASecond (spent: readonly Spent[]): number {
  return Math.max(0, ...spent.map(first => spent
    .filter(each => each.atMs >= first.atMs && each.atMs < first.atMs + 1000)
    .reduce((sum, each) => sum + each.bytes, 0)))
}

function neverPasses (make: () => Budget): fc.RunDetails<[Command[]]> {
  return fc.check(fc.property(commands, list => {
    expect(mostInASecond(run(make(), list))).toBeLessThanOrEqual(BYTES)
  }), { seed: 20_261, numRuns: 300 })
}

test('spending passes the budget in no span of a second', () => {
  const result = neverPasses(() => new MeasuringBudget({ bytesPerSecond: BYTES, messagesPerCall: SHARE }))
  expect(result.counterexample).toBeNull()
})

/** A token bucket that holds one second's worth: in some second it grants nearly twice that. */
class FullBucket implements Budget {
  private _tokens = BYTES
  private _lastMs = 0

  public step (event: BudgetEvent, nowMs: number): BudgetAction[] {
    if (event.type !== 'request') {
      return []
    }
    this._tokens = Math.min(BYTES, this._tokens + (nowMs - this._lastMs) * BYTES / 1000)
    this._lastMs = nowMs
    if (event.kind !== 'membership' || this._tokens < event.bytes) {
      return [{ type: 'denied', id: event.id, retryAtMs: nowMs + 1 }]
    }
    this._tokens -= event.bytes
    return [{ type: 'granted', id: event.id }]
  }
}

test('the property finds a bucket that holds too much', () => {
  expect(neverPasses(() => new FullBucket()).failed).toBe(true)
})

test('a storm leaves heartbeats their share in every second', () => {
  const budget = new MeasuringBudget({ bytesPerSecond: BYTES, messagesPerCall: 1 })
  const heartbeat = BYTES * HEARTBEAT_SHARE / 10
  for (let id = 0; id < 3000; id++) {
    const nowMs = id * 1.0
    budget.step({ type: 'served', calls: 10 }, nowMs)
    budget.step({ type: 'request', id, kind: 'membership', bytes: 400 }, nowMs)
    if (id % 125 === 0) {
      const actions = budget.step({ type: 'request', id, kind: 'heartbeat', bytes: heartbeat }, nowMs)
      expect(actions).toEqual([{ type: 'granted', id }])
    }
  }
})

test('saved messages and bytes stay bounded, and a lower budget counts at once', () => {
  const budget = new MeasuringBudget({ bytesPerSecond: BYTES, messagesPerCall: SHARE })
  budget.step({ type: 'served', calls: 1e9 }, 0)
  expect(budget.messagesLeft()).toBe(MESSAGE_BURST)
  budget.step({ type: 'request', id: 1, kind: 'membership', bytes: 5000 }, 0)
  budget.step({ type: 'configure', bytesPerSecond: 6000, messagesPerCall: SHARE }, 1)
  const actions = budget.step({ type: 'request', id: 2, kind: 'membership', bytes: 2000 }, 2)
  expect(actions[0]?.type).toBe('denied')
})
