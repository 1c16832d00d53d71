import fc from 'fast-check'
import { expect, test } from 'vitest'
import { type PermitHooks, DEFAULT_PERMIT_HOOKS, permitProperty } from '../../../bench/fuzz/PermitSimulation.js'
import type { IdempotencyLedger } from './IdempotencyLedger.js'
import type { LedgerSnapshot, PermitAction, PermitEvent, RecordCommand } from './Types.js'

const SEED = 4_010
const SCHEDULES = 3_000

/** Returns the violation that the schedules of the fixed seed find, or `nothing`. */
function findViolation (change: Partial<PermitHooks>): string {
  const property = permitProperty({ ...DEFAULT_PERMIT_HOOKS, ...change })
  const result = fc.check(property, { seed: SEED, numRuns: SCHEDULES, endOnFailure: true })
  return result.failed ? String(result.errorInstance) : 'nothing'
}

/** Returns a factory of ledgers that call `before` ahead of each command and apply the command it returns. */
function createLedgerWith (before: (ledger: IdempotencyLedger, command: RecordCommand, atMs: number) => RecordCommand) {
  return () => {
    const ledger = DEFAULT_PERMIT_HOOKS.ledger()
    const apply = ledger.apply.bind(ledger)
    ledger.apply = (command, atMs) => apply(before(ledger, command, atMs), atMs)
    return ledger
  }
}

function findRecord (ledger: IdempotencyLedger, command: RecordCommand) {
  return ledger.snapshot().records.find((stored) => stored.record.key === command.record.key)
}

/** Returns a factory of permits whose actions are changed. */
function createPermitWith (
  change: (event: PermitEvent, actions: PermitAction[]) => PermitAction[]
): PermitHooks['permit'] {
  return (request) => {
    const permit = DEFAULT_PERMIT_HOOKS.permit(request)
    return { step: (event, nowMs) => change(event, permit.step(event, nowMs)) }
  }
}

// Random schedules of calls, crashes, leader changes and lost, duplicated or reordered messages.
test('no key runs twice, and a call reported as not-run has not run', () => {
  fc.assert(permitProperty(), { seed: SEED, numRuns: 10_000 })
})

// Each test below disables one mechanism, which shows that the schedules would catch its loss.
test('finds a dispatch before the permission', () => {
  const permit = createPermitWith((event, actions) => {
    const rest = actions.filter((action) => action.type !== 'dispatch')
    return event.type === 'start' ? [{ type: 'dispatch' }, ...rest] : rest
  })
  expect(findViolation({ permit })).toContain('ran')
})

test('finds not-run reported after a dispatch', () => {
  const permit = createPermitWith((_event, actions) => actions.map((action) => {
    return action.type === 'refuse' ? { ...action, disposition: 'not-run' } : action
  }))
  expect(findViolation({ permit })).toContain('not-run was reported')
})

test('finds an expired grant that runs again', () => {
  const ledger = createLedgerWith((state, command, atMs) => {
    const stored = findRecord(state, command)
    if (command.type === 'begin' && stored?.state === 'running' && atMs >= stored.runUntilMs) {
      state['_records'].delete(`s\n${command.record.key}`)
    }
    return command
  })
  expect(findViolation({ ledger })).toContain('ran twice')
})

test('finds an abandon that is not fenced by the holder', () => {
  const ledger = createLedgerWith((state, command) => {
    const stored = findRecord(state, command)
    return command.type === 'abandon' && stored !== undefined ? { ...command, holder: stored.holder } : command
  })
  expect(findViolation({ ledger })).toContain('ran twice')
})

test('finds a grant to an abandoned holder through a delayed message', () => {
  const ledger = createLedgerWith((state, command) => {
    state['_tombstones'].clear()
    return command
  })
  expect(findViolation({ ledger })).toContain('free key was refused')
})

test('finds running records missing from a snapshot', () => {
  const snapshot = (whole: LedgerSnapshot) => {
    return { ...whole, records: whole.records.filter((stored) => stored.state !== 'running') }
  }
  expect(findViolation({ snapshot })).toContain('ran twice')
})

test("finds records that expire by a new leader's own clock", () => {
  expect(findViolation({ stamp: (_clock, localMs) => localMs })).toContain('ran twice')
})

test('finds a lost outcome treated as a free key', () => {
  const ledger = createLedgerWith((_state, command) => {
    return command.type === 'lose' ? { ...command, type: 'abandon' } : command
  })
  expect(findViolation({ ledger })).toContain('ran twice')
})
