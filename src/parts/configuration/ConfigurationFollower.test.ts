import fc from 'fast-check'
import { expect, test } from 'vitest'
import { type FollowerFault, configurationOf, followersHold } from '../../../bench/fuzz/FollowerWorld.js'
import { makeDelta } from './ConfigurationDelta.js'
import { ConfigurationFollower } from './ConfigurationFollower.js'
import { ConfigurationStore } from './ConfigurationStore.js'
import { LEASE_MS } from './Constants.js'

const SEED = 4_030
const SCHEDULES = 5_000

function findFailure (fault: FollowerFault): string {
  const result = fc.check(followersHold(fault), { seed: SEED, numRuns: SCHEDULES, endOnFailure: true })
  return result.failed ? String(result.errorInstance) : 'nothing'
}

test('versions never go back and current means current', () => {
  fc.assert(followersHold(), { seed: SEED, numRuns: SCHEDULES })
})

test('finds an older version accepted', () => {
  expect(findFailure((follower) => { follower['_isNewer'] = () => true })).toContain('went back')
})

test('finds a version applied before a quorum confirms it', () => {
  expect(findFailure((follower) => {
    const acceptCandidate = follower['_acceptCandidate'].bind(follower)
    follower['_acceptCandidate'] = (copy) => [...acceptCandidate(copy), ...follower['_applyCandidate']()]
  })).toContain('older version than a quorum confirms')
})

test('finds a lease counted from the receipt', () => {
  expect(findFailure((follower) => {
    const onConfirm = follower['_onConfirm'].bind(follower)
    follower['_onConfirm'] = (version, _askedAtMs, nowMs) => onConfirm(version, nowMs, nowMs)
  })).toContain('current past its lease')
})

test('finds a state that is only checked at ticks', () => {
  expect(findFailure((follower) => {
    const state = follower.state.bind(follower)
    let last = state(0)
    const step = follower.step.bind(follower)
    follower.step = (event, nowMs) => {
      const actions = step(event, nowMs)
      last = state(nowMs)
      return actions
    }
    follower.state = () => last
  })).toContain('current past its lease')
})

test('a difference that does not fit asks for a whole copy', () => {
  const store = new ConfigurationStore()
  store.apply({ operation: 'a', base: 0, configuration: configurationOf(0) }, 1)
  const first = store.inForce
  store.apply({ operation: 'b', base: 1, configuration: configurationOf(5) }, 1)
  const difference = { ...makeDelta(first, store.inForce), removed: [] }
  const follower = new ConfigurationFollower()
  follower.step({ type: 'copy', from: 'control', confirmed: true, copy: first }, 0)
  const actions = follower.step({ type: 'difference', from: 'control', confirmed: true, difference }, 1)
  expect(actions).toEqual([{ type: 'askCopy', from: 'control' }])
  expect([follower.version, follower.counters.mismatched]).toEqual([1, 1])
})

test('a newer version of an older term is refused', () => {
  const follower = new ConfigurationFollower()
  const copy = { version: 5, term: 3, operation: 'a', configuration: configurationOf(0) }
  follower.step({ type: 'copy', from: 'control', confirmed: true, copy }, 0)
  const old = { ...copy, version: 6, term: 2, operation: 'b' }
  expect(follower.step({ type: 'copy', from: 'returned', confirmed: true, copy: old }, 1)).not.toContainEqual(
    expect.objectContaining({ type: 'apply' })
  )
  expect([follower.version, follower.counters.contradicting]).toEqual([5, 1])
})

test('a node cut off from control hears of changes from a peer and is stale past its lease', () => {
  const follower = new ConfigurationFollower()
  const copy = { version: 1, term: 1, operation: 'a', configuration: configurationOf(0) }
  follower.step({ type: 'copy', from: 'control', confirmed: true, askedAtMs: 0, copy }, 10)
  follower.step({ type: 'peerVersion', from: 'peer', version: 2 }, 500)
  expect(follower.step({ type: 'tick' }, 1_400)).toEqual([])
  expect(follower.step({ type: 'tick' }, 1_500)).toEqual([{ type: 'askCopy', from: 'peer' }])
  const next = { ...copy, version: 2, operation: 'b' }
  expect(follower.step({ type: 'copy', from: 'peer', confirmed: false, copy: next }, 1_510)).toEqual([
    { type: 'apply', copy: next }
  ])
  expect(follower.step({ type: 'tick' }, LEASE_MS)).toEqual([{ type: 'state', state: 'stale' }])
})
