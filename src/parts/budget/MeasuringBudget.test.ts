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

interface Grant {
  readonly atMs: number
  readonly bytes: number
}

const BYTES_PER_SECOND = 12_000
const MESSAGES_PER_CALL = 0.01
const KINDS: readonly MeasuringKind[] = ['probe', 'poll', 'heartbeat', 'report', 'membership']
const LIMITED_KINDS: readonly MeasuringKind[] = ['probe', 'poll', 'report']

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

/** Runs the commands and returns the grants; checks the limit on messages after each command. */
function runCommands (budget: Budget, list: readonly Command[]): Grant[] {
  const grants: Grant[] = []
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
      grants.push({ atMs: nowMs, bytes: command.bytes })
      messages += LIMITED_KINDS.includes(command.kind) ? 1 : 0
    } else {
      expect(actions[0]?.retryAtMs).toBeGreaterThan(nowMs)
    }
    expect(messages).toBeLessThanOrEqual(MESSAGES_PER_CALL * calls + 1e-9)
  })
  return grants
}

/** Returns the most bytes granted in any span of one second; it is enough to try spans that start at a grant. */
function maxBytesInOneSecond (grants: readonly Grant[]): number {
  return Math.max(0, ...grants.map(first => grants
    .filter(each => each.atMs >= first.atMs && each.atMs < first.atMs + 1000)
    .reduce((sum, each) => sum + each.bytes, 0)))
}

function checkByteLimit (make: () => Budget): fc.RunDetails<[Command[]]> {
  return fc.check(fc.property(commands, list => {
    expect(maxBytesInOneSecond(runCommands(make(), list))).toBeLessThanOrEqual(BYTES_PER_SECOND)
  }), { seed: 20_261, numRuns: 300 })
}

test('granted bytes stay within the budget in every span of one second', () => {
  const result = checkByteLimit(() =>
    new MeasuringBudget({ bytesPerSecond: BYTES_PER_SECOND, messagesPerCall: MESSAGES_PER_CALL }))
  expect(result.counterexample).toBeNull()
})

/** A token bucket with a capacity of one second's bytes: it grants nearly twice as many in some second. */
class FullTokenBucket implements Budget {
  private _tokens = BYTES_PER_SECOND
  private _lastMs = 0

  public step (event: BudgetEvent, nowMs: number): BudgetAction[] {
    if (event.type !== 'request') {
      return []
    }
    this._tokens = Math.min(BYTES_PER_SECOND, this._tokens + (nowMs - this._lastMs) * BYTES_PER_SECOND / 1000)
    this._lastMs = nowMs
    if (event.kind !== 'membership' || this._tokens < event.bytes) {
      return [{ type: 'denied', id: event.id, retryAtMs: nowMs + 1 }]
    }
    this._tokens -= event.bytes
    return [{ type: 'granted', id: event.id }]
  }
}

test('the property detects a token bucket with too large a capacity', () => {
  expect(checkByteLimit(() => new FullTokenBucket()).failed).toBe(true)
})

test('a flood of membership messages leaves heartbeats their share in every second', () => {
  const budget = new MeasuringBudget({ bytesPerSecond: BYTES_PER_SECOND, messagesPerCall: 1 })
  const heartbeat = BYTES_PER_SECOND * HEARTBEAT_SHARE / 10
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

test('message credit is bounded, and a lower byte budget applies at once', () => {
  const budget = new MeasuringBudget({ bytesPerSecond: BYTES_PER_SECOND, messagesPerCall: MESSAGES_PER_CALL })
  budget.step({ type: 'served', calls: 1e9 }, 0)
  expect(budget.messagesLeft()).toBe(MESSAGE_BURST)
  budget.step({ type: 'request', id: 1, kind: 'membership', bytes: 5000 }, 0)
  budget.step({ type: 'configure', bytesPerSecond: 6000, messagesPerCall: MESSAGES_PER_CALL }, 1)
  const actions = budget.step({ type: 'request', id: 2, kind: 'membership', bytes: 2000 }, 2)
  expect(actions[0]?.type).toBe('denied')
})
