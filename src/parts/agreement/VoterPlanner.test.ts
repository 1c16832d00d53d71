import { expect, test } from 'vitest'
import { VoterPlanner } from './VoterPlanner.js'

const A = 'a:1~1'
const B = 'b:1~1'
const C = 'c:1~1'
const D = 'd:1~1'

function makeView (members: readonly string[], silent: readonly string[] = []): Parameters<VoterPlanner['nextMembers']>[0] {
  return { self: A, members, silenceMs: member => silent.includes(member) ? 10_000 : 100 }
}

test('joining replicas become voters up to the required number', () => {
  const plan = new VoterPlanner(5)
  plan.recordJoinRequest(D, 0)
  expect(plan.nextMembers(makeView([A, B, C]), 1)).toEqual([A, B, C, D])
  expect(new VoterPlanner(3).nextMembers(makeView([A, B, C]), 1)).toBeUndefined()
})

test('a further replica is not added while no voter is silent', () => {
  const plan = new VoterPlanner(3)
  plan.recordJoinRequest(D, 0)
  expect(plan.nextMembers(makeView([A, B, C]), 1)).toBeUndefined()
})

test('a silent voter is removed only after its replacement was added', () => {
  const plan = new VoterPlanner(3)
  plan.recordJoinRequest(D, 0)
  expect(plan.nextMembers(makeView([A, B, C], [C]), 1)).toEqual([A, B, C, D])
  expect(plan.nextMembers(makeView([A, B, C, D], [C]), 2)).toEqual([A, B, D])
})

// A partition makes the other side silent; removing it would shrink the group below the tolerated losses.
test('silent voters are not removed without a replacement', () => {
  expect(new VoterPlanner(3).nextMembers(makeView([A, B, C], [B, C]), 1)).toBeUndefined()
})

test('the former identity of a wiped replica is removed before the new one is added', () => {
  const plan = new VoterPlanner(3)
  const wiped = 'c:1~2'
  plan.recordJoinRequest(wiped, 0)
  expect(plan.nextMembers(makeView([A, B, C]), 1)).toEqual([A, B])
  expect(plan.nextMembers(makeView([A, B]), 2)).toEqual([A, B, wiped])
})

test('a join request expires if it is not repeated', () => {
  const plan = new VoterPlanner(5)
  plan.recordJoinRequest(D, 0)
  expect(plan.nextMembers(makeView([A, B, C]), 5000)).toBeUndefined()
})
