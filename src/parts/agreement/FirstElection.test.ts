import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { Replica } from './Replica.js'
import type { AgreementAction, AgreementEvent, AgreementMessage } from './Types.js'

const TIMING = { heartbeatMs: 100, electionMinMs: 500, electionMaxMs: 900, leaseMs: 450, firstElectionMs: 50 }
const MEMBERS = ['a', 'b', 'c', 'd', 'e']
const TICK_MS = 50
const SYNC_MS = 5
const SEEDS = Array.from({ length: 20 }, (_, i) => i + 1)

function restart (id: string, random: SeededRandom): Replica {
  const snapshot = { index: 0, term: 0, members: MEMBERS, data: new Uint8Array(0) }
  const recovered = { hard: { term: 3, votedFor: undefined }, snapshot, entries: [] }
  return new Replica({ id, random, recovered, timing: TIMING })
}

/** Returns when a replica first requests pre-votes, in milliseconds since its start. */
function firstPreVoteRequestMs (replica: Replica, messageAt: (nowMs: number) => AgreementMessage | undefined): number {
  for (let nowMs = 0; nowMs < 5000; nowMs += 10) {
    const message = messageAt(nowMs)
    const replies = message === undefined ? [] : replica.step({ type: 'message', from: 'b', message }, nowMs)
    const actions = [...replies, ...replica.step({ type: 'tick' }, nowMs)]
    if (actions.some(action => action.type === 'send' && action.message.type === 'preVote')) return nowMs
  }
  return Infinity
}

// A group whose replicas all restart would otherwise wait for the full election timeout.
test('restarted replicas without a leader request pre-votes one after the other', () => {
  const requestMs = MEMBERS.map(id => firstPreVoteRequestMs(restart(id, new SeededRandom(1)), () => undefined))
  expect(requestMs).toEqual([50, 150, 250, 350, 450])
})

test('the usual election timeout applies after a heartbeat', () => {
  const heartbeat: AgreementMessage = {
    type: 'append', term: 3, prevIndex: 0, prevTerm: 0, entries: [], commit: 0, round: 1, sentAtMs: 0
  }
  for (const seed of SEEDS) {
    const requestMs = firstPreVoteRequestMs(restart('a', new SeededRandom(seed)), nowMs => nowMs === 40 ? heartbeat : undefined)
    expect(requestMs).toBeGreaterThanOrEqual(540)
  }
})

/** Outcome of the first election of a group. */
interface FirstLeader {
  readonly atMs: number
  readonly term: number
}

/** Starts replicas within 100 ms of each other, links them with a delay of up to 20 ms and returns the first leader. */
function electFirstLeader (seed: number, running: readonly string[]): FirstLeader | undefined {
  const random = new SeededRandom(seed)
  const events: Array<{ readonly atMs: number, readonly to: string, readonly event: AgreementEvent }> = []
  const replicas = new Map(running.map(id => [id, restart(id, random)]))
  const startMs = new Map(running.map(id => [id, Math.floor(100 * random.next())]))
  for (const [id, atMs] of startMs) {
    for (let i = 0; i < 100; i++) events.push({ atMs: atMs + i * TICK_MS, to: id, event: { type: 'tick' } })
  }
  const leaders: FirstLeader[] = []
  const handle = (from: string, action: AgreementAction, nowMs: number): void => {
    if (action.type === 'persist') events.push({ atMs: nowMs + SYNC_MS, to: from, event: { type: 'persisted', sequence: action.sequence } })
    if (action.type === 'became' && action.role === 'leader') leaders.push({ atMs: nowMs, term: action.term })
    if (action.type !== 'send') return
    const { to, message } = action
    events.push({ atMs: nowMs + 1 + Math.floor(20 * random.next()), to, event: { type: 'message', from, message } })
  }
  for (let nowMs = 0; nowMs < 3000 && leaders.length === 0; nowMs++) {
    for (let i = 0; i < events.length; i++) {
      const { atMs, to, event } = events[i]!
      if (atMs !== nowMs || (startMs.get(to) ?? Infinity) > nowMs) continue
      replicas.get(to)?.step(event, nowMs).forEach(action => handle(to, action, nowMs))
    }
  }
  return leaders[0]
}

test('a group whose replicas all restart elects a leader in its first election', () => {
  for (const seed of SEEDS) {
    const leader = electFirstLeader(seed, MEMBERS)
    expect([seed, leader?.term]).toEqual([seed, 4])
    // Starts within 100 ms, the timeout of one of the first members, and two round trips with two syncs.
    expect(leader?.atMs).toBeLessThanOrEqual(350)
  }
})

test('a leader is elected as well while the members with the lowest ids are away', () => {
  for (const seed of SEEDS) expect(electFirstLeader(seed, ['c', 'd', 'e'])?.atMs).toBeLessThanOrEqual(800)
})

/** Timing without the order of a first election. */
function makeFollower (id: string): Replica {
  const snapshot = { index: 0, term: 0, members: ['a', 'b', 'c'], data: new Uint8Array(0) }
  const recovered = { hard: { term: 3, votedFor: undefined }, snapshot, entries: [] }
  const { firstElectionMs, ...timing } = TIMING
  return new Replica({ id, random: new SeededRandom(1), recovered, timing })
}

/** Types of the messages that a replica sends in answer to two granted pre-votes, after a request of another one. */
function answerPreVotes (id: string, other: string): string[] {
  const replica = makeFollower(id)
  for (let nowMs = 0; replica.view.role !== 'candidate'; nowMs += TICK_MS) replica.step({ type: 'tick' }, nowMs)
  const request: AgreementMessage = { type: 'preVote', term: 4, lastIndex: 0, lastTerm: 0 }
  replica.step({ type: 'message', from: other, message: request }, 1000)
  const granted: AgreementMessage = { type: 'preVoteReply', term: 4, granted: true }
  const actions = replica.step({ type: 'message', from: other, message: granted }, 1000)
  return actions.map(({ type }) => type)
}

// With one of three members lost both others must vote for the same candidate; two candidates cost another timeout.
test('of two candidates at the same time the one with the higher id withdraws, and the other one asks for votes', () => {
  expect(answerPreVotes('b', 'a')).toEqual([])
  expect(answerPreVotes('a', 'b')).toContain('persist')
})

// A learner must not pass calls on to a leader that is lost.
test('a replica outside the group forgets a leader that falls silent', () => {
  const replica = makeFollower('d')
  const heartbeat: AgreementMessage = {
    type: 'append', term: 3, prevIndex: 0, prevTerm: 0, entries: [], commit: 0, round: 1, sentAtMs: 0
  }
  replica.step({ type: 'message', from: 'a', message: heartbeat }, 1000)
  replica.step({ type: 'tick' }, 1450)
  expect(replica.view.leader).toBe('a')
  replica.step({ type: 'tick' }, 1500)
  expect(replica.view).toMatchObject({ role: 'recovering', leader: undefined })
})
