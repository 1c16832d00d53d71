import fc from 'fast-check'
import { expect, test } from 'vitest'
import { InvariantBroken } from '../../../bench/fuzz/GroupInvariants.js'
import { type GroupParts, GroupRun, SOUND_PARTS } from '../../../bench/fuzz/GroupRun.js'
import { groupSchedules } from '../../../bench/fuzz/GroupSchedule.js'
import { Replica } from './Replica.js'
import type { AppendRequest, LogEntry, ReplicaOptions } from './Types.js'

const SOUND_RUNS_PER_SEED = 2500
const SOUND_SEEDS = [11, 12, 13, 14]

for (const seed of SOUND_SEEDS) {
  test(`promises hold, seed ${seed}`, () => {
    const property = fc.property(groupSchedules, schedule => new GroupRun(schedule).run())
    fc.assert(property, { seed, numRuns: SOUND_RUNS_PER_SEED })
  })
}

/** What a fault reaches into; names of private members of the modules. */
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
    persist (what: object): void
  }
  readonly _election: { _isUpToDate (): boolean, _hasQuorum (): boolean }
  readonly _replication: { _commitByQuorum (): void, _syncedBy (id: string): number, matchOf (id: string): number }
  readonly _reads: { read (id: number): void, _ownTermCommitted (): boolean }
  readonly _membership: { readonly _catchUp: unknown, _isSettled (): boolean }
  readonly _followerLog: {
    _refuse (to: string, message: AppendRequest): void
    _answer (to: string, message: AppendRequest, match: number): void
    _store (entries: LogEntry[]): void
  }
  readonly _transfer: { onPart (from: string, part: object): void }
}

/** Parts whose replicas are changed after they are built. */
function changed (change: (internals: Internals) => void): GroupParts {
  const makeReplica = (options: ReplicaOptions): Replica => {
    const replica = new Replica(options)
    change(replica as unknown as Internals)
    return replica
  }
  return { ...SOUND_PARTS, makeReplica }
}

/** A deliberate fault, and the seed within whose runs it must be found. */
interface Fault {
  readonly name: string
  readonly seed: number
  readonly runs: number
  readonly parts: GroupParts
}

const FAULTS: readonly Fault[] = [
  {
    name: 'vote and acknowledge before sync',
    seed: 1,
    runs: 2000,
    parts: { ...SOUND_PARTS, reportsSyncEarly: true }
  },
  {
    name: 'empty replica votes under its old identity',
    seed: 1,
    runs: 2000,
    parts: {
      ...SOUND_PARTS,
      identityAfterWipe: (_slot, _life, before) => before,
      membersAfterWipe: founders => founders
    }
  },
  {
    name: 'vote forgotten at restart',
    seed: 1,
    runs: 2000,
    parts: { ...SOUND_PARTS, recover: state => ({ ...state, hard: { ...state.hard, votedFor: undefined } }) }
  },
  {
    name: 'term forgotten at restart',
    seed: 1,
    runs: 2000,
    parts: { ...SOUND_PARTS, recover: state => ({ ...state, hard: { term: 0, votedFor: undefined } }) }
  },
  {
    name: 'lost proposal told as not run',
    seed: 1,
    runs: 2000,
    parts: { ...SOUND_PARTS, onAction: action => action.type === 'rejected' ? { ...action, state: 'not-run' } : action }
  },
  {
    name: 'read without quorum',
    seed: 1,
    runs: 2000,
    parts: changed(({ _state, _reads }) => {
      _reads.read = id => {
        if (_state.role === 'leader') _state.emit({ type: 'readable', id, index: _state.commitIndex })
      }
    })
  },
  {
    name: 'read before an entry of the own term is committed',
    seed: 1,
    runs: 2000,
    parts: changed(({ _reads }) => { _reads._ownTermCommitted = () => true })
  },
  {
    name: 'entries of an earlier term committed by counting',
    seed: 1,
    runs: 2000,
    parts: changed(({ _state, _replication }) => {
      const { log } = _state
      const sound = _replication._commitByQuorum.bind(_replication)
      const termAt = log.termAt.bind(log)
      _replication._commitByQuorum = () => {
        log.termAt = index => termAt(index) === undefined ? undefined : _state.term
        sound()
        log.termAt = termAt
      }
    })
  },
  {
    name: 'vote for a log that lacks entries',
    seed: 1,
    runs: 2000,
    parts: changed(({ _election }) => { _election._isUpToDate = () => true })
  },
  {
    name: 'append acknowledged without the entry before it',
    seed: 1,
    runs: 2000,
    parts: changed(({ _followerLog }) => {
      _followerLog._refuse = (to, message) => {
        _followerLog._answer(to, message, message.prevIndex + message.entries.length)
      }
    })
  },
  {
    name: 'conflicting entries kept',
    seed: 1,
    runs: 2000,
    parts: changed(({ _state, _followerLog }) => {
      _followerLog._store = entries => {
        const missing = entries.filter(entry => entry.index > _state.log.lastIndex)
        missing.forEach(entry => _state.log.append(entry))
        if (missing.length > 0) _state.persist({ entries: missing })
      }
    })
  },
  {
    name: 'leader counts its own entries before sync',
    seed: 1,
    runs: 2000,
    parts: changed(({ _state, _replication }) => {
      _replication._syncedBy = id => id === _state.id ? _state.log.lastIndex : _replication.matchOf(id)
    })
  },
  {
    name: 'membership change over an uncommitted one',
    seed: 1,
    runs: 2000,
    parts: changed(({ _membership }) => { _membership._isSettled = () => _membership._catchUp === undefined })
  },
  {
    name: 'older snapshot taken over newer state',
    seed: 1,
    runs: 2000,
    parts: changed(({ _state, _transfer }) => {
      const sound = _transfer.onPart.bind(_transfer)
      _transfer.onPart = (from, part) => {
        Object.defineProperty(_state, 'commitIndex', { value: 0, configurable: true })
        sound(from, part)
        Reflect.deleteProperty(_state, 'commitIndex')
      }
    })
  },
  {
    name: 'election without quorum',
    seed: 1,
    runs: 2000,
    parts: changed(({ _election }) => { _election._hasQuorum = () => true })
  }
]

for (const { name, seed, runs, parts } of FAULTS) {
  test(`found: ${name}, seed ${seed}`, () => {
    const property = fc.property(groupSchedules, schedule => new GroupRun(schedule, parts).run())
    const details = fc.check(property, { seed, numRuns: Number(process.env['DISCOVER'] ?? runs), endOnFailure: true })
    if (process.env['DISCOVER']) console.log(name, '|', details.failed, details.numRuns, details.counterexamplePath, details.errorInstance?.toString().slice(0, 150))
    expect(details.failed).toBe(true)
    expect(details.errorInstance).toBeInstanceOf(InvariantBroken)
  })
}
