/** Load as an instance tells it. */
export interface InstanceLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Time that work takes on the VM now, relative to usual; 1 is usual. */
  readonly slowness: number
}

const PERCENT = 100

/**
 * Reads "running,waiting,slots" with an optional slowness in percent.
 * @param text Value of the header; undefined when it is missing or makes no sense.
 */
export function parseLoad (text: string | undefined): InstanceLoad | undefined {
  if (text === undefined) return undefined
  const [running, waiting, slots, slowness = PERCENT] = text.split(',').map(Number)
  const figures = [running, waiting, slots, slowness]
  if (figures.some(figure => figure === undefined || !Number.isFinite(figure) || figure < 0)) return undefined
  return { running: running!, waiting: waiting!, slots: slots!, slowness: Math.max(0.01, slowness / PERCENT) }
}
