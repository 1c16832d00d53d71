import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { RELAY_LIMIT_MS, REPLY_PATIENCE_MS, RETRY_INTERVAL_MS } from './Constants.js'
import { RelayedCall } from './RelayedCall.js'
import { ReplicaRanking } from './ReplicaRanking.js'
import type { RelayAction, ReplyKind } from './Types.js'

const REPLICAS = ['a', 'b', 'c']
const ROUND_TRIP_MS = 4

/** Reply of a replica at a time; undefined while it stands still. */
type Behaviour = (replica: string, nowMs: number) => ReplyKind | 'refuses' | undefined

interface Outcome {
  readonly action: Extract<RelayAction, { type: 'deliver' | 'giveUp' }>
  readonly atMs: number
  readonly asked: string[]
}

/** Runs one call on a virtual clock in steps of a millisecond. */
function run (behaviour: Behaviour, ranking = new ReplicaRanking(), startMs = 0): Outcome {
  const call = new RelayedCall(() => REPLICAS, ranking)
  const open = new Map<string, number>()
  const asked: string[] = []
  let wakeAtMs = Infinity
  let outcome: Outcome | undefined
  const handle = (actions: readonly RelayAction[], nowMs: number): void => {
    for (const action of actions) {
      if (action.type === 'ask') {
        expect(open.has(action.replica)).toBe(false)
        open.set(action.replica, nowMs)
        asked.push(action.replica)
      } else if (action.type === 'wakeAt') wakeAtMs = Math.min(wakeAtMs, action.atMs)
      else outcome = { action, atMs: nowMs - startMs, asked }
    }
  }
  handle(call.step({ type: 'start' }, startMs), startMs)
  for (let nowMs = startMs; ; nowMs++) {
    if (outcome !== undefined) return outcome
    for (const [replica, askedAtMs] of open) {
      const reply = nowMs - askedAtMs < ROUND_TRIP_MS ? undefined : behaviour(replica, nowMs)
      if (reply === undefined) continue
      open.delete(replica)
      const event = reply === 'refuses'
        ? { type: 'failed', replica, wasSent: false } as const
        : { type: 'reply', replica, reply } as const
      handle(call.step(event, nowMs), nowMs)
    }
    if (nowMs < wakeAtMs) continue
    wakeAtMs = Infinity
    handle(call.step({ type: 'wake' }, nowMs), nowMs)
  }
}

function groupLedBy (leader: string): Behaviour {
  return replica => replica === leader ? { type: 'final' } : { type: 'notLeader', leader }
}

test('a call follows a replica to the leader, and later calls go there first', () => {
  const ranking = new ReplicaRanking()
  expect(run(groupLedBy('c'), ranking)).toMatchObject({ action: { type: 'deliver' }, asked: ['a', 'c'] })
  expect(run(groupLedBy('c'), ranking)).toMatchObject({ action: { type: 'deliver' }, asked: ['c'] })
})

test('a replica that stands still costs one call its patience and the next calls nothing', () => {
  const ranking = new ReplicaRanking()
  const behaviour: Behaviour = (replica, nowMs) => replica === 'a' ? undefined : groupLedBy('b')(replica, nowMs)
  const first = run(behaviour, ranking)
  expect([first.asked, first.atMs]).toEqual([['a', 'b'], REPLY_PATIENCE_MS + ROUND_TRIP_MS])
  expect(run(behaviour, ranking, 1000)).toMatchObject({ asked: ['b'], atMs: ROUND_TRIP_MS })
})

test('a call that the leader can not decide waits for the next leader', () => {
  const electedAtMs = 700
  const behaviour: Behaviour = (replica, nowMs) => {
    if (replica === 'a') return undefined
    if (nowMs < electedAtMs) return { type: 'notLeader', leader: 'a' }
    return replica === 'c' ? { type: 'final' } : { type: 'notLeader', leader: 'c' }
  }
  const { action, atMs } = run(behaviour)
  expect(action.type).toBe('deliver')
  expect(atMs).toBeLessThan(electedAtMs + 2 * RETRY_INTERVAL_MS)
})

test('a call that no replica decides gets its outcome within the limit', () => {
  const silent = run(() => undefined)
  expect([silent.action, silent.atMs]).toEqual([{ type: 'giveUp', state: 'unknown' }, RELAY_LIMIT_MS])
  const refused = run(() => 'refuses')
  expect([refused.action, refused.atMs]).toEqual([{ type: 'giveUp', state: 'not-run' }, RELAY_LIMIT_MS])
  const undecided = run(() => ({ type: 'undecided', state: 'unknown' }))
  expect([undecided.action, undecided.atMs]).toEqual([{ type: 'giveUp', state: 'unknown' }, RELAY_LIMIT_MS])
})

// A part of the group without a quorum must not hold its callers until they give up.
test('a call is given up at once when all replicas have had no leader for long', () => {
  const { action, atMs } = run(() => ({ type: 'notLeader', isLeaderless: true }))
  expect([action, atMs]).toEqual([{ type: 'giveUp', state: 'not-run' }, REPLICAS.length * ROUND_TRIP_MS])
})

test('whichever replica stands still, a call is decided while another one leads', () => {
  const random = new SeededRandom(36)
  for (let i = 0; i < 2000; i++) {
    const leader = REPLICAS[Math.floor(3 * random.next())]!
    const frozen = REPLICAS.filter(replica => replica !== leader)[Math.floor(2 * random.next())]!
    const believed = random.next() < 0.5 ? leader : frozen
    const learnsAtMs = 700 * random.next()
    const ranking = new ReplicaRanking()
    if (random.next() < 0.5) ranking.recordLeader(frozen)
    const { action, atMs } = run((replica, nowMs) => {
      if (replica === frozen) return undefined
      if (replica === leader) return { type: 'final' }
      return { type: 'notLeader', leader: nowMs < learnsAtMs ? believed : leader }
    }, ranking)
    expect(action.type).toBe('deliver')
    expect(atMs).toBeLessThan(RELAY_LIMIT_MS)
  }
})
