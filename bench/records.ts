/** Measures the cost of one idempotency record in the ledger: time, memory and snapshot, by number of records. */
import { setImmediate } from 'node:timers/promises'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { Encoder } from 'cbor-x'
import { writeReport } from './BenchReport.js'
import { IdempotencyLedger } from '../src/parts/records/IdempotencyLedger.js'
import type { LedgerSnapshot, RecordCommand, StoredAnswer } from '../src/parts/records/Types.js'

const SIZES = [10_000, 50_000, 200_000]
const ANSWER_BYTES = 512
const REPETITIONS = 3
const GARBAGE_COLLECTIONS = 5
const NS_PER_MS = 1_000_000
const CODEC = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Measured costs at one number of records. */
interface Point {
  readonly records: number
  readonly answerBytes: number
  readonly beginNs: number
  readonly finishNs: number
  readonly repeatNs: number
  readonly bytesPerRecord: number
  /** Time to copy the ledger, which blocks the replica; the copy may be encoded in parts. */
  readonly copyMs: number
  readonly encodeMs: number
  readonly snapshotBytes: number
  readonly restoreMs: number
}

function makeCommand (type: 'begin' | 'finish', index: number): RecordCommand {
  const record = { service: 'orders', key: `0f8fad5b-d9cb-469f-a165-${String(index).padStart(12, '0')}` }
  const holder = { node: `node-${index % 100}`, incarnation: 1, call: index }
  if (type === 'begin') {
    return { type, record, holder, fingerprint: index.toString(16).padStart(16, '0'), runForMs: 3_000 }
  }
  return { type, record, holder, answer: makeAnswer(index) }
}

function makeAnswer (index: number): StoredAnswer {
  const headers = [['content-type', 'application/json'], ['etag', `"${index}"`]] as const
  return { status: 201, headers, body: new Uint8Array(ANSWER_BYTES), truncated: false }
}

/** Returns nanoseconds per command. Commands are decoded, as a replica does, before the time is taken. */
function applyAll (ledger: IdempotencyLedger, type: 'begin' | 'finish', from: number, count: number): number {
  const commands = Array.from({ length: count }, (_, index) => {
    return CODEC.decode(new Uint8Array(CODEC.encode(makeCommand(type, from + index)))) as RecordCommand
  })
  const startedAt = process.hrtime.bigint()
  for (const command of commands) ledger.apply(command, 1)
  return Number(process.hrtime.bigint() - startedAt) / count
}

/** Returns the bytes in use after garbage collection, which takes several turns of the event loop. */
async function bytesInUse (): Promise<number> {
  for (let cycle = 0; cycle < GARBAGE_COLLECTIONS; cycle += 1) {
    collectGarbage()
    await setImmediate()
  }
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

async function measure (records: number): Promise<Point> {
  const batch = Math.min(records, 10_000)
  const ledger = new IdempotencyLedger()
  const before = await bytesInUse()
  let beginNs = 0
  let finishNs = 0
  for (let from = 0; from < records; from += batch) {
    beginNs = applyAll(ledger, 'begin', from, batch)
    finishNs = applyAll(ledger, 'finish', from, batch)
  }
  const repeatNs = applyAll(ledger, 'begin', 0, batch)
  const used = await bytesInUse() - before
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

const points: Point[] = []
for (const records of SIZES.flatMap((size) => Array<number>(REPETITIONS).fill(size))) {
  const point = await measure(records)
  process.stdout.write(JSON.stringify(point) + '\n')
  points.push(point)
}
writeReport('records', { seeds: [], points })
