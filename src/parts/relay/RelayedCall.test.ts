import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { LINK_SHARE, RELAY_LIMIT_MS, REPLY_PATIENCE_MS, RETRY_INTERVAL_MS } from './Constants.js'
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
      else if (action.type === 'deliver' || action.type === 'giveUp') outcome = { action, atMs: nowMs - startMs, asked }
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

/** Runs one call whose replies arrive in packets over one link, and returns what `run` returns. */
function runOverLink (
  replyMs: number, packets: (replica: string, index: number) => boolean = () => true, ranking = new ReplicaRanking()
): Outcome {
  const call = new RelayedCall(() => REPLICAS, ranking)
  const sent = new Map<string, number>()
  const asked: string[] = []
  let wakeAtMs = Infinity
  let outcome: Outcome | undefined
  const handle = (actions: readonly RelayAction[], nowMs: number): void => {
    for (const action of actions) {
      if (action.type === 'ask') {
        sent.set(action.replica, 0)
        asked.push(action.replica)
      } else if (action.type === 'wakeAt') wakeAtMs = Math.min(wakeAtMs, action.atMs)
      else if (action.type === 'deliver' || action.type === 'giveUp') outcome = { action, atMs: nowMs, asked }
    }
  }
  handle(call.step({ type: 'start' }, 0), 0)
  for (let nowMs = 0; ; nowMs++) {
    if (outcome !== undefined) return outcome
    // The replies take turns, so each of several moves at a part of the rate; a packet takes one millisecond.
    const sending = [...sent].filter(([replica, index]) => packets(replica, index))
    const [replica, index] = sending.at(nowMs % Math.max(1, sending.length)) ?? []
    if (replica !== undefined) {
      sent.set(replica, index! + 1)
      if (index! + 1 >= replyMs) handle(call.step({ type: 'reply', replica, reply: { type: 'final' } }, nowMs), nowMs)
      else handle(call.step({ type: 'progress', replica, moveMs: replyMs }, nowMs), nowMs)
    }
    if (nowMs < wakeAtMs) continue
    wakeAtMs = Infinity
    handle(call.step({ type: 'wake' }, nowMs), nowMs)
  }
}

test('a reply that is arriving is awaited, however large, and no other replica is asked', () => {
  for (const replyMs of [100, 950, 5000]) {
    expect(runOverLink(replyMs)).toEqual({ action: { type: 'deliver' }, atMs: replyMs - 1, asked: ['a'] })
  }
})

test('another replica is asked when a reply stops arriving', () => {
  const { action, asked, atMs } = runOverLink(950, (replica, index) => replica !== 'a' || index < 400)
  expect([action.type, asked, atMs]).toEqual(['deliver', ['a', 'b'], 400 + REPLY_PATIENCE_MS + 950 - 1])
})

// Replicas that are slow to reply were all asked, and then their replies shared the link.
test('once a reply is arriving, the other replicas are dropped, and asked again when it stops', () => {
  const call = new RelayedCall(() => ['a', 'b'], new ReplicaRanking())
  call.step({ type: 'start' }, 0)
  expect(call.step({ type: 'wake' }, REPLY_PATIENCE_MS)).toMatchObject([{ type: 'ask', replica: 'b' }, { type: 'wakeAt' }])
  const atMs = REPLY_PATIENCE_MS + 100
  const progress = { type: 'progress', replica: 'a', moveMs: 950 } as const
  expect(call.step(progress, atMs)).toMatchObject([{ type: 'drop', replica: 'b' }, { type: 'wakeAt' }])
  expect(call.step({ type: 'progress', replica: 'b', moveMs: 950 }, atMs + 1)).toEqual([])
  const stoppedAtMs = atMs + REPLY_PATIENCE_MS
  expect(call.step({ type: 'wake' }, stoppedAtMs)).toMatchObject([{ type: 'ask', replica: 'b' }, { type: 'wakeAt' }])
})

test('replies that come to a stop end a call after the limit, and those that trickle after their share of the link', () => {
  const stopped = runOverLink(950, (_replica, index) => index < 400)
  expect(stopped.action).toEqual({ type: 'giveUp', state: 'unknown' })
  expect(stopped.atMs).toBeLessThanOrEqual(RELAY_LIMIT_MS + 950 / LINK_SHARE)
  const call = new RelayedCall(() => ['a'], new ReplicaRanking())
  call.step({ type: 'start' }, 0)
  const replyMs = 300
  const boundMs = RELAY_LIMIT_MS + replyMs / LINK_SHARE
  for (let nowMs = 100; nowMs < boundMs; nowMs += 100) {
    call.step({ type: 'progress', replica: 'a', moveMs: replyMs }, nowMs)
    expect(call.step({ type: 'wake' }, nowMs)).toMatchObject([{ type: 'wakeAt' }])
  }
  expect(call.step({ type: 'wake' }, boundMs)).toEqual([{ type: 'giveUp', state: 'unknown' }])
})

test('a replica is not silent while the call itself takes its time on the link', () => {
  const moveMs = 950
  const call = new RelayedCall(() => REPLICAS, new ReplicaRanking())
  const [, wake] = call.step({ type: 'start', moveMs }, 0)
  const silentAtMs = moveMs / LINK_SHARE + REPLY_PATIENCE_MS
  expect(wake).toEqual({ type: 'wakeAt', atMs: silentAtMs })
  expect(call.step({ type: 'wake' }, silentAtMs - 1)).toMatchObject([{ type: 'wakeAt' }])
  expect(call.step({ type: 'wake' }, silentAtMs)).toMatchObject([{ type: 'ask', replica: 'b' }, { type: 'wakeAt' }])
})

const OFFERED_START = { type: 'start', moveMs: 100, isOffered: true } as const
const CARRY_PATIENCE_MS = 100 / LINK_SHARE + REPLY_PATIENCE_MS

test('the body of an offered call goes only to the replica that leads', () => {
  const call = new RelayedCall(() => REPLICAS, new ReplicaRanking())
  expect(call.step(OFFERED_START, 0)).toMatchObject([{ type: 'ask', replica: 'a', isOffer: true }, { type: 'wakeAt' }])
  const moved = call.step({ type: 'reply', replica: 'a', reply: { type: 'notLeader', leader: 'c' } }, 4)
  expect(moved).toMatchObject([{ type: 'ask', replica: 'c', isOffer: true }, { type: 'wakeAt' }])
  expect(call.step({ type: 'wanted', replica: 'c' }, 8)).toMatchObject([{ type: 'carry', replica: 'c' }, { type: 'wakeAt' }])
  expect(call.step({ type: 'wake' }, 8 + CARRY_PATIENCE_MS - 1)).toMatchObject([{ type: 'wakeAt' }])
  expect(call.step({ type: 'reply', replica: 'c', reply: { type: 'final' } }, 200)).toEqual([{ type: 'deliver' }])
})

test('the body of an offered call is on its way to one replica at a time', () => {
  const call = new RelayedCall(() => REPLICAS, new ReplicaRanking())
  call.step(OFFERED_START, 0)
  expect(call.step({ type: 'wake' }, REPLY_PATIENCE_MS)).toMatchObject([{ type: 'ask', replica: 'b' }, { type: 'wakeAt' }])
  const atMs = REPLY_PATIENCE_MS + 4
  expect(call.step({ type: 'wanted', replica: 'a' }, atMs)).toMatchObject([{ type: 'carry', replica: 'a' }, { type: 'wakeAt' }])
  const silentAtMs = atMs + CARRY_PATIENCE_MS
  expect(call.step({ type: 'wanted', replica: 'b' }, atMs + 4)).toEqual([{ type: 'wakeAt', atMs: silentAtMs }])
  expect(call.step({ type: 'wake' }, silentAtMs - 1)).toEqual([{ type: 'wakeAt', atMs: silentAtMs }])
  expect(call.step({ type: 'wake' }, silentAtMs)).toMatchObject([{ type: 'carry', replica: 'b' }, { type: 'wakeAt' }])
})

test('the next replica that wants the body gets it when the connection to the first one fails', () => {
  const call = new RelayedCall(() => REPLICAS, new ReplicaRanking())
  call.step(OFFERED_START, 0)
  call.step({ type: 'wake' }, REPLY_PATIENCE_MS)
  call.step({ type: 'wanted', replica: 'a' }, REPLY_PATIENCE_MS + 4)
  call.step({ type: 'wanted', replica: 'b' }, REPLY_PATIENCE_MS + 8)
  const actions = call.step({ type: 'failed', replica: 'a', wasSent: true }, REPLY_PATIENCE_MS + 12)
  expect(actions).toMatchObject([{ type: 'carry', replica: 'b' }, { type: 'wakeAt' }])
})

test('a call whose body no replica was sent was not run, and one that was carried may have been', () => {
  for (const isCarried of [false, true]) {
    const call = new RelayedCall(() => ['a'], new ReplicaRanking())
    call.step(OFFERED_START, 0)
    if (isCarried) call.step({ type: 'wanted', replica: 'a' }, 4)
    const limitMs = 100 / LINK_SHARE + RELAY_LIMIT_MS
    expect(call.step({ type: 'wake' }, limitMs)).toEqual([{ type: 'giveUp', state: isCarried ? 'unknown' : 'not-run' }])
  }
})

test('a replica that can not read offers is asked with the body at once', () => {
  const call = new RelayedCall(() => REPLICAS, new ReplicaRanking())
  call.step(OFFERED_START, 0)
  const actions = call.step({ type: 'failed', replica: 'a', wasSent: false, isOfferRefused: true }, 4)
  expect(actions).toMatchObject([{ type: 'ask', replica: 'a', isOffer: false }, { type: 'wakeAt' }])
  expect(call.step({ type: 'reply', replica: 'a', reply: { type: 'final' } }, 200)).toEqual([{ type: 'deliver' }])
})

// A configuration is some ten times longer uncompressed, so that all replicas of an earlier version were sent copies.
test('a replica that can not read offers is not silent while the plain body takes its time on the link', () => {
  const plainMoveMs = 950
  const call = new RelayedCall(() => REPLICAS, new ReplicaRanking())
  call.step({ ...OFFERED_START, plainMoveMs }, 0)
  call.step({ type: 'failed', replica: 'a', wasSent: false, isOfferRefused: true }, 4)
  const silentAtMs = 4 + plainMoveMs / LINK_SHARE + REPLY_PATIENCE_MS
  expect(call.step({ type: 'wake' }, silentAtMs - 1)).toEqual([{ type: 'wakeAt', atMs: silentAtMs }])
  expect(call.step({ type: 'wake' }, silentAtMs)).toMatchObject([{ type: 'ask', replica: 'b', isOffer: true }, { type: 'wakeAt' }])
})

// Otherwise one path that loses most packets would hold up each read of a process.
test('a replica whose reply did not arrive whole by the limit is asked after the others in the next call', () => {
  const ranking = new ReplicaRanking()
  const call = new RelayedCall(() => REPLICAS, ranking)
  call.step({ type: 'start' }, 0)
  let nowMs = 0
  for (let hasEnded = false; !hasEnded;) {
    nowMs += 100
    call.step({ type: 'progress', replica: 'a', moveMs: 300 }, nowMs)
    hasEnded = call.step({ type: 'wake' }, nowMs).some(({ type }) => type === 'giveUp')
  }
  expect(new RelayedCall(() => REPLICAS, ranking).step({ type: 'start' }, nowMs)).toMatchObject([{ type: 'ask', replica: 'b' }, { type: 'wakeAt' }])
})
