/** Load as an instance tells it. */
export interface InstanceLoad {
  readonly running: number
  readonly queued: number
  readonly slots: number
  /** Time that work takes on the VM now, relative to usual; 1 is usual. */
  readonly slowness: number
}

const PERCENT = 100

/**
 * Reads "running,waiting,slots" with an optional slowness in percent.
 * @param text Value of the header; undefined when it is missing or makes no sense.
 */
export function parseLoadHeader (text: string | undefined): InstanceLoad | undefined {
  if (text === undefined) return undefined
  const [running, queued, slots, slowness = PERCENT] = text.split(',').map(Number)
  const values = [running, queued, slots, slowness]
  if (values.some(value => value === undefined || !Number.isFinite(value) || value < 0)) return undefined
  return { running: running!, queued: queued!, slots: slots!, slowness: Math.max(0.01, slowness / PERCENT) }
}
