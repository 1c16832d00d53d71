import { MAX_SLOTS } from '../parts/instances/EntryChecks.js'

/** Load that an instance reports in the headers of its answers; `GateLoad` is what its node sends to other nodes. */
export interface InstanceLoad {
  /** Calls that run now. */
  readonly running: number
  /** Calls that wait for a slot. */
  readonly queued: number
  /** Calls that may run at once. */
  readonly slots: number
  /** Time that work takes on the VM now relative to usual; 1 is usual. */
  readonly slowness: number
}

const PERCENT = 100

const LOAD_PATTERN = /^\d{1,9}, ?\d{1,9}, ?\d{1,9}(, ?\d{1,9}(\.\d+)?)?$/

/**
 * Parses a load header: `running,queued,slots` with an optional fourth field, the slowness in percent.
 * @param text Value of the header; undefined when there is none.
 * @returns Undefined when the header is missing or malformed.
 */
export function parseLoadHeader (text: string | undefined): InstanceLoad | undefined {
  if (text === undefined || !LOAD_PATTERN.test(text)) return undefined
  const [running, queued, slots, slowness = PERCENT] = text.split(',').map(Number)
  if (slots! > MAX_SLOTS) return undefined
  // Run times are divided by the slowness, so it must not be 0.
  return { running: running!, queued: queued!, slots: slots!, slowness: Math.max(0.01, slowness / PERCENT) }
}
