import { expect, test } from 'vitest'
import { DEFAULT_LIMITS } from '../parts/agreement/Constants.js'
import type { AppendRequest, LogEntry } from '../parts/agreement/Types.js'
import { SeededRandom } from '../parts/SeededRandom.js'
import { DurableLog } from '../parts/storage/DurableLog.js'
import { MemoryDisk } from '../parts/storage/MemoryDisk.js'
import type { Clock } from '../runtime/Types.js'
import { ReplicaHost } from './ReplicaHost.js'
import type { StateMachine } from './StateMachine.js'

const BYTES_PER_MB = 1024 * 1024

/** State machine that counts the commands it has applied. */
class Counter implements StateMachine<number> {
  public count = 0

  public apply (): number {
    return ++this.count
  }

  public * snapshot (): Generator<Uint8Array> {
    const { count } = this
    yield Uint8Array.of(count >> 8)
    yield Uint8Array.of(count & 0xff)
  }

  public restore (data: Uint8Array): void {
    this.count = data.length === 0 ? 0 : (data[0]! << 8) | data[1]!
  }
}

/** Clock that advances by a second at each call, so that elections don't depend on real time. */
class FastClock implements Clock {
  private _now = 0

  public nowMs (): number {
    this._now += 1000
    return this._now
  }

  public wallMs (): number {
    return 0
  }
}

interface Fixture {
  readonly host: ReplicaHost<number>
  readonly stateMachine: Counter
  readonly fault: Promise<Error>
}

/** Starts a replica on an in-memory disk: of a group of one, unless it knows other members or none yet. */
function startHost (disk: MemoryDisk, snapshotAfterBytes = 1e9, members: readonly string[] = ['c1~a']): Fixture {
  const log = new DurableLog(disk)
  const opened = log.open()
  if (opened.type === 'empty') log.create('c1~a')
  const empty = { index: 0, term: 0, members, data: new Uint8Array(0) }
  const fresh = { hard: { term: 0, votedFor: undefined }, snapshot: empty, entries: [] }
  const stateMachine = new Counter()
  let onFault: (error: Error) => void = () => {}
  const fault = new Promise<Error>(resolve => { onFault = resolve })
  const host = new ReplicaHost<number>({
    id: 'c1~a',
    recovered: opened.type === 'recovered' && opened.state.snapshot.index > 0 ? opened.state : fresh,
    isCorrupt: false,
    log,
    stateMachine,
    clock: new FastClock(),
    random: new SeededRandom(1),
    timing: {},
    tickMs: 1,
    snapshotAfterBytes,
    send: () => {},
    onFault
  })
  host.start()
  return { host, stateMachine, fault }
}

/** Proposes until the replica leads and accepts the proposal. */
async function proposeUntilApplied (host: ReplicaHost<number>): Promise<number> {
  for (;;) {
    const outcome = await host.propose(Uint8Array.of(1))
    if (outcome.type === 'applied') return outcome.reply
    await new Promise(resolve => setImmediate(resolve))
  }
}

// While the disk is full, a new proposal must fail as not run so that the caller may retry it, and one that is already
// staged must be kept and applied once there is space again.
test('a full disk rejects proposals as not run until there is space again', async () => {
  const disk = new MemoryDisk()
  const { host, stateMachine } = startHost(disk)
  const countBefore = await proposeUntilApplied(host)
  disk.faults.freeBytes = 0
  const blocked = host.propose(Uint8Array.of(1))
  while (!host.diskFull) await new Promise(resolve => setImmediate(resolve))
  expect(await host.propose(Uint8Array.of(1))).toEqual({ type: 'rejected', state: 'not-run' })
  expect(stateMachine.count).toBe(countBefore)
  disk.faults.freeBytes = Infinity
  expect(await blocked).toEqual({ type: 'applied', reply: countBefore + 1 })
  host.dispose()
})

// After a failed sync it is unknown what is on disk. A proposal that was reported as applied could be lost.
test('a failed sync stops the host before any proposal settles', async () => {
  const disk = new MemoryDisk()
  const { host, stateMachine, fault } = startHost(disk)
  const countBefore = await proposeUntilApplied(host)
  disk.faults.syncFails = true
  let isSettled = false
  host.propose(Uint8Array.of(1)).then(() => { isSettled = true }, () => {})
  expect(await fault).toMatchObject({ failure: 'sync-failed' })
  expect([isSettled, stateMachine.count]).toEqual([false, countBefore])
  host.dispose()
})

// A snapshot that blocked proposals, or that missed entries applied while it was written, would stall the group or lose
// commands after a restart.
test('proposals are applied while snapshots are written', async () => {
  const disk = new MemoryDisk()
  const firstRun = startHost(disk, 400)
  for (let count = 0; count < 300; count++) await proposeUntilApplied(firstRun.host)
  while (firstRun.host.view.snapshotIndex < 200) await proposeUntilApplied(firstRun.host)
  const { count: countBefore } = firstRun.stateMachine
  firstRun.host.dispose()
  const secondRun = startHost(disk)
  expect(await proposeUntilApplied(secondRun.host)).toBeGreaterThan(countBefore)
  secondRun.host.dispose()
})

// A snapshot needs more disk space than the next log entries, so its failure must not make the host reject proposals.
test('proposals are applied after a snapshot failed because the disk was full', async () => {
  const disk = new MemoryDisk()
  const { host } = startHost(disk, 1)
  await proposeUntilApplied(host)
  disk.write = (file, bytes) => {
    if (file.startsWith('snapshot-')) disk.faults.freeBytes = 0
    try {
      MemoryDisk.prototype.write.call(disk, file, bytes)
    } finally {
      disk.faults.freeBytes = Infinity
    }
  }
  const countBefore = await proposeUntilApplied(host)
  for (let count = 1; count <= 20; count++) expect(await proposeUntilApplied(host)).toBe(countBefore + count)
  host.dispose()
})

test('the log has room for large commands without end, since compaction also bounds the bytes that it retains', async () => {
  const { host } = startHost(new MemoryDisk(), 8 * BYTES_PER_MB)
  await proposeUntilApplied(host)
  const command = new Uint8Array(BYTES_PER_MB / 2)
  for (let bytes = 0; bytes < 2 * DEFAULT_LIMITS.maxLogBytes; bytes += command.length) {
    expect(await host.propose(command)).toMatchObject({ type: 'applied' })
  }
  host.dispose()
})

test('a replica that learns of its group after the first commits keeps the state that they led to', async () => {
  const { host, stateMachine } = startHost(new MemoryDisk(), 1e9, [])
  const entry = (index: number, kind: LogEntry['kind']): LogEntry => ({ index, term: 1, kind, data: Uint8Array.of(1) })
  const append = (prevIndex: number, entries: readonly LogEntry[]): AppendRequest => ({
    type: 'append', term: 1, prevIndex, prevTerm: Math.min(prevIndex, 1), entries, commit: prevIndex + entries.length, round: 1, sentAtMs: 1
  })
  host.receive('c2~b', append(0, [entry(1, 'empty'), entry(2, 'command')]))
  host.formGroup(['c1~a', 'c2~b', 'c3~c'])
  host.receive('c2~b', append(2, [entry(3, 'command')]))
  while (host.view.commitIndex < 3) await new Promise(resolve => setImmediate(resolve))
  expect([host.view.members.length, host.appliedIndex]).toEqual([3, 3])
  expect(stateMachine.count).toBe(2)
  host.dispose()
})
