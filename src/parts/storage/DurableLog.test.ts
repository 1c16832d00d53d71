import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { LogEntry } from '../agreement/Types.js'
import { SeededRandom } from '../SeededRandom.js'
import { DurableLog } from './DurableLog.js'
import { MemoryDisk } from './MemoryDisk.js'
import { StorageFault } from './StorageFault.js'
import type { Disk, OpenResult, PersistRequest } from './Types.js'

const SEED = 7
const IDENTITY = 'c1~abc'

/** State that a log must recover. */
interface LogState {
  readonly term: number
  readonly entries: readonly LogEntry[]
  readonly snapshotIndex: number
}

type Step =
  | { readonly op: 'append', readonly count: number }
  | { readonly op: 'truncate', readonly keep: number }
  | { readonly op: 'vote' }
  /** With `appended`, the snapshot is written in parts, and that many entries are appended meanwhile. */
  | { readonly op: 'snapshot', readonly back: number, readonly appended?: number | undefined }
  | { readonly op: 'flush' }

const steps = fc.array(fc.oneof<fc.Arbitrary<Step>[]>(
  fc.record({ op: fc.constant('append' as const), count: fc.integer({ min: 1, max: 4 }) }),
  fc.record({ op: fc.constant('truncate' as const), keep: fc.nat({ max: 3 }) }),
  fc.constant({ op: 'vote' as const }),
  fc.record({
    op: fc.constant('snapshot' as const), back: fc.nat({ max: 3 }), appended: fc.option(fc.nat({ max: 2 }), { nil: undefined })
  }),
  fc.constant({ op: 'flush' as const })
), { minLength: 1, maxLength: 25 })

/** Runs steps on a log and tracks the states that it may recover: as of the last flush, and as of each step since. */
class LogDriver {
  public readonly log: DurableLog
  /** State as of the last flush. */
  public kept: LogState = { term: 0, entries: [], snapshotIndex: 0 }
  private _stagedState: LogState = this.kept
  private _sequence = 0

  public constructor (public readonly disk = new MemoryDisk(), logDisk: Disk = disk) {
    this.log = new DurableLog(logDisk)
    this.log.create(IDENTITY)
  }

  /** All states that a power cut may leave: the flushed one, or one as of a later step. */
  public readonly possibleStates: LogState[] = [this.kept]

  public run (step: Step): void {
    if (step.op === 'flush') {
      this.log.flush()
      this.kept = this._stagedState
      this.possibleStates.splice(0, this.possibleStates.length, this.kept)
      return
    }
    const { term, entries, snapshotIndex } = this._stagedState
    const last = entries.at(-1)?.index ?? snapshotIndex
    if (step.op === 'vote') return this._vote(term + 1)
    if (step.op === 'append') return this._append(step.count, last)
    if (step.op === 'truncate') return this._truncate(Math.max(snapshotIndex, last - step.keep) + 1)
    this._snapshot(Math.max(snapshotIndex, last - step.back), step.appended)
  }

  private _vote (term: number): void {
    this._stage({ hard: { term, votedFor: 'c2' } }, { ...this._stagedState, term })
  }

  private _append (count: number, last: number): void {
    for (let i = 1; i <= count; i++) {
      const entry = entryAt(last + i, this._stagedState.term)
      this._stage({ entries: [entry] }, { ...this._stagedState, entries: [...this._stagedState.entries, entry] })
    }
  }

  private _truncate (from: number): void {
    const entries = this._stagedState.entries.filter(entry => entry.index < from)
    this._stage({ truncateFrom: from }, { ...this._stagedState, entries })
  }

  private _snapshot (index: number, appended: number | undefined): void {
    if (index <= this._stagedState.snapshotIndex) return
    if (appended !== undefined) {
      this.log.beginSnapshot(index)
      this.log.addSnapshotChunk(Uint8Array.of(index))
      this._append(appended, this._stagedState.entries.at(-1)!.index)
    }
    const entries = this._stagedState.entries.filter(entry => entry.index > index)
    const term = this._stagedState.entries.find(entry => entry.index === index)!.term
    const snapshot = { index, term, members: ['c1'], data: Uint8Array.of(index) }
    this._stage({ snapshot }, { ...this._stagedState, entries, snapshotIndex: index })
  }

  private _stage (change: Partial<PersistRequest>, after: LogState): void {
    this._stagedState = after
    this.possibleStates.push(after)
    this.log.stage({ sequence: ++this._sequence, entries: [], ...change })
  }
}

function entryAt (index: number, term: number): LogEntry {
  return { index, term, kind: 'command', data: Uint8Array.of(index, term) }
}

function recoveredState (opened: OpenResult): LogState {
  if (opened.type !== 'recovered') throw new Error(`opened as ${JSON.stringify(opened)}`)
  const { hard, entries, snapshot } = opened.state
  const copies = entries.map(entry => ({ ...entry, data: Uint8Array.from(entry.data) }))
  return { term: hard.term, entries: copies, snapshotIndex: snapshot.index }
}

function createFlushedLog (count: number): LogDriver {
  const driver = new LogDriver()
  for (let i = 0; i < count; i++) {
    driver.run({ op: 'append', count: 1 })
    driver.run({ op: 'flush' })
  }
  return driver
}

function newestSegment (disk: MemoryDisk): string {
  return disk.list().filter(file => file.startsWith('log-')).sort().at(-1)!
}

/** Wraps a disk so that every call fails after a number of operations, as at a power cut. */
function failAfter (disk: MemoryDisk, operations: number): Disk {
  let remaining = operations
  return new Proxy(disk, {
    get: (target, name: keyof MemoryDisk) => {
      const member = target[name]
      if (typeof member !== 'function') return member
      return (...args: unknown[]) => {
        if (remaining-- <= 0) throw new Error('power cut')
        return (member as (...args: unknown[]) => unknown).apply(target, args)
      }
    }
  })
}

/** After a power cut at any operation the log recovers all flushed records, and a second power cut changes nothing. */
function survivesPowerCut (makeDisk: () => MemoryDisk): fc.IProperty<[Step[], number, number]> {
  return fc.property(steps, fc.nat(), fc.integer({ min: 30, max: 150 }), (list, seed, operations) => {
    const disk = makeDisk()
    const driver = new LogDriver(disk, failAfter(disk, operations))
    try {
      list.forEach(step => driver.run(step))
    } catch (error) {
      expect((error as Error).message).toContain('power cut')
    }
    disk.crash(new SeededRandom(seed))
    const recovered = recoveredState(new DurableLog(disk).open())
    expect(driver.possibleStates).toContainEqual(recovered)
    disk.crash(new SeededRandom(seed + 1))
    expect(recoveredState(new DurableLog(disk).open())).toEqual(recovered)
  })
}

test('a power cut loses nothing that was flushed', () => {
  fc.assert(survivesPowerCut(() => new MemoryDisk()), { seed: SEED, numRuns: 2000 })
})

// A replica that is killed while it creates its log would otherwise take part in no group for good.
test('a process that ends at any operation of create leaves an empty log or the new one', () => {
  const results = new Set<string>()
  for (let operations = 0; operations < 40; operations++) {
    for (const power of [true, false]) {
      for (let seed = 1; seed <= 20; seed++) {
        const disk = new MemoryDisk()
        try {
          new DurableLog(failAfter(disk, operations)).create(IDENTITY, ['c1', 'c2', 'c3'])
        } catch (error) {
          expect((error as Error).message).toContain('power cut')
        }
        if (power) disk.crash(new SeededRandom(seed))
        const log = new DurableLog(disk)
        const opened = log.open()
        results.add(opened.type)
        if (opened.type === 'empty') log.create('c1~def', ['c1'])
        const again = new DurableLog(disk).open()
        expect(again).toMatchObject({ type: 'recovered', founders: opened.type === 'empty' ? ['c1'] : ['c1', 'c2', 'c3'] })
      }
    }
  }
  expect([...results].sort()).toEqual(['empty', 'recovered'])
})

test('the founders are forgotten once the replica belongs to a group', () => {
  const disk = new MemoryDisk()
  const log = new DurableLog(disk)
  log.create(IDENTITY, ['c1', 'c2', 'c3'])
  log.stage({ sequence: 1, entries: [], snapshot: { index: 0, term: 0, members: ['c1~abc'], data: new Uint8Array(0) } })
  log.flush()
  const opened = new DurableLog(disk).open()
  expect(opened.type === 'recovered' && opened.founders).toBeUndefined()
})

// Each of the following disks skips one step of a durable write; the property must fail on each.
class NoFileSync extends MemoryDisk {
  public override sync (): void {}
}

class NoFolderSync extends MemoryDisk {
  public override syncFolder (): void {}
}

class NoTemporaryFile extends MemoryDisk {
  public override write (file: string, bytes: Uint8Array): void {
    super.write(file, bytes)
    if (file.endsWith('.tmp')) super.rename(file, file.replace('.tmp', ''))
  }

  public override rename (from: string, to: string): void {
    if (!from.endsWith('.tmp')) super.rename(from, to)
  }

  public override sync (file: string): void {
    super.sync(file.replace('.tmp', ''))
  }
}

for (const [name, Broken] of Object.entries({ NoFileSync, NoFolderSync, NoTemporaryFile })) {
  test(`detects a disk with the fault ${name}`, () => {
    expect(fc.check(survivesPowerCut(() => new Broken()), { seed: SEED, numRuns: 1500, endOnFailure: true }).failed)
      .toBe(true)
  })
}

// The page cache outlives the process, so all written bytes are found, also those that were not synced.
test('a process that is killed loses nothing that was flushed', () => {
  fc.assert(fc.property(steps, list => {
    const driver = new LogDriver()
    list.forEach(step => driver.run(step))
    driver.log.flush()
    driver.run({ op: 'flush' })
    expect(recoveredState(new DurableLog(driver.disk).open())).toEqual(driver.kept)
  }), { seed: SEED, numRuns: 500 })
})

// What a process has written outlives it in the page cache, but a power cut after its restart takes it.
test('what is recovered after a killed process survives a power cut', () => {
  const property = fc.property(steps, fc.nat(), fc.integer({ min: 14, max: 150 }), (list, seed, operations) => {
    const disk = new MemoryDisk()
    try {
      const driver = new LogDriver(disk, failAfter(disk, operations))
      list.forEach(step => driver.run(step))
    } catch (error) {
      expect((error as Error).message).toContain('power cut')
    }
    const log = new DurableLog(disk)
    const opened = log.open()
    if (opened.type === 'empty') return
    const recovered = recoveredState(opened)
    disk.crash(new SeededRandom(seed))
    expect(recoveredState(new DurableLog(disk).open())).toEqual(recovered)
  })
  fc.assert(property, { seed: SEED, numRuns: 2000 })
})

/** Runs a process until it ends at an operation of its disk. */
function stopsAt (run: () => void): void {
  try {
    run()
  } catch (error) {
    expect((error as Error).message).toContain('power cut')
  }
}

test('a log whose creation was interrupted still tells of what first group it is', () => {
  const found = new Set<string>()
  for (let operations = 1; operations < 30; operations++) {
    const disk = new MemoryDisk()
    stopsAt(() => new DurableLog(failAfter(disk, operations)).create(IDENTITY, ['c1', 'c2', 'c3']))
    const hasSegment = disk.list().some(file => /^log-\d+$/.test(file))
    const opened = new DurableLog(disk).open()
    found.add(`${opened.type} ${hasSegment}`)
    expect(opened).toMatchObject(hasSegment ? { founders: ['c1', 'c2', 'c3'] } : { type: 'empty' })
  }
  expect(found).toContain('empty true')
})

// A name is durable only after a sync of the folder, so the file that it replaces must not be removed before.
test('a power cut while a log is opened after a kill loses nothing that was flushed', () => {
  const kills = fc.integer({ min: 1, max: 40 })
  const cuts = fc.record({ kill: kills, power: fc.integer({ min: 1, max: 12 }), seed: fc.nat() })
  fc.assert(fc.property(cuts, ({ kill, power, seed }) => {
    const { disk } = createFlushedLog(3)
    const snapshot = { index: 2, term: 0, members: ['c1'], data: Uint8Array.of(9) }
    stopsAt(() => {
      const log = new DurableLog(failAfter(disk, kill))
      log.open()
      log.stage({ sequence: 4, entries: [], snapshot })
    })
    stopsAt(() => new DurableLog(failAfter(disk, power)).open())
    disk.crash(new SeededRandom(seed))
    expect(recoveredState(new DurableLog(disk).open()).entries.at(-1)?.index).toBe(3)
  }), { seed: SEED, numRuns: 2000 })
})

// The tries before left a part of the end record, or had renamed the file already; the log was damaged for good.
test('a snapshot that meets a full disk is completed once there is space', () => {
  const frees = fc.array(fc.nat({ max: 400 }), { minLength: 1, maxLength: 4 })
  fc.assert(fc.property(frees, fc.boolean(), (list, isKilled) => {
    const { log, disk } = createFlushedLog(3)
    const data = Uint8Array.of(1, 2, 3)
    log.beginSnapshot(2)
    log.addSnapshotChunk(data)
    const snapshot = { index: 2, term: 0, members: ['c1'], data }
    for (const freeBytes of isKilled ? list : [...list, Infinity]) {
      disk.faults.freeBytes = freeBytes
      try {
        log.stage({ sequence: 4, entries: [], snapshot })
        break
      } catch (error) {
        expect(error).toMatchObject({ failure: 'full' })
      }
    }
    const found = recoveredState(new DurableLog(disk).open())
    if (!isKilled) expect(found.snapshotIndex).toBe(2)
    expect(found.entries.at(-1)?.index).toBe(3)
  }), { seed: SEED, numRuns: 300 })
})

// A log that an interrupted create left behind may be longer than the one that replaces it.
test('the synced length of another identity proves nothing', () => {
  const disk = new MemoryDisk()
  new DurableLog(disk).create('a-much-longer-name~abc')
  const synced = disk.read('synced')
  disk.wipe()
  new DurableLog(disk).create(IDENTITY)
  disk.write('synced', synced)
  expect(new DurableLog(disk).open().type).toBe('recovered')
})

test('any flipped bit of synced data is reported with its file', () => {
  fc.assert(fc.property(fc.nat(), fc.nat({ max: 7 }), fc.boolean(), (place, bit, inSnapshot) => {
    const { disk } = createFlushedLog(6)
    const file = inSnapshot ? disk.list().find(name => name.startsWith('snapshot-'))! : newestSegment(disk)
    disk.flipBit(file, place % disk.read(file).length, bit)
    const opened = new DurableLog(disk).open()
    expect(opened.type).toBe('corrupt')
    if (opened.type === 'corrupt') expect(opened.corruptions[0]!.file).toBe(file)
  }), { seed: SEED, numRuns: 1000 })
})

// The later batches alone prove that the record was synced, so it must not be truncated as a torn write.
test('a flipped bit before later batches is reported without the file of the synced length', () => {
  const { disk } = createFlushedLog(6)
  const file = newestSegment(disk)
  const length = disk.read(file).length
  const recordBytes = 60
  disk.remove('synced')
  disk.flipBit(file, length - 4 * recordBytes, 3)
  const opened = new DurableLog(disk).open()
  expect(opened).toMatchObject({ type: 'corrupt', corruptions: [{ file }] })
  if (opened.type === 'corrupt') expect(opened.corruptions[0]!.offset).toBeGreaterThan(0)
})

test('truncated synced data is reported with its file', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 200 }), cut => {
    const { disk } = createFlushedLog(6)
    const file = newestSegment(disk)
    disk.truncate(file, disk.read(file).length - cut)
    expect(new DurableLog(disk).open()).toMatchObject({ type: 'corrupt', corruptions: [{ file }] })
  }), { seed: SEED, numRuns: 100 })
})

test('a missing file is reported', () => {
  for (const prefix of ['log-', 'snapshot-']) {
    const { disk } = createFlushedLog(2)
    disk.remove(disk.list().find(name => name.startsWith(prefix))!)
    expect(new DurableLog(disk).open().type).toBe('corrupt')
  }
})

test('a flipped bit in the format version of the header is reported', () => {
  const { disk } = createFlushedLog(2)
  const file = newestSegment(disk)
  const bytes = disk.read(file)
  disk.flipBit(file, 11, 1)
  expect(new DurableLog(disk).open()).toMatchObject({ type: 'corrupt', corruptions: [{ file, offset: 0 }] })
  expect(bytes[11]).toBe(1)
})

test('a flush to a full disk fails, and succeeds once there is space', () => {
  fc.assert(fc.property(fc.nat({ max: 120 }), free => {
    const driver = createFlushedLog(3)
    driver.run({ op: 'append', count: 2 })
    driver.disk.faults.freeBytes = free
    const attempt = (): number => driver.log.flush()
    expect(attempt).toThrow(expect.objectContaining({ failure: 'full' }) as Error)
    expect(recoveredState(new DurableLog(driver.disk).open())).toEqual(driver.kept)
    driver.disk.faults.freeBytes = Infinity
    driver.run({ op: 'flush' })
    expect(recoveredState(new DurableLog(driver.disk).open())).toEqual(driver.kept)
  }), { seed: SEED, numRuns: 50 })
})

test('a full disk keeps the earlier snapshot', () => {
  fc.assert(fc.property(fc.nat({ max: 500 }), free => {
    const driver = createFlushedLog(3)
    const before = driver.kept
    driver.disk.faults.freeBytes = free
    let refused = false
    try {
      driver.run({ op: 'snapshot', back: 0 })
    } catch (error) {
      refused = error instanceof StorageFault && error.failure === 'full'
    }
    const found = recoveredState(new DurableLog(driver.disk).open())
    const possible = [before, { ...before, entries: [], snapshotIndex: 3 }]
    expect(possible).toContainEqual(found)
    if (!refused) expect(found.snapshotIndex).toBe(3)
  }), { seed: SEED, numRuns: 100 })
})

// After a failed sync the kernel may have dropped the unsynced pages, so a later sync that succeeds proves nothing.
test('every write fails after a failed sync', () => {
  const driver = createFlushedLog(2)
  driver.run({ op: 'append', count: 1 })
  driver.disk.faults.syncFails = true
  expect(() => driver.log.flush()).toThrow(expect.objectContaining({ failure: 'sync-failed' }) as Error)
  driver.disk.faults.syncFails = false
  expect(() => driver.log.flush()).toThrow(expect.objectContaining({ failure: 'sync-failed' }) as Error)
  expect(() => driver.run({ op: 'append', count: 1 })).toThrow(StorageFault)
})
