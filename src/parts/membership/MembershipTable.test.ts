import fc from 'fast-check'
import { expect, test } from 'vitest'
import { type TableFault, makeMember, membershipProperty } from '../../../bench/fuzz/MembershipSimulation.js'
import { NODE_BURST, NODE_MEMBERS_PER_SECOND } from './Constants.js'
import { compareAnnouncements } from './MemberOrder.js'
import { MembershipTable } from './MembershipTable.js'
import type { Member, MembershipEvent } from './Types.js'

const SEED = 4_050
const SCHEDULE_COUNT = 1_200

/** Returns what the property reports for tables without one mechanism, or `nothing` when it holds. */
function findFailure (fault: TableFault): string {
  const result = fc.check(membershipProperty(fault), { seed: SEED, numRuns: SCHEDULE_COUNT, endOnFailure: true })
  return result.failed ? String(result.errorInstance) : 'nothing'
}

test('tables converge and never return to stale members', () => {
  fc.assert(membershipProperty(), { seed: SEED, numRuns: SCHEDULE_COUNT, endOnFailure: true })
})

// The tests of faults check the property itself: without the mechanism it must fail.
test('detects a table that accepts stale updates', () => {
  expect(findFailure((table) => {
    const { store } = { store: table['_store'] }
    const merge = store.merge.bind(store)
    store.merge = (member, direct, nowMs) => {
      const entry = store.get(member.node)
      if (entry !== undefined && compareAnnouncements(member, entry.member) < 0) {
        store['_replace'](entry, member)
      }
      return merge(member, direct, nowMs)
    }
  })).toContain('returned to a stale announcement')
})

test('detects leases that never expire', () => {
  expect(findFailure((table) => { table['_expireLeases'] = () => [] })).toContain(' live')
})

test('detects lost messages that no digest repairs', () => {
  expect(findFailure((table) => { table['_sendDigests'] = () => [] })).toContain(' live')
})

// A replica that is cut off from the others keeps the node as silent at an old heartbeat. When it is connected again,
// its silence must not override heartbeats that other replicas received later.
test('detects silence from a partitioned replica that overrides later heartbeats', () => {
  expect(findFailure((table) => {
    const { store } = { store: table['_store'] }
    const merge = store.merge.bind(store)
    store.merge = (member, direct, nowMs) => {
      const entry = store.get(member.node)
      return entry !== undefined && member.silent ? store.markSilent(entry, nowMs) : merge(member, direct, nowMs)
    }
    table['_applyHeartbeat'] = () => []
  })).toContain(' live')
})

test('each announcement, silence, return and departure leads to the expected action', () => {
  const table = new MembershipTable({ role: 'replica' })
  const types: string[] = []
  const step = (event: MembershipEvent, nowMs: number) => {
    types.push(...table.step(event, nowMs).map((action) => action.type))
  }
  const announce = (change: Partial<Member>, nowMs: number) => {
    step({ type: 'announce', member: makeMember('n1', 'menus', change) }, nowMs)
  }
  announce({ sequence: 1, state: 'starting' }, 0)
  announce({ sequence: 2, state: 'serving' }, 10)
  announce({ sequence: 3, state: 'draining' }, 20)
  announce({ incarnation: 2, sequence: 1, state: 'serving' }, 30)
  for (let nowMs = 1_000; nowMs <= 4_000; nowMs += 1_000) {
    step({ type: 'tick' }, nowMs)
  }
  step({ type: 'heartbeat', node: 'n1', incarnation: 1, sequence: 9 }, 4_100)
  step({ type: 'heartbeat', node: 'n1', incarnation: 2, sequence: 1 }, 4_200)
  announce({ incarnation: 2, sequence: 2, state: 'left' }, 4_300)
  announce({ incarnation: 2, sequence: 1, state: 'serving' }, 4_400)
  announce({ incarnation: 3, sequence: 1, state: 'serving' }, 4_500)
  expect(types).toEqual(['joined', 'changed', 'changed', 'restarted', 'silent', 'joined', 'left', 'restarted'])
})

// A frozen process misses the heartbeats of all nodes; without the extension of leases it would report every member
// as silent with its first tick.
test('a replica that was frozen extends all leases', () => {
  const table = new MembershipTable({ role: 'replica' })
  table.step({ type: 'announce', member: makeMember('n1', 'menus') }, 0)
  table.step({ type: 'tick' }, 100)
  expect(table.step({ type: 'tick' }, 30_000)).toEqual([])
  expect(table.counters.frozen).toBe(1)
  table.step({ type: 'tick' }, 31_000)
  table.step({ type: 'tick' }, 32_000)
  expect(table.step({ type: 'tick' }, 33_000)).toMatchObject([{ type: 'silent' }])
})

test('members that left are kept up to a bound and for a limited time', () => {
  const table = new MembershipTable({ role: 'replica', maxTombstones: 10, tombstoneMs: 5_000 })
  for (let number = 0; number < 50; number += 1) {
    table.step({ type: 'announce', member: makeMember(`n${number}`, 'menus') }, 0)
    const left = makeMember(`n${number}`, 'menus', { sequence: 1, state: 'left' })
    table.step({ type: 'announce', member: left }, 0)
  }
  expect(table.members().length).toBe(10)
  for (let nowMs = 1_000; nowMs <= 5_000; nowMs += 1_000) {
    table.step({ type: 'tick' }, nowMs)
  }
  expect(table.members()).toEqual([])
})

test('a flapping member is sent to a node within the rate limit, with its latest state', () => {
  const table = new MembershipTable({ role: 'replica' })
  table.step({ type: 'interest', from: 'n9', services: ['menus'] }, 0)
  const sent: Member[] = []
  for (let sequence = 1; sequence <= 2_000; sequence += 1) {
    const member = makeMember('n1', 'menus', { sequence, slots: sequence })
    const actions = table.step({ type: 'announce', member }, sequence)
    sent.push(...actions.flatMap((action) => action.type === 'send' ? action.members : []))
  }
  // The burst, and the rate for 2 s.
  expect(sent.length).toBeLessThanOrEqual(NODE_BURST + 2 * NODE_MEMBERS_PER_SECOND)
  const last = table.step({ type: 'tick' }, 3_000).flatMap((action) => action.type === 'send' ? action.members : [])
  expect([...sent, ...last].at(-1)?.slots).toBe(2_000)
})

// The replica that received the newer sequence is gone, so no other replica ever reports the member as silent in it:
// the node must not wait for that.
test('a node removes a member that control knows only as silent in an older sequence', () => {
  const table = new MembershipTable({ role: 'node', self: 'n9' })
  table.step({ type: 'merge', from: 'home', members: [makeMember('n1', 'menus', { sequence: 5 })] }, 0)
  const whole = { from: 'home', members: [makeMember('n1', 'menus', { sequence: 4, silent: true })], whole: ['menus'] }
  const removedAtMs: number[] = []
  for (let nowMs = 0; nowMs <= 40_000; nowMs += 10_000) {
    if (table.step({ type: 'merge', ...whole }, nowMs).some((action) => action.type === 'silent')) {
      removedAtMs.push(nowMs)
    }
  }
  expect([removedAtMs, table.membersOf('menus')]).toEqual([[30_000], []])
})
