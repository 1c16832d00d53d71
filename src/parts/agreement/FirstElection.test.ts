import { expect, test } from 'vitest'
import { SeededRandom } from '../SeededRandom.js'
import { Replica } from './Replica.js'
import type { AgreementMessage } from './Types.js'

const TIMING = { heartbeatMs: 100, electionMinMs: 500, electionMaxMs: 900, leaseMs: 450, firstElectionMs: 300 }
const MEMBERS = ['a', 'b', 'c']

function makeReplica (seed: number): Replica {
  const snapshot = { index: 0, term: 0, members: MEMBERS, data: new Uint8Array(0) }
  const recovered = { hard: { term: 3, votedFor: undefined }, snapshot, entries: [] }
  return new Replica({ id: 'a', random: new SeededRandom(seed), recovered, timing: TIMING })
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
test('a restarted replica without a leader requests pre-votes after the first election timeout', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const requestMs = firstPreVoteRequestMs(makeReplica(seed), () => undefined)
    expect(requestMs).toBeGreaterThanOrEqual(150)
    expect(requestMs).toBeLessThanOrEqual(320)
  }
})

test('the usual election timeout applies after a heartbeat', () => {
  const heartbeat: AgreementMessage = {
    type: 'append', term: 3, prevIndex: 0, prevTerm: 0, entries: [], commit: 0, round: 1, sentAtMs: 0
  }
  for (let seed = 1; seed <= 20; seed++) {
    const requestMs = firstPreVoteRequestMs(makeReplica(seed), nowMs => nowMs === 100 ? heartbeat : undefined)
    expect(requestMs).toBeGreaterThanOrEqual(600)
  }
})
