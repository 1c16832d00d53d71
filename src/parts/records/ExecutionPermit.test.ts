import fc from 'fast-check'
import { expect, test } from 'vitest'
import { type PermitMechanisms, SOUND_PERMITS, permitsHold } from '../../../bench/fuzz/PermitWorld.js'
import type { IdempotencyLedger } from './IdempotencyLedger.js'
import type { LedgerSnapshot, PermitAction, PermitEvent, RecordCommand } from './Types.js'

const SEED = 4_010
const SCHEDULES = 3_000

/** Returns what the schedules of the fixed seed find. */
function findViolation (change: Partial<PermitMechanisms>): string {
  const property = permitsHold({ ...SOUND_PERMITS, ...change })
  const result = fc.check(property, { seed: SEED, numRuns: SCHEDULES, endOnFailure: true })
  return result.failed ? String(result.errorInstance) : 'nothing'
}

/** A ledger in which something happens before each command. */
function createLedgerWith (before: (ledger: IdempotencyLedger, command: RecordCommand, atMs: number) => RecordCommand) {
  return () => {
    const ledger = SOUND_PERMITS.ledger()
    const apply = ledger.apply.bind(ledger)
    ledger.apply = (command, atMs) => apply(before(ledger, command, atMs), atMs)
    return ledger
  }
}

function findRecord (ledger: IdempotencyLedger, command: RecordCommand) {
  return ledger.snapshot().records.find((stored) => stored.record.key === command.record.key)
}

/** A permit whose actions are changed. */
function createPermitWith (
  change: (event: PermitEvent, actions: PermitAction[]) => PermitAction[]
): PermitMechanisms['permit'] {
  return (request) => {
    const permit = SOUND_PERMITS.permit(request)
    return { step: (event, nowMs) => change(event, permit.step(event, nowMs)) }
  }
}

test('no key runs twice and not-run is true', () => {
  fc.assert(permitsHold(), { seed: SEED, numRuns: 10_000 })
})

test('finds permission asked after dispatch', () => {
  const permit = createPermitWith((event, actions) => {
    const rest = actions.filter((action) => action.type !== 'dispatch')
    return event.type === 'start' ? [{ type: 'dispatch' }, ...rest] : rest
  })
  expect(findViolation({ permit })).toContain('ran')
})

test('finds not-run said after dispatch', () => {
  const permit = createPermitWith((_event, actions) => actions.map((action) => {
    return action.type === 'refuse' ? { ...action, disposition: 'not-run' } : action
  }))
  expect(findViolation({ permit })).toContain('not-run was said')
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

test('finds an abandon that is not fenced by its holder', () => {
  const ledger = createLedgerWith((state, command) => {
    const stored = findRecord(state, command)
    return command.type === 'abandon' && stored !== undefined ? { ...command, holder: stored.holder } : command
  })
  expect(findViolation({ ledger })).toContain('ran twice')
})

test('finds an abandoned holder that is granted by a late message', () => {
  const ledger = createLedgerWith((state, command) => {
    state['_tombstones'].clear()
    return command
  })
  expect(findViolation({ ledger })).toContain('free key was refused')
})

test('finds running records left out of the snapshot', () => {
  const snapshot = (whole: LedgerSnapshot) => {
    return { ...whole, records: whole.records.filter((stored) => stored.state !== 'running') }
  }
  expect(findViolation({ snapshot })).toContain('ran twice')
})

test("finds records expired by a new leader's own clock", () => {
  expect(findViolation({ stamp: (_clock, localMs) => localMs })).toContain('ran twice')
})

test('finds a lost outcome taken for a free key', () => {
  const ledger = createLedgerWith((_state, command) => {
    return command.type === 'lose' ? { ...command, type: 'abandon' } : command
  })
  expect(findViolation({ ledger })).toContain('ran twice')
})
