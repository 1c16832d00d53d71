import { DurableLog } from '../../src/parts/storage/DurableLog.js'
import { FileDisk } from '../../src/runtime/FileDisk.js'
import { round, type Quantiles, computeQuantiles } from './Quantiles.js'

const BATCHES = [1, 4, 16, 64, 256]
const FLUSHES = 200
const ENTRY_BYTES = 200

/** Throughput and flush time of the log at one batch size. */
interface LogWriteCost {
  readonly batch: number
  readonly entriesPerSecond: number
  readonly flushMs: Quantiles
}

/**
 * Measures the durable log alone: entries per second and milliseconds per flush, by batch size.
 * @param folder Folder on the disk to measure.
 */
export function measureLogWrites (folder: string): LogWriteCost[] {
  return BATCHES.map(batch => {
    const disk = new FileDisk(`${folder}/${batch}`)
    const log = new DurableLog(disk)
    log.create('bench')
    const data = new Uint8Array(ENTRY_BYTES)
    const times: number[] = []
    let index = 0
    for (let flush = 0; flush < FLUSHES; flush++) {
      const startMs = performance.now()
      for (let i = 0; i < batch; i++) {
        index++
        log.stage({ sequence: index, entries: [{ index, term: 1, kind: 'command', data }] })
      }
      log.flush()
      times.push(performance.now() - startMs)
    }
    disk.dispose()
    const totalMs = times.reduce((sum, ms) => sum + ms, 0)
    return { batch, entriesPerSecond: round(index / totalMs * 1000), flushMs: computeQuantiles(times) }
  })
}
