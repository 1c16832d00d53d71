import fc from 'fast-check'
import { expect, test } from 'vitest'
import { ColdLimit } from './ColdLimit.js'
import { COLD_BOUND, COLD_WINDOW_MS, MAX_COLD_CLOSED_MS, WARM_RETURN_MS } from './Constants.js'

const PER_S = 5

/** Sets a limit and proves the instance warm at that time. */
function makeProvenWarm (nowMs = 0): ColdLimit {
  const limit = new ColdLimit()
  limit.set(PER_S, -Infinity, nowMs)
  limit.endProbe(limit.takeProbe(nowMs)!, true, nowMs)
  return limit
}

/** Sends calls until none may be sent any more, and returns how many those were. */
function sendAll (limit: ColdLimit, nowMs: number): number {
  let count = 0
  for (; limit.canSend(nowMs); count++) limit.take(nowMs)
  return count
}

test('without a limit everything may be sent and nothing is checked', () => {
  const limit = new ColdLimit()
  for (let i = 0; i < 1000; i++) limit.take(0)
  expect([limit.canSend(0), limit.accepts(1000, 0), limit.closedForMs(1000, 0)]).toEqual([true, true, 0])
  expect(limit.startCheck(0)).toBe(undefined)
})

test('a proof that the instance is warm renews the allowance for what was sent before the check', () => {
  const limit = makeProvenWarm()
  const allowed = sendAll(limit, 0)
  const ticket = limit.takeProbe(1)!
  limit.endProbe(ticket, true, 2)
  expect(sendAll(limit, 2)).toBe(allowed)
  const early = limit.takeProbe(2)!
  limit.endProbe(early, true, 3)
  const late = limit.takeProbe(3)!
  expect(sendAll(limit, 3)).toBe(allowed - 1)
  limit.endProbe(late, false, 4)
  limit.endProbe(early, true, 5)
  expect(limit.canSend(5)).toBe(false)
})

test('a check that was sent before the limit was set proves nothing', () => {
  const limit = new ColdLimit()
  const ticket = limit.takeProbe(0)!
  limit.set(PER_S, -Infinity, 1)
  limit.endProbe(ticket, true, 2)
  expect(limit.canSend(2)).toBe(false)
})

test('the check for a proof is due before the allowance is used up, once, and is not sent too often', () => {
  const limit = makeProvenWarm()
  const tickets: number[] = []
  for (let ms = 0; ms < 5000; ms++) {
    if (limit.canSend(ms)) limit.take(ms)
    const ticket = limit.startCheck(ms)
    if (ticket === undefined) continue
    expect(limit.startCheck(ms)).toBe(undefined)
    tickets.push(ticket)
    limit.endProbe(ticket, true, ms)
  }
  expect(tickets.length).toBeGreaterThan(50)
  expect(tickets.length / 5).toBeLessThanOrEqual(60)
})

/** Counts the requests in the worst window. */
function worstWindow (sentMs: readonly number[]): number {
  return Math.max(0, ...sentMs.map(fromMs => sentMs.filter(ms => ms >= fromMs && ms < fromMs + COLD_WINDOW_MS).length))
}

// The worst case: the instance becomes cold just after a proof that it is warm, and no check is answered any more.
test('a node that sends all it may, at any time and over a restart, stays within the bound', () => {
  const rate = fc.double({ min: 0.1, max: 60, noNaN: true })
  const idle = fc.array(fc.tuple(fc.nat(2500), fc.nat(1500)), { minLength: 1, maxLength: 5 })
  fc.assert(fc.property(rate, idle, fc.nat(1500), fc.boolean(), (perS, pauses, restartAtMs, isKnown) => {
    const sentMs: number[] = []
    let nowMs = 0
    let limit = new ColdLimit()
    limit.set(perS, -Infinity, 0)
    limit.endProbe(limit.takeProbe(0)!, true, 0)
    const play = (forMs: number): void => {
      for (const endMs = nowMs + forMs; nowMs < endMs; nowMs++) {
        const count = sendAll(limit, nowMs) + Number(limit.takeProbe(nowMs) !== undefined)
        for (let i = 0; i < count; i++) sentMs.push(nowMs)
      }
    }
    for (const [idleMs, busyMs] of pauses) {
      nowMs += idleMs
      play(busyMs)
    }
    nowMs += 2000
    play(restartAtMs)
    limit = new ColdLimit()
    limit.set(perS, isKnown ? Infinity : -Infinity, nowMs)
    play(3000)
    expect(worstWindow(sentMs)).toBeLessThanOrEqual(COLD_BOUND.ratio * perS + COLD_BOUND.slack)
  }), { seed: 1, numRuns: 200, endOnFailure: true })
})

test('a call that got status 421 does not count', () => {
  const limit = new ColdLimit()
  limit.set(PER_S, Infinity, 0)
  expect(limit.canSend(250)).toBe(true)
  limit.refund(limit.take(250), 250)
  expect(limit.canSend(250)).toBe(true)
  const warm = makeProvenWarm()
  const allowed = sendAll(warm, 0)
  const ticket = warm.takeProbe(0)!
  expect(warm.canSend(0)).toBe(false)
  warm.endProbe(ticket, true, 1)
  const last = warm.take(1)
  warm.refund(last, 1)
  expect(sendAll(warm, 1)).toBe(allowed)
})

test('declined callers are told times that follow each other at the rate of the instance, up to a limit', () => {
  const limit = new ColdLimit()
  limit.set(PER_S, Infinity, 0)
  const told = Array.from({ length: 50 }, () => {
    limit.promise(0)
    return limit.closedForMs(1, 0)
  })
  expect(told.slice(0, 3)).toEqual([201, 401, 601])
  expect(Math.max(...told)).toBeLessThanOrEqual(MAX_COLD_CLOSED_MS)
  // Beyond the limit they are spread, so that nearly all times differ.
  expect(new Set(told).size).toBeGreaterThan(40)
})

test('nobody is told to stay away for long after the cold time has ended', () => {
  const limit = new ColdLimit()
  limit.set(0.5, 1000, 0)
  limit.promise(0)
  expect(limit.closedForMs(1, 0)).toBeLessThanOrEqual(1000)
  limit.promise(900)
  expect(limit.closedForMs(1, 900)).toBeLessThanOrEqual(100 + WARM_RETURN_MS)
})

test('while no check is answered, calls get what a cold instance tolerates, and checks go on', () => {
  const limit = makeProvenWarm()
  sendAll(limit, 0)
  limit.endProbe(limit.startCheck(30)!, false, 130)
  expect([limit.isPaced(131), limit.accepts(0, 131), limit.startCheck(131)]).toEqual([true, false, undefined])
  const retry = limit.startCheck(1100)!
  expect(retry).toBeDefined()
  limit.endProbe(retry, true, 1101)
  expect(limit.isPaced(1101)).toBe(false)
})
