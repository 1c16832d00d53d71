import fc from 'fast-check'
import { expect, test } from 'vitest'
import { type FollowerFault, makeConfiguration, followerProperty } from '../../../bench/fuzz/FollowerSimulation.js'
import { makeDelta } from './ConfigurationDelta.js'
import { ConfigurationFollower } from './ConfigurationFollower.js'
import { ConfigurationStore } from './ConfigurationStore.js'
import { LEASE_MS } from './Constants.js'

const SEED = 4_030
const SCHEDULES = 5_000

function findFailure (fault: FollowerFault): string {
  const result = fc.check(followerProperty(fault), { seed: SEED, numRuns: SCHEDULES, endOnFailure: true })
  return result.failed ? String(result.errorInstance) : 'nothing'
}

// An update that is delayed, lost, duplicated or reordered could bring back an old version or prolong the lease.
test('versions never go back, and a current node is never behind by more than its lease', () => {
  fc.assert(followerProperty(), { seed: SEED, numRuns: SCHEDULES })
})

// The following tests remove one mechanism of the follower and expect the random schedules to find that fault.
test('detects a follower that accepts an older version', () => {
  expect(findFailure((follower) => { follower['_isNewer'] = () => true })).toContain('went back')
})

test('detects a version that is applied before a quorum confirms it', () => {
  expect(findFailure((follower) => {
    const acceptCandidate = follower['_acceptCandidate'].bind(follower)
    follower['_acceptCandidate'] = (copy) => [...acceptCandidate(copy), ...follower['_applyCandidate']()]
  })).toContain('older version than a quorum confirms')
})

test('detects a lease that counts from the receipt of the confirmation', () => {
  expect(findFailure((follower) => {
    const onConfirm = follower['_onConfirm'].bind(follower)
    follower['_onConfirm'] = (version, _askedAtMs, nowMs) => onConfirm(version, nowMs, nowMs)
  })).toContain('current past its lease')
})

test('detects a state that is evaluated only when an event arrives', () => {
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

test('a difference that cannot be applied leads to a request for a full copy', () => {
  const store = new ConfigurationStore()
  store.apply({ operation: 'a', base: 0, configuration: makeConfiguration(0) }, 1)
  const first = store.inForce
  store.apply({ operation: 'b', base: 1, configuration: makeConfiguration(5) }, 1)
  const difference = { ...makeDelta(first, store.inForce), removed: [] }
  const follower = new ConfigurationFollower()
  follower.step({ type: 'copy', from: 'control', confirmed: true, copy: first }, 0)
  const actions = follower.step({ type: 'difference', from: 'control', confirmed: true, difference }, 1)
  expect(actions).toEqual([{ type: 'askCopy', from: 'control' }])
  expect([follower.version, follower.counters.mismatched]).toEqual([1, 1])
})

// A replica that returns with outdated state may send such a copy.
test('a newer version with an older term is ignored', () => {
  const follower = new ConfigurationFollower()
  const copy = { version: 5, term: 3, operation: 'a', configuration: makeConfiguration(0) }
  follower.step({ type: 'copy', from: 'control', confirmed: true, copy }, 0)
  const old = { ...copy, version: 6, term: 2, operation: 'b' }
  expect(follower.step({ type: 'copy', from: 'returned', confirmed: true, copy: old }, 1)).not.toContainEqual(
    expect.objectContaining({ type: 'apply' })
  )
  expect([follower.version, follower.counters.contradicting]).toEqual([5, 1])
})

test('a node without control gets a change from a peer and is stale once its lease expires', () => {
  const follower = new ConfigurationFollower()
  const copy = { version: 1, term: 1, operation: 'a', configuration: makeConfiguration(0) }
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
