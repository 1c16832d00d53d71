import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { Replica } from './Replica.js'
import type { AgreementAction, AgreementEvent } from './Types.js'

const TICK_MS = 50
const TIMING = {
  heartbeatMs: 100, electionMinMs: 500, electionMaxMs: 900, leaseMs: 450, catchUpTimeoutMs: 4000, catchUpSilenceMs: 1000
}
const ADDITION = 1

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

  /** @param _answers True when the new replica answers, with a log that never catches up. */
  public constructor (private readonly _answers: boolean) {}

  public step (event: AgreementEvent): void {
    for (const action of this._replica.step(event, this._nowMs)) {
      this.actions.push(action)
      if (action.type === 'persist') this.step({ type: 'persisted', sequence: action.sequence })
      if (action.type === 'send' && this._answers) this._answer(action)
    }
  }

  public runUntil (untilMs: number): void {
    for (; this._nowMs < untilMs; this._nowMs += TICK_MS) this.step({ type: 'tick' })
  }

  /** Time until the addition was rejected, in milliseconds. */
  public untilRejected (): number {
    const startMs = this._nowMs
    this.step({ type: 'changeMembers', id: ADDITION, members: ['a', 'b'] })
    while (!this.actions.some(({ type }) => type === 'rejected')) this.runUntil(this._nowMs + TICK_MS)
    return this._nowMs - startMs
  }

  private _answer ({ message }: Extract<AgreementAction, { type: 'send' }>): void {
    if (message.type !== 'append' || message.prevIndex === 0) return
    const { term, round, sentAtMs } = message
    this.step({
      type: 'message',
      from: 'b',
      message: {
        type: 'appendReply', term, success: false, match: 0, conflictIndex: 1, conflictTerm: -1, round, sentAtMs
      }
    })
  }
}

// The addition of a replica that has ended would hold up that of the one that must take the place of a lost voter.
test('the addition of a replica that does not answer is given up before the time to catch up is over', () => {
  const silent = new OnlyMember(false)
  silent.runUntil(2000)
  expect(silent.untilRejected()).toBeLessThanOrEqual(TIMING.catchUpSilenceMs + 2 * TICK_MS)
})

test('a replica that answers has all the time to catch up', () => {
  const slow = new OnlyMember(true)
  slow.runUntil(2000)
  expect(slow.untilRejected()).toBeGreaterThanOrEqual(TIMING.catchUpTimeoutMs)
})
