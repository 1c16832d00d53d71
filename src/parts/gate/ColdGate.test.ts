import { expect, test } from 'vitest'
import { actionTypes, makeCall, makeGate, startedIds } from '../../../test/support/GateCalls.js'
import type { InstanceGate } from './InstanceGate.js'
import type { GateAction } from './Types.js'

/** Makes a gate whose service has a limit for cold instances, and whose instance is taken as cold until a time. */
function makeColdGate (coldUntilMs: number, slots = 20): InstanceGate {
  const gate = makeGate(slots)
  gate.step({ type: 'coldLimit', perS: 5, coldUntilMs }, 0)
  return gate
}

test('a call beyond the limit of a cold instance is declined at once with the time until it would be allowed', () => {
  const gate = makeColdGate(10_000)
  expect(gate.step({ type: 'offer', call: makeCall() }, 0)).toMatchObject([
    { type: 'decline', reason: 'rate-limited', retryAfterMs: 201 }
  ])
  expect(gate.load(0).closedForMs).toBe(201)
  expect(actionTypes(gate.step({ type: 'offer', call: makeCall() }, 201))).toEqual(['start'])
  expect(gate.load(1000).closedForMs).toBe(undefined)
})

test('a hedge does not take a request that a cold instance tolerates', () => {
  const gate = makeColdGate(10_000)
  expect(gate.step({ type: 'offer', call: makeCall({ isHedge: true }) }, 500)).toMatchObject([
    { type: 'decline', reason: 'busy' }
  ])
})

test('calls are held while it is asked whether the instance is warm, and start when it is', () => {
  const gate = makeGate(20)
  const [check] = gate.step({ type: 'coldLimit', perS: 5, coldUntilMs: -Infinity }, 0)
  const calls = [makeCall(), makeCall()]
  for (const call of calls) expect(actionTypes(gate.step({ type: 'offer', call }, 1))).not.toContain('start')
  expect(check).toMatchObject({ type: 'checkCold' })
  const { ticket } = check as Extract<GateAction, { type: 'checkCold' }>
  const warm = gate.step({ type: 'probed', ticket, isWarm: true }, 2)
  expect(startedIds(warm)).toEqual(calls.map(({ id }) => id))
})

// A host that can't measure at once answers at once, and each further request would end in another such answer.
test('a call that is held for the check of a cold instance does not request a measurement', () => {
  const gate = makeGate(20)
  gate.step({ type: 'coldLimit', perS: 5, coldUntilMs: -Infinity }, 0)
  expect(actionTypes(gate.step({ type: 'offer', call: makeCall() }, 1))).not.toContain('measure')
  expect(actionTypes(gate.step({ type: 'measured', slowness: undefined }, 1))).not.toContain('measure')
})

test('calls that are held are declined when the instance turns out to be cold or gives no answer', () => {
  for (const coldUntilMs of [5000, -Infinity]) {
    const gate = makeGate(20)
    const [check] = gate.step({ type: 'coldLimit', perS: 5, coldUntilMs: -Infinity }, 0)
    const { ticket } = check as Extract<GateAction, { type: 'checkCold' }>
    for (const call of [makeCall(), makeCall()]) gate.step({ type: 'offer', call }, 1)
    const cold = gate.step({ type: 'coldLimit', perS: 5, coldUntilMs }, 2)
    const ended = [...cold, ...gate.step({ type: 'probed', ticket, isWarm: false }, 2)]
    const reasons = ended.flatMap(action => action.type === 'decline' ? [action.reason] : [])
    expect(reasons).toEqual(['rate-limited', 'rate-limited'])
  }
})

test('a held call starts at the rate of a cold instance also when nothing else happens', () => {
  const gate = makeColdGate(-Infinity)
  const call = makeCall()
  const wakes = gate.step({ type: 'offer', call }, 0).flatMap(action => action.type === 'wake' ? [action.atMs] : [])
  const wakeAtMs = Math.min(...wakes)
  expect(wakeAtMs).toBeLessThanOrEqual(201)
  expect(startedIds(gate.step({ type: 'tick' }, wakeAtMs))).toEqual([call.id])
})

test('a call that another instance rejected with status 421 does not count for the limit of a cold one, a resend does', () => {
  const gate = makeColdGate(10_000)
  const misdirected = makeCall()
  gate.step({ type: 'offer', call: misdirected }, 201)
  expect(gate.mayResend(201)).toBe(false)
  gate.step({ type: 'misdirected', id: misdirected.id }, 201)
  expect(gate.mayResend(201)).toBe(true)
  gate.step({ type: 'resent' }, 201)
  expect(gate.mayResend(201)).toBe(false)
})

test('a service without a limit for cold instances is not checked', () => {
  const gate = makeGate(200)
  for (let i = 0; i < 100; i++) {
    expect(actionTypes(gate.step({ type: 'offer', call: makeCall() }, 0))).toEqual(['start'])
  }
})
