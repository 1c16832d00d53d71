import fc from 'fast-check'
import { expect, test } from 'vitest'
import { InvariantViolation } from '../../../bench/fuzz/GroupInvariants.js'
import { type GroupHooks, GroupRun, DEFAULT_GROUP_HOOKS } from '../../../bench/fuzz/GroupRun.js'
import { fineSchedules, type GroupSchedule, groupSchedules } from '../../../bench/fuzz/GroupSchedule.js'
import { Replica } from './Replica.js'
import type { AppendRequest, LogEntry, ReplicaOptions } from './Types.js'

const COARSE_RUNS = 1000
const FINE_RUNS = 1500
const SEEDS = [11, 12, 13, 14]

function invariantsHold (schedules: fc.Arbitrary<GroupSchedule>, parts: GroupHooks): fc.IProperty<[GroupSchedule]> {
  return fc.property(schedules, schedule => new GroupRun(schedule, parts).run())
}

for (const seed of SEEDS) {
  test(`invariants hold over random schedules, seed ${seed}`, () => {
    fc.assert(invariantsHold(groupSchedules, DEFAULT_GROUP_HOOKS), { seed, numRuns: COARSE_RUNS })
    fc.assert(invariantsHold(fineSchedules, DEFAULT_GROUP_HOOKS), { seed, numRuns: FINE_RUNS })
  })
}

test('invariants hold when a member learns of its group after the first commits', () => {
  const hooks = { ...DEFAULT_GROUP_HOOKS, lateMembers: 1 }
  fc.assert(invariantsHold(groupSchedules, hooks), { seed: 15, numRuns: COARSE_RUNS })
  fc.assert(invariantsHold(fineSchedules, hooks), { seed: 15, numRuns: COARSE_RUNS })
})

/** Private members of the replica's modules that the faults replace. */
interface Internals {
  readonly _state: {
    readonly id: string
    readonly log: {
      readonly lastIndex: number
      termAt (index: number): number | undefined
      append (entry: LogEntry): void
    }
    readonly commitIndex: number
    readonly term: number
    readonly role: string
    emit (action: object): void
    persist (request: object): void
  }
  readonly _election: { _isUpToDate (): boolean, _hasQuorum (): boolean }
  readonly _replication: {
    _commitByQuorum (): void
    _syncedIndex (id: string): number
    matchIndex (id: string): number
  }
  readonly _reads: { read (id: number): void, _hasCommittedInTerm (): boolean }
  readonly _membershipChange: { readonly _addition: unknown, _acceptsChange (): boolean }
  readonly _followerLog: {
    _replyConflict (to: string, message: AppendRequest): void
    _replySuccess (to: string, message: AppendRequest, match: number): void
    _store (entries: LogEntry[]): void
  }
  readonly _transfer: { onChunk (from: string, chunk: object): void }
}

/** Returns parts whose replicas get a fault after construction. */
function withFault (change: (internals: Internals) => void): GroupHooks {
  const makeReplica = (options: ReplicaOptions): Replica => {
    const replica = new Replica(options)
    change(replica as unknown as Internals)
    return replica
  }
  return { ...DEFAULT_GROUP_HOOKS, makeReplica }
}

/** A deliberate fault, and the schedule that must detect it: number `run` of those generated from `FAULT_SEED`. */
interface Fault {
  readonly name: string
  readonly schedules: fc.Arbitrary<GroupSchedule>
  readonly run: number
  readonly parts: GroupHooks
}

// Each fault removes one rule of the algorithm. The schedule must hold with sound parts and break an invariant with it.
const FAULT_SEED = 1

const FAULTS: readonly Fault[] = [
  {
    name: 'vote and acknowledge before sync',
    schedules: groupSchedules,
    run: 4705,
    parts: { ...DEFAULT_GROUP_HOOKS, reportsSyncEarly: true }
  },
  {
    name: 'wiped replica votes under its old identity',
    schedules: groupSchedules,
    run: 19,
    parts: {
      ...DEFAULT_GROUP_HOOKS,
      identityAfterWipe: (_slot, _life, before) => before,
      membersAfterWipe: founders => founders
    }
  },
  {
    name: 'vote forgotten at restart',
    schedules: fineSchedules,
    run: 48819,
    parts: { ...DEFAULT_GROUP_HOOKS, recover: state => ({ ...state, hard: { ...state.hard, votedFor: undefined } }) }
  },
  {
    name: 'term forgotten at restart',
    schedules: groupSchedules,
    run: 20,
    parts: { ...DEFAULT_GROUP_HOOKS, recover: state => ({ ...state, hard: { term: 0, votedFor: undefined } }) }
  },
  {
    name: 'lost proposal reported as not run',
    schedules: groupSchedules,
    run: 10,
    parts: { ...DEFAULT_GROUP_HOOKS, onAction: action => action.type === 'rejected' ? { ...action, state: 'not-run' } : action }
  },
  {
    name: 'read without quorum',
    schedules: groupSchedules,
    run: 33,
    parts: withFault(({ _state, _reads }) => {
      _reads.read = id => {
        if (_state.role === 'leader') _state.emit({ type: 'readable', id, index: _state.commitIndex })
      }
    })
  },
  {
    name: 'read before an entry of the own term is committed',
    schedules: groupSchedules,
    run: 33,
    parts: withFault(({ _reads }) => { _reads._hasCommittedInTerm = () => true })
  },
  {
    name: 'entries of an earlier term committed by counting copies',
    schedules: groupSchedules,
    run: 1714,
    parts: withFault(({ _state, _replication }) => {
      const { log } = _state
      const original = _replication._commitByQuorum.bind(_replication)
      const termAt = log.termAt.bind(log)
      _replication._commitByQuorum = () => {
        log.termAt = index => termAt(index) === undefined ? undefined : _state.term
        original()
        log.termAt = termAt
      }
    })
  },
  {
    name: 'vote for a log that lacks entries',
    schedules: groupSchedules,
    run: 29,
    parts: withFault(({ _election }) => { _election._isUpToDate = () => true })
  },
  {
    name: 'append acknowledged without the entry before it',
    schedules: groupSchedules,
    run: 34,
    parts: withFault(({ _followerLog }) => {
      _followerLog._replyConflict = (to, message) => {
        _followerLog._replySuccess(to, message, message.prevIndex + message.entries.length)
      }
    })
  },
  {
    name: 'conflicting entries kept',
    schedules: groupSchedules,
    run: 95,
    parts: withFault(({ _state, _followerLog }) => {
      _followerLog._store = entries => {
        const missing = entries.filter(entry => entry.index > _state.log.lastIndex)
        missing.forEach(entry => _state.log.append(entry))
        if (missing.length > 0) _state.persist({ entries: missing })
      }
    })
  },
  {
    name: 'leader counts its own entries before sync',
    schedules: fineSchedules,
    run: 262,
    parts: withFault(({ _state, _replication }) => {
      _replication._syncedIndex = id => id === _state.id ? _state.log.lastIndex : _replication.matchIndex(id)
    })
  },
  {
    name: 'membership change before the previous one is committed',
    schedules: groupSchedules,
    run: 3712,
    parts: withFault(({ _membershipChange }) => {
      _membershipChange._acceptsChange = () => _membershipChange._addition === undefined
    })
  },
  {
    name: 'older snapshot restored over newer state',
    schedules: groupSchedules,
    run: 13337,
    parts: withFault(({ _state, _transfer }) => {
      const original = _transfer.onChunk.bind(_transfer)
      _transfer.onChunk = (from, chunk) => {
        Object.defineProperty(_state, 'commitIndex', { value: 0, configurable: true })
        original(from, chunk)
        Reflect.deleteProperty(_state, 'commitIndex')
      }
    })
  },
  {
    name: 'election without quorum',
    schedules: groupSchedules,
    run: 0,
    parts: withFault(({ _election }) => { _election._hasQuorum = () => true })
  }
]

for (const { name, schedules, run, parts } of FAULTS) {
  test(`detects fault: ${name}`, () => {
    const options = { seed: FAULT_SEED, path: String(run), endOnFailure: true }
    expect(fc.check(invariantsHold(schedules, DEFAULT_GROUP_HOOKS), options).failed).toBe(false)
    expect(fc.check(invariantsHold(schedules, parts), options).errorInstance).toBeInstanceOf(InvariantViolation)
  })
}
