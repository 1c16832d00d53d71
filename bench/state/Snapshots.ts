import { ControlStateMachine } from '../../src/control/ControlStateMachine.js'
import { DurableLog } from '../../src/parts/storage/DurableLog.js'
import { FileDisk } from '../../src/runtime/FileDisk.js'
import { SystemClock } from '../../src/runtime/SystemClock.js'
import { round, type Quantiles, computeQuantiles } from './Quantiles.js'

const RECORD_COUNTS = [1000, 10_000, 50_000, 100_000]
const ANSWER_BYTES = 200

/** Cost of a snapshot of one size, in milliseconds. */
interface SnapshotCost {
  readonly records: number
  readonly bytes: number
  /** Copying the state; blocks the event loop. */
  readonly takeMs: number
  /** Encoding, writing and syncing one part of the snapshot; blocks the event loop for each part. */
  readonly partMs: Quantiles
  /** All parts together. */
  readonly partsMs: number
  /** Making the snapshot the current one; blocks the event loop. */
  readonly finishMs: number
  readonly restoreMs: number
}

/**
 * Measures encoding, writing and restoring the group's state, by number of answered records.
 * @param folder Folder on the disk to measure.
 */
export function measureSnapshots (folder: string): SnapshotCost[] {
  return RECORD_COUNTS.map(records => {
    const clock = new SystemClock()
    const limits = { maxRecords: 200_000 }
    const machine = new ControlStateMachine(limits, clock)
    for (let index = 1; index <= records; index++) apply(machine, index)
    const disk = new FileDisk(`${folder}/${records}`)
    const log = new DurableLog(disk)
    log.create('bench')
    log.beginSnapshot(records)
    const [takeMs, parts] = measureTime(() => machine.snapshot())
    const { data, times } = writeParts(log, parts)
    const snapshot = { index: records, term: 1, members: ['a', 'b', 'c'], data }
    const [finishMs] = measureTime(() => log.stage({ sequence: 1, entries: [], snapshot }))
    disk.dispose()
    const [restoreMs] = measureTime(() => new ControlStateMachine(limits, clock).restore(data))
    const partsMs = round(times.reduce((sum, ms) => sum + ms, 0))
    return { records, bytes: data.length, takeMs, partMs: computeQuantiles(times), partsMs, finishMs, restoreMs }
  })
}

function writeParts (log: DurableLog, parts: Iterator<Uint8Array>): { data: Uint8Array, times: number[] } {
  const written: Uint8Array[] = []
  const times: number[] = []
  for (;;) {
    const startMs = performance.now()
    const next = parts.next()
    if (next.done === true) return { data: Buffer.concat(written), times }
    log.addSnapshotChunk(next.value)
    written.push(next.value)
    times.push(performance.now() - startMs)
  }
}

function apply (machine: ControlStateMachine, index: number): void {
  const record = { service: 'custody', key: `key-${index}` }
  const holder = { node: 'bench', incarnation: 1, call: index }
  const answer = { status: 200, headers: [], body: new Uint8Array(ANSWER_BYTES), truncated: false }
  const commands = [
    machine.encodeRecord({ type: 'begin', record, fingerprint: 'f'.repeat(16), holder, runForMs: 60_000 }),
    machine.encodeRecord({ type: 'finish', record, holder, answer })
  ]
  commands.forEach((data, step) => machine.apply({ index: 2 * index + step, term: 1, kind: 'command', data }))
}

function measureTime<Result> (action: () => Result): [number, Result] {
  const startMs = performance.now()
  const result = action()
  return [round(performance.now() - startMs), result]
}
