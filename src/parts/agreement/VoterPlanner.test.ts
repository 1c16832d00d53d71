import { expect, test } from 'vitest'
import { type GroupView, VoterPlanner } from './VoterPlanner.js'

const A = 'a:1~1'
const B = 'b:1~1'
const C = 'c:1~1'
const D = 'd:1~1'
const E = 'e:1~1'
const F = 'f:1~1'

function makeView (
  members: readonly string[], silent: readonly string[] = [], gone: readonly string[] = []
): GroupView {
  return {
    self: A,
    members,
    isGone: member => gone.includes(member),
    silenceMs: member => silent.includes(member) ? 10_000 : 100
  }
}

test('joining replicas become voters up to the required number', () => {
  const plan = new VoterPlanner(5)
  plan.recordJoinRequest(D, 0)
  expect(plan.nextChange(makeView([A, B, C]), 1)?.members).toEqual([A, B, C, D])
  expect(new VoterPlanner(3).nextChange(makeView([A, B, C]), 1)).toBeUndefined()
})

test('a further replica is not added while no voter is silent', () => {
  const plan = new VoterPlanner(3)
  plan.recordJoinRequest(D, 0)
  expect(plan.nextChange(makeView([A, B, C]), 1)).toBeUndefined()
})

test('a silent voter is removed only after its replacement was added', () => {
  const plan = new VoterPlanner(3)
  plan.recordJoinRequest(D, 0)
  expect(plan.nextChange(makeView([A, B, C], [C]), 1)?.members).toEqual([A, B, C, D])
  expect(plan.nextChange(makeView([A, B, C, D], [C]), 2)?.members).toEqual([A, B, D])
})

// A partition makes the other side silent; removing it would shrink the group below the tolerated losses.
test('silent voters are not removed without a replacement', () => {
  expect(new VoterPlanner(3).nextChange(makeView([A, B, C], [B, C]), 1)).toBeUndefined()
})

test('the former identity of a wiped replica is removed before the new one is added', () => {
  const plan = new VoterPlanner(3)
  const wiped = 'c:1~2'
  plan.recordJoinRequest(wiped, 0)
  expect(plan.nextChange(makeView([A, B, C]), 1)?.members).toEqual([A, B])
  expect(plan.nextChange(makeView([A, B]), 2)?.members).toEqual([A, B, wiped])
})

test('a join request expires if it is not repeated', () => {
  const plan = new VoterPlanner(5)
  plan.recordJoinRequest(D, 0)
  expect(plan.nextChange(makeView([A, B, C]), 5000)).toBeUndefined()
})

test('a voter that is about to stop is removed once its replacement was added', () => {
  const plan = new VoterPlanner(3)
  plan.recordLeaveRequest(C, 0)
  expect(plan.canReplace([A, B, C], 1)).toBe(false)
  expect(plan.nextChange(makeView([A, B, C]), 1)).toBeUndefined()
  plan.recordJoinRequest(D, 1)
  expect(plan.canReplace([A, B, C], 2)).toBe(true)
  expect(plan.nextChange(makeView([A, B, C]), 2))
    .toEqual({ members: [A, B, C, D], reason: 'leaving', replica: D, replaced: C })
  expect(plan.nextChange(makeView([A, B, C, D]), 3))
    .toEqual({ members: [A, B, D], reason: 'leaving', replica: C, replaced: C })
})

test('a silent voter is replaced before those that are about to stop, and the leader last', () => {
  const plan = new VoterPlanner(2)
  for (const replica of [A, B]) plan.recordLeaveRequest(replica, 0)
  expect(plan.nextChange(makeView([A, B, C], [C]), 1)?.members).toEqual([A, B])
  expect(plan.nextChange(makeView([A, B, C]), 1)?.members).toEqual([A, C])
  plan.recordLeaveRequest(A, 2000)
  expect(plan.nextChange(makeView([A, B, C]), 2001)?.members).toEqual([B, C])
})

// The successor of a replica whose disk was lost would be removed again for the request of the lost identity.
test('a request to join supersedes an earlier one of the same name', () => {
  const plan = new VoterPlanner(3)
  const wiped = 'c:1~2'
  plan.recordJoinRequest(C, 0)
  plan.recordJoinRequest(wiped, 1)
  expect(plan.nextChange(makeView([A, B, wiped]), 2)).toBeUndefined()
})

test('a replica that could not be added is not tried again before it asks again', () => {
  const plan = new VoterPlanner(3)
  plan.recordJoinRequest(D, 0)
  plan.forgetJoinRequest(D)
  expect(plan.nextChange(makeView([A, B, C], [C]), 1)).toBeUndefined()
})

// Two voters that were lost at once left no quorum, although two successors had been ready for longer than CatchUp.
test('a pair of spares holds votes beyond the required number, and one spare or a third does not', () => {
  const plan = new VoterPlanner(3)
  plan.recordJoinRequest(D, 0)
  expect(plan.nextChange(makeView([A, B, C]), 1)).toBeUndefined()
  plan.recordJoinRequest(E, 0)
  plan.recordJoinRequest(F, 0)
  expect(plan.nextChange(makeView([A, B, C]), 1)).toMatchObject({ members: [A, B, C, D], reason: 'spare', replica: D })
  expect(plan.nextChange(makeView([A, B, C, D]), 1)).toMatchObject({ members: [A, B, C, D, E], reason: 'spare' })
  expect(plan.nextChange(makeView([A, B, C, D, E]), 1)).toBeUndefined()
})

test('a voter beyond the required number is removed at once when it is gone, silent or about to stop', () => {
  const plan = new VoterPlanner(3)
  const change = { members: [A, B, D, E], replica: C, replaced: C }
  expect(plan.nextChange(makeView([A, B, C, D, E], [], [C]), 1)).toEqual({ ...change, reason: 'gone' })
  expect(plan.nextChange(makeView([A, B, C, D, E], [C]), 1)).toEqual({ ...change, reason: 'silent' })
  plan.recordLeaveRequest(C, 1)
  expect(plan.nextChange(makeView([A, B, C, D, E]), 1)).toEqual({ ...change, reason: 'leaving' })
})

test('a voter that is gone is replaced before it is silent, and never without a replacement', () => {
  const plan = new VoterPlanner(3)
  expect(plan.nextChange(makeView([A, B, C], [], [C]), 1)).toBeUndefined()
  plan.recordJoinRequest(D, 0)
  expect(plan.nextChange(makeView([A, B, C], [], [C]), 1)).toMatchObject({ members: [A, B, C, D], reason: 'gone' })
  expect(plan.nextChange(makeView([A, B, C, D], [B], [C]), 1)).toMatchObject({ members: [A, B, D], reason: 'gone' })
})

// A ready successor that held nothing had to be sent the whole state after the loss.
test('a single replica that asks to join learns the log, and none does beside spare voters', () => {
  const plan = new VoterPlanner(3)
  expect(plan.learners([A, B, C], 1)).toEqual([])
  plan.recordJoinRequest(D, 0)
  expect(plan.learners([A, B, C], 1)).toEqual([D])
  expect(plan.learners([A, B, C, E], 1)).toEqual([])
  expect(plan.learners([A, B, D], 1)).toEqual([])
  expect(plan.learners([A, B, C], 5000)).toEqual([])
})
