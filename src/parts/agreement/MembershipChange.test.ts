import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { Replica } from './Replica.js'
import type { AgreementAction, AgreementEvent } from './Types.js'

const TICK_MS = 50
const TIMING = {
  heartbeatMs: 100, electionMinMs: 500, electionMaxMs: 900, leaseMs: 450, catchUpTimeoutMs: 4000, catchUpSilenceMs: 1000
}
const ADDITION = 1

/** How the new replica answers: not at all, with a log that never catches up, or with the whole log. */
type Answer = 'never' | 'lacking' | 'whole'

/** Runs the only member of a group, which syncs at once, up to a time, and returns what it tells its host. */
class OnlyMember {
  public readonly actions: AgreementAction[] = []
  private _nowMs = 0
  private readonly _replica = new Replica({
    id: 'a',
    random: new SeededRandom(1),
    timing: TIMING,
    recovered: {
      hard: { term: 0, votedFor: undefined },
      snapshot: { index: 0, term: 0, members: ['a'], data: new Uint8Array(0) },
      entries: []
    }
  })

  /** @param answer How the new replica answers. */
  public constructor (public answer: Answer) {}

  public step (event: AgreementEvent): void {
    for (const action of this._replica.step(event, this._nowMs)) {
      this.actions.push(action)
      if (action.type === 'persist') this.step({ type: 'persisted', sequence: action.sequence })
      if (action.type === 'send' && this.answer !== 'never') this._receiveAnswer(action)
    }
  }

  public runUntil (untilMs: number): void {
    for (; this._nowMs < untilMs; this._nowMs += TICK_MS) this.step({ type: 'tick' })
  }

  public get members (): readonly string[] {
    return this._replica.view.members
  }

  /** Time until the addition was rejected, in milliseconds. */
  public untilRejected (): number {
    const startMs = this._nowMs
    this.step({ type: 'changeMembers', id: ADDITION, members: ['a', 'b'] })
    while (!this.actions.some(({ type }) => type === 'rejected')) this.runUntil(this._nowMs + TICK_MS)
    return this._nowMs - startMs
  }

  /** Ids of the replicas that were sent something since the last call. */
  public takeReceivers (): string[] {
    const receivers = this.actions.splice(0).flatMap(action => action.type === 'send' ? [action.to] : [])
    return [...new Set(receivers)]
  }

  private _receiveAnswer ({ message }: Extract<AgreementAction, { type: 'send' }>): void {
    if (message.type !== 'append') return
    const { term, round, sentAtMs, prevIndex, entries } = message
    const match = this.answer === 'whole' ? prevIndex + entries.length : 0
    if (match === 0 && prevIndex === 0) return
    this.step({
      type: 'message',
      from: 'b',
      message: {
        type: 'appendReply', term, success: match > 0, match, conflictIndex: 1, conflictTerm: -1, round, sentAtMs
      }
    })
  }
}

// The addition of a replica that has ended would hold up that of the one that must take the place of a lost voter.
test('the addition of a replica that does not answer is given up before the time to catch up is over', () => {
  const silent = new OnlyMember('never')
  silent.runUntil(2000)
  expect(silent.untilRejected()).toBeLessThanOrEqual(TIMING.catchUpSilenceMs + 2 * TICK_MS)
})

test('a replica that answers has all the time to catch up', () => {
  const slow = new OnlyMember('lacking')
  slow.runUntil(2000)
  expect(slow.untilRejected()).toBeGreaterThanOrEqual(TIMING.catchUpTimeoutMs)
})

// A successor that held nothing had to be sent the whole state when a voter was lost.
test('a learner gets the log, counts towards no quorum, and is added without catching up', () => {
  const leader = new OnlyMember('whole')
  leader.runUntil(2000)
  leader.takeReceivers()
  leader.step({ type: 'setLearners', learners: ['b'] })
  leader.step({ type: 'propose', id: 7, data: new Uint8Array(3) })
  leader.runUntil(2500)
  expect(leader.takeReceivers()).toEqual(['b'])
  expect(leader.members).toEqual(['a'])
  leader.step({ type: 'changeMembers', id: ADDITION, members: ['a', 'b'] })
  expect(leader.members).toEqual(['a', 'b'])
  expect(leader.actions.some(action => action.type === 'commit' && action.id === ADDITION)).toBe(true)
})

// The vote of a successor that had ended just before would have stood against the two voters that were left.
test('a learner that has ended since it caught up is not added', () => {
  const leader = new OnlyMember('whole')
  leader.runUntil(2000)
  leader.step({ type: 'setLearners', learners: ['b'] })
  leader.runUntil(2500)
  leader.answer = 'never'
  expect(leader.untilRejected()).toBeLessThanOrEqual(TIMING.catchUpSilenceMs + 2 * TICK_MS)
  expect(leader.members).toEqual(['a'])
})

test('a learner that does not answer holds up no commit, and one that is no longer named gets nothing', () => {
  const leader = new OnlyMember('never')
  leader.runUntil(2000)
  leader.step({ type: 'setLearners', learners: ['b'] })
  leader.step({ type: 'propose', id: 7, data: new Uint8Array(3) })
  expect(leader.actions.some(action => action.type === 'commit' && action.id === 7)).toBe(true)
  leader.step({ type: 'setLearners', learners: [] })
  leader.takeReceivers()
  leader.runUntil(2500)
  expect(leader.takeReceivers()).toEqual([])
})

test('a replica that was a learner is sent nothing by a leader that has stepped down and was elected again', () => {
  const leader = new OnlyMember('never')
  leader.runUntil(2000)
  leader.step({ type: 'setLearners', learners: ['b'] })
  leader.step({ type: 'message', from: 'b', message: { type: 'voteReply', term: 9, granted: false } })
  leader.takeReceivers()
  leader.runUntil(5000)
  expect(leader.takeReceivers()).toEqual([])
})
