import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { LogEntry } from '../agreement/Types.js'
import { SeededRandom } from '../SeededRandom.js'
import { DurableLog } from './DurableLog.js'
import { MemoryDisk } from './MemoryDisk.js'
import { StorageFault } from './StorageFault.js'
import type { Disk, Opened, Persistence } from './Types.js'

const SEED = 7
const IDENTITY = 'c1~abc'

/** What a log must hold after everything that was flushed. */
interface Expected {
  readonly term: number
  readonly entries: readonly LogEntry[]
  readonly snapshotIndex: number
}

type Step =
  | { readonly op: 'append', readonly count: number }
  | { readonly op: 'truncate', readonly keep: number }
  | { readonly op: 'vote' }
  | { readonly op: 'snapshot', readonly back: number }
  | { readonly op: 'flush' }

const steps = fc.array(fc.oneof<fc.Arbitrary<Step>[]>(
  fc.record({ op: fc.constant('append' as const), count: fc.integer({ min: 1, max: 4 }) }),
  fc.record({ op: fc.constant('truncate' as const), keep: fc.nat({ max: 3 }) }),
  fc.constant({ op: 'vote' as const }),
  fc.record({ op: fc.constant('snapshot' as const), back: fc.nat({ max: 3 }) }),
  fc.constant({ op: 'flush' as const })
), { minLength: 1, maxLength: 25 })

/** Drives a log and keeps what it must hold: after the last flush, and after all that was staged. */
class Writer {
  public readonly log: DurableLog
  public kept: Expected = { term: 0, entries: [], snapshotIndex: 0 }
  private _staged: Expected = this.kept
  private _sequence = 0

  public constructor (public readonly disk = new MemoryDisk(), seenByLog: Disk = disk) {
    this.log = new DurableLog(seenByLog)
    this.log.create(IDENTITY)
  }

  /** All states that a power cut may leave: what was flushed, or that with some of what was staged since. */
  public readonly possible: Expected[] = [this.kept]

  public do (step: Step): void {
    if (step.op === 'flush') {
      this.log.flush()
      this.kept = this._staged
      this.possible.splice(0, this.possible.length, this.kept)
      return
    }
    const { term, entries, snapshotIndex } = this._staged
    const last = entries.at(-1)?.index ?? snapshotIndex
    if (step.op === 'vote') return this._vote(term + 1)
    if (step.op === 'append') return this._append(step.count, last)
    if (step.op === 'truncate') return this._truncate(Math.max(snapshotIndex, last - step.keep) + 1)
    this._snapshot(Math.max(snapshotIndex, last - step.back))
  }

  private _vote (term: number): void {
    this._stage({ hard: { term, votedFor: 'c2' } }, { ...this._staged, term })
  }

  private _append (count: number, last: number): void {
    for (let i = 1; i <= count; i++) {
      const entry = entryAt(last + i, this._staged.term)
      this._stage({ entries: [entry] }, { ...this._staged, entries: [...this._staged.entries, entry] })
    }
  }

  private _truncate (from: number): void {
    const entries = this._staged.entries.filter(entry => entry.index < from)
    this._stage({ truncateFrom: from }, { ...this._staged, entries })
  }

  private _snapshot (index: number): void {
    if (index <= this._staged.snapshotIndex) return
    const entries = this._staged.entries.filter(entry => entry.index > index)
    const term = this._staged.entries.find(entry => entry.index === index)!.term
    const snapshot = { index, term, members: ['c1'], data: Uint8Array.of(index) }
    this._stage({ snapshot }, { ...this._staged, entries, snapshotIndex: index })
  }

  private _stage (what: Partial<Persistence>, after: Expected): void {
    this._staged = after
    this.possible.push(after)
    this.log.stage({ sequence: ++this._sequence, entries: [], ...what })
  }
}

function entryAt (index: number, term: number): LogEntry {
  return { index, term, kind: 'command', data: Uint8Array.of(index, term) }
}

function contentOf (opened: Opened): Expected {
  if (opened.type !== 'recovered') throw new Error(`opened as ${JSON.stringify(opened)}`)
  const { hard, entries, snapshot } = opened.state
  const copies = entries.map(entry => ({ ...entry, data: Uint8Array.from(entry.data) }))
  return { term: hard.term, entries: copies, snapshotIndex: snapshot.index }
}

function flushed (count: number): Writer {
  const writer = new Writer()
  for (let i = 0; i < count; i++) {
    writer.do({ op: 'append', count: 1 })
    writer.do({ op: 'flush' })
  }
  return writer
}

function logFile (disk: MemoryDisk): string {
  return disk.list().filter(file => file.startsWith('log-')).sort().at(-1)!
}

/** A disk whose power fails in the middle of its work. */
function dying (disk: MemoryDisk, operations: number): Disk {
  let left = operations
  return new Proxy(disk, {
    get: (target, name: keyof MemoryDisk) => {
      const member = target[name]
      if (typeof member !== 'function') return member
      return (...args: unknown[]) => {
        if (left-- <= 0) throw new Error('power cut')
        return (member as (...args: unknown[]) => unknown).apply(target, args)
      }
    }
  })
}

/** A power cut at any operation leaves what was flushed, and a second one changes nothing. */
function surviving (makeDisk: () => MemoryDisk): fc.IProperty<[Step[], number, number]> {
  return fc.property(steps, fc.nat(), fc.integer({ min: 30, max: 150 }), (list, seed, operations) => {
    const disk = makeDisk()
    const writer = new Writer(disk, dying(disk, operations))
    try {
      list.forEach(step => writer.do(step))
    } catch (error) {
      expect((error as Error).message).toContain('power cut')
    }
    disk.crash(new SeededRandom(seed))
    const found = contentOf(new DurableLog(disk).open())
    expect(writer.possible).toContainEqual(found)
    disk.crash(new SeededRandom(seed + 1))
    expect(contentOf(new DurableLog(disk).open())).toEqual(found)
  })
}

test('a power cut loses nothing that was flushed', () => {
  fc.assert(surviving(() => new MemoryDisk()), { seed: SEED, numRuns: 2000 })
})

/** Disks on which the log would be as if it left a step out. */
class NoFileSync extends MemoryDisk {
  public override sync (): void {}
}

class NoFolderSync extends MemoryDisk {
  public override syncFolder (): void {}
}

class NotAside extends MemoryDisk {
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

for (const [name, Broken] of Object.entries({ NoFileSync, NoFolderSync, NotAside })) {
  test(`found: ${name}`, () => {
    expect(fc.check(surviving(() => new Broken()), { seed: SEED, numRuns: 1500, endOnFailure: true }).failed).toBe(true)
  })
}

test('a process that dies loses nothing that was flushed', () => {
  fc.assert(fc.property(steps, list => {
    const writer = new Writer()
    list.forEach(step => writer.do(step))
    writer.log.flush()
    writer.do({ op: 'flush' })
    expect(contentOf(new DurableLog(writer.disk).open())).toEqual(writer.kept)
  }), { seed: SEED, numRuns: 500 })
})

test('any flipped bit of synced data is told with its file', () => {
  fc.assert(fc.property(fc.nat(), fc.nat({ max: 7 }), fc.boolean(), (place, bit, inSnapshot) => {
    const { disk } = flushed(6)
    const file = inSnapshot ? disk.list().find(name => name.startsWith('snapshot-'))! : logFile(disk)
    disk.flip(file, place % disk.read(file).length, bit)
    const opened = new DurableLog(disk).open()
    expect(opened.type).toBe('corrupt')
    if (opened.type === 'corrupt') expect(opened.corruptions[0]!.file).toBe(file)
  }), { seed: SEED, numRuns: 1000 })
})

test('a flipped bit before later batches is told without the mark', () => {
  const { disk } = flushed(6)
  const file = logFile(disk)
  const length = disk.read(file).length
  const recordBytes = 60
  disk.remove('synced')
  disk.flip(file, length - 4 * recordBytes, 3)
  const opened = new DurableLog(disk).open()
  expect(opened).toMatchObject({ type: 'corrupt', corruptions: [{ file }] })
  if (opened.type === 'corrupt') expect(opened.corruptions[0]!.offset).toBeGreaterThan(0)
})

test('synced data cut off is told with its offset', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 200 }), cut => {
    const { disk } = flushed(6)
    const file = logFile(disk)
    disk.truncate(file, disk.read(file).length - cut)
    expect(new DurableLog(disk).open()).toMatchObject({ type: 'corrupt', corruptions: [{ file }] })
  }), { seed: SEED, numRuns: 100 })
})

test('a missing file is told', () => {
  for (const prefix of ['log-', 'snapshot-']) {
    const { disk } = flushed(2)
    disk.remove(disk.list().find(name => name.startsWith(prefix))!)
    expect(new DurableLog(disk).open().type).toBe('corrupt')
  }
})

test('a file of another format version is refused', () => {
  const { disk } = flushed(2)
  const file = logFile(disk)
  const bytes = disk.read(file)
  disk.flip(file, 11, 1)
  expect(new DurableLog(disk).open()).toMatchObject({ type: 'corrupt', corruptions: [{ file, offset: 0 }] })
  expect(bytes[11]).toBe(1)
})

test('a full disk is refused and the log goes on when there is room', () => {
  fc.assert(fc.property(fc.nat({ max: 120 }), free => {
    const writer = flushed(3)
    writer.do({ op: 'append', count: 2 })
    writer.disk.faults.freeBytes = free
    const attempt = (): number => writer.log.flush()
    expect(attempt).toThrow(expect.objectContaining({ failure: 'full' }) as Error)
    expect(contentOf(new DurableLog(writer.disk).open())).toEqual(writer.kept)
    writer.disk.faults.freeBytes = Infinity
    writer.do({ op: 'flush' })
    expect(contentOf(new DurableLog(writer.disk).open())).toEqual(writer.kept)
  }), { seed: SEED, numRuns: 50 })
})

test('a full disk leaves the earlier snapshot in force', () => {
  fc.assert(fc.property(fc.nat({ max: 500 }), free => {
    const writer = flushed(3)
    const before = writer.kept
    writer.disk.faults.freeBytes = free
    let refused = false
    try {
      writer.do({ op: 'snapshot', back: 0 })
    } catch (error) {
      refused = error instanceof StorageFault && error.failure === 'full'
    }
    const found = contentOf(new DurableLog(writer.disk).open())
    const possible = [before, { ...before, entries: [], snapshotIndex: 3 }]
    expect(possible).toContainEqual(found)
    if (!refused) expect(found.snapshotIndex).toBe(3)
  }), { seed: SEED, numRuns: 100 })
})

test('after a failed sync nothing works any more', () => {
  const writer = flushed(2)
  writer.do({ op: 'append', count: 1 })
  writer.disk.faults.syncFails = true
  expect(() => writer.log.flush()).toThrow(expect.objectContaining({ failure: 'sync-failed' }) as Error)
  writer.disk.faults.syncFails = false
  expect(() => writer.log.flush()).toThrow(expect.objectContaining({ failure: 'sync-failed' }) as Error)
  expect(() => writer.do({ op: 'append', count: 1 })).toThrow(StorageFault)
})
