import fc from 'fast-check'
import { expect, test } from 'vitest'
import { GroupClock } from './GroupClock.js'
import { IdempotencyLedger } from './IdempotencyLedger.js'
import { ShardMap } from './ShardMap.js'
import type { PermitHolder, RecordCommand, StoredAnswer } from './Types.js'

const SEED = 4_020
const RUN_MS = 1_000

function holder (node: string, call = 1, incarnation = 1): PermitHolder {
  return { node, incarnation, call }
}

function begin (key: string, by: PermitHolder, fingerprint = 'f'): RecordCommand {
  return { type: 'begin', record: { service: 's', key }, fingerprint, holder: by, runForMs: RUN_MS }
}

function finish (key: string, by: PermitHolder, bytes = 3): RecordCommand {
  return { type: 'finish', record: { service: 's', key }, holder: by, answer: buildAnswer(bytes) }
}

function buildAnswer (bytes: number): StoredAnswer {
  return { status: 201, headers: [['content-type', 'text/plain']], body: new Uint8Array(bytes), truncated: false }
}

test('a full ledger refuses new keys and drops none within the retention time', () => {
  const ledger = new IdempotencyLedger({ maxRecords: 2, horizonMs: 10_000 })
  ledger.apply(begin('k1', holder('a')), 0)
  ledger.apply(finish('k1', holder('a')), 5)
  ledger.apply(begin('k2', holder('a', 2)), 10)
  expect(ledger.apply(begin('k3', holder('b')), 10_999)).toMatchObject({ type: 'refused', reason: 'records-full' })
  expect(ledger.apply(begin('k1', holder('b', 2)), 10_999)).toEqual({ type: 'answered', answer: buildAnswer(3) })
  expect(ledger.apply(begin('k3', holder('b', 3)), 11_000)).toEqual({ type: 'granted' })
  expect(ledger.size).toBe(2)
})

test('only the holder writes the outcome', () => {
  const ledger = new IdempotencyLedger()
  ledger.apply(begin('k', holder('a')), 0)
  expect(ledger.apply(finish('k', holder('b')), 1)).toMatchObject({ type: 'refused', reason: 'conflict' })
  expect(ledger.apply(finish('k', holder('a', 1, 2)), 1)).toMatchObject({ type: 'refused', reason: 'conflict' })
  expect(ledger.apply(begin('k', holder('b')), 2)).toMatchObject({ type: 'inProgress' })
  expect(ledger.apply(finish('k', holder('a')), 3)).toEqual({ type: 'recorded' })
  expect(ledger.apply(begin('k', holder('c')), 4)).toMatchObject({ type: 'answered' })
})

test('a key that is reused for another request is refused', () => {
  const ledger = new IdempotencyLedger()
  ledger.apply(begin('k', holder('a')), 0)
  expect(ledger.apply(begin('k', holder('b'), 'g'), 1)).toMatchObject({ type: 'refused', reason: 'key-reused' })
})

test('a restart of the holder makes the outcome unknown', () => {
  const ledger = new IdempotencyLedger()
  ledger.apply(begin('k', holder('a')), 0)
  expect(ledger.apply(begin('k', holder('a', 1, 2)), 1)).toEqual({ type: 'unknown' })
  expect(ledger.apply(begin('k', holder('b')), 2)).toEqual({ type: 'unknown' })
})

test('only the status is stored of a large answer, or when the space for answers is full', () => {
  const ledger = new IdempotencyLedger({ maxAnswerBytes: 100, maxAnswersBytes: 150 })
  const bytes = [101, 60, 60]
  bytes.forEach((length, call) => {
    ledger.apply(begin(`k${call}`, holder('a', call)), 0)
    ledger.apply(finish(`k${call}`, holder('a', call), length), 0)
  })
  const kept = bytes.map((_length, call) => ledger.apply(begin(`k${call}`, holder('b', call)), 1))
  expect(kept.map((reply) => reply.type === 'answered' && reply.answer.truncated)).toEqual([true, false, true])
  expect(ledger.answersBytes).toBeLessThanOrEqual(150)
})

test('a restored ledger replies like the original', () => {
  const commands = fc.array(fc.tuple(fc.nat(3), fc.nat(2), fc.nat(2), fc.nat(3), fc.nat(3_000)), { maxLength: 40 })
  const options = { maxRecords: 3, horizonMs: 2_000, maxAnswersBytes: 60 }
  fc.assert(fc.property(commands, fc.nat(39), (schedule, restoreIndex) => {
    const original = new IdempotencyLedger(options)
    let copy = restoreCopy(original)
    let atMs = 0
    schedule.forEach(([type, key, node, call, elapsedMs], index) => {
      if (index === restoreIndex) {
        copy = restoreCopy(original)
      }
      atMs += elapsedMs
      const command = buildCommand(type, `k${key}`, holder(`n${node}`, call))
      expect(copy.apply(command, atMs)).toEqual(original.apply(command, atMs))
    })
    expect(copy.snapshot()).toEqual(original.snapshot())
  }), { seed: SEED, numRuns: 500 })
})

// A new leader's monotonic clock starts at any value. Group time must neither go back nor run ahead of the elapsed
// time, otherwise records would expire too early.
test('group time follows the elapsed time across changes of the leader', () => {
  const steps = fc.array(fc.tuple(fc.nat(1_000), fc.boolean(), fc.nat(1_000_000)), { maxLength: 50 })
  fc.assert(fc.property(steps, (schedule) => {
    let clock = new GroupClock()
    let [elapsedMs, offsetMs, lastMs] = [0, 0, clock.stamp(0)]
    for (const [stepMs, leaderChanges, leaderOffsetMs] of schedule) {
      elapsedMs += stepMs
      if (leaderChanges) {
        clock = new GroupClock()
        offsetMs = leaderOffsetMs
        clock.observe(lastMs, elapsedMs + offsetMs)
      }
      const stamp = clock.stamp(elapsedMs + offsetMs)
      expect(stamp).toBeGreaterThanOrEqual(lastMs)
      expect(stamp).toBeLessThanOrEqual(elapsedMs)
      clock.observe(stamp, elapsedMs + offsetMs)
      lastMs = stamp
    }
  }), { seed: SEED, numRuns: 300 })
})

test('keys spread evenly over the groups, and a new group takes over only its own', () => {
  const groups = ['g1', 'g2', 'g3', 'g4']
  const before = new ShardMap(groups)
  const after = new ShardMap([...groups, 'g5'])
  const counts = new Map<string, number>()
  for (let key = 0; key < 10_000; key += 1) {
    const record = { service: 'orders', key: `key-${key}` }
    const group = before.findGroup(record)
    counts.set(group, (counts.get(group) ?? 0) + 1)
    expect([group, 'g5']).toContain(after.findGroup(record))
  }
  // Four groups of 10,000 keys: 5 standard deviations of the binomial are 217.
  expect([...counts.values()].every((count) => Math.abs(count - 2_500) < 217)).toBe(true)
})

function buildCommand (type: number, key: string, by: PermitHolder): RecordCommand {
  const owned = { record: { service: 's', key }, holder: by }
  const commands: RecordCommand[] = [
    begin(key, by), finish(key, by, 20), { type: 'lose', ...owned }, { type: 'abandon', ...owned }
  ]
  return commands[type] as RecordCommand
}

function restoreCopy (original: IdempotencyLedger): IdempotencyLedger {
  const copy = new IdempotencyLedger()
  copy.restore(structuredClone(original.snapshot()))
  return copy
}
