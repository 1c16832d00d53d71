/** Measures what one record of a guarded call costs the ledger: time, memory and snapshot, by records kept. */
import { execFileSync } from 'node:child_process'
import { mkdirSync, writeFileSync } from 'node:fs'
import { cpus } from 'node:os'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { Encoder } from 'cbor-x'
import { IdempotencyLedger } from '../src/parts/records/IdempotencyLedger.js'
import type { LedgerSnapshot, RecordCommand, StoredAnswer } from '../src/parts/records/Types.js'

const SIZES = [10_000, 100_000, 400_000]
const ANSWER_BYTES = 512
const REPEATS = 3
const NS_PER_MS = 1_000_000
const CODEC = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

interface Point {
  readonly records: number
  readonly answerBytes: number
  readonly beginNs: number
  readonly finishNs: number
  readonly repeatNs: number
  readonly bytesPerRecord: number
  /** Time for which the replica stands still; encoding may go in parts. */
  readonly copyMs: number
  readonly encodeMs: number
  readonly snapshotBytes: number
  readonly restoreMs: number
}

function commandOf (type: 'begin' | 'finish', index: number): RecordCommand {
  const record = { service: 'orders', key: `0f8fad5b-d9cb-469f-a165-${String(index).padStart(12, '0')}` }
  const holder = { node: `node-${index % 100}`, incarnation: 1, call: index }
  if (type === 'begin') {
    return { type, record, holder, fingerprint: index.toString(16).padStart(16, '0'), runForMs: 3_000 }
  }
  return { type, record, holder, answer: answerOf(index) }
}

function answerOf (index: number): StoredAnswer {
  const headers = [['content-type', 'application/json'], ['etag', `"${index}"`]] as const
  return { status: 201, headers, body: new Uint8Array(ANSWER_BYTES), truncated: false }
}

/** Decodes each command as a replica does, outside of the time that is taken. */
function applyAll (ledger: IdempotencyLedger, type: 'begin' | 'finish', from: number, count: number): number {
  const commands = Array.from({ length: count }, (_, index) => {
    return CODEC.decode(new Uint8Array(CODEC.encode(commandOf(type, from + index)))) as RecordCommand
  })
  const startedAt = process.hrtime.bigint()
  for (const command of commands) ledger.apply(command, 1)
  return Number(process.hrtime.bigint() - startedAt) / count
}

function measure (records: number): Point {
  const batch = Math.min(records, 10_000)
  const ledger = new IdempotencyLedger()
  collectGarbage()
  const before = process.memoryUsage()
  let beginNs = 0
  let finishNs = 0
  for (let from = 0; from < records; from += batch) {
    beginNs = applyAll(ledger, 'begin', from, batch)
    finishNs = applyAll(ledger, 'finish', from, batch)
  }
  const repeatNs = applyAll(ledger, 'begin', 0, batch)
  collectGarbage()
  const after = process.memoryUsage()
  const used = (after.heapUsed + after.arrayBuffers) - (before.heapUsed + before.arrayBuffers)
  const copiedAt = process.hrtime.bigint()
  const copy = ledger.snapshot()
  const copyMs = Number(process.hrtime.bigint() - copiedAt) / NS_PER_MS
  const startedAt = process.hrtime.bigint()
  const snapshot = new Uint8Array(CODEC.encode(copy))
  const encodeMs = Number(process.hrtime.bigint() - startedAt) / NS_PER_MS
  const restoredAt = process.hrtime.bigint()
  new IdempotencyLedger().restore(CODEC.decode(snapshot) as LedgerSnapshot)
  const restoreMs = Number(process.hrtime.bigint() - restoredAt) / NS_PER_MS
  const bytesPerRecord = Math.round(used / records)
  const sizes = { records, answerBytes: ANSWER_BYTES, bytesPerRecord, snapshotBytes: snapshot.length }
  const times = { copyMs: round(copyMs), encodeMs: round(encodeMs), restoreMs: round(restoreMs) }
  return { ...sizes, beginNs: round(beginNs), finishNs: round(finishNs), repeatNs: round(repeatNs), ...times }
}

function round (value: number): number {
  return Number(value.toFixed(1))
}

const points = SIZES.flatMap((records) => Array.from({ length: REPEATS }, () => {
  const point = measure(records)
  process.stdout.write(JSON.stringify(point) + '\n')
  return point
}))
const result = {
  commit: execFileSync('git', ['rev-parse', '--short', 'HEAD']).toString().trim(),
  cores: cpus().length,
  node: process.version,
  date: new Date().toISOString().slice(0, 10),
  command: 'npm run bench:records',
  seeds: [],
  points
}
mkdirSync('bench/results', { recursive: true })
writeFileSync('bench/results/records.json', JSON.stringify(result, null, 1) + '\n')
