/** Quantiles of some values, in their unit. */
export interface Quantiles {
  readonly count: number
  readonly min: number
  readonly p50: number
  readonly p99: number
  readonly max: number
}

/**
 * Returns the quantiles of values, rounded to a hundredth.
 * @param values At least one value.
 */
export function computeQuantiles (values: readonly number[]): Quantiles {
  const sorted = [...values].sort((a, b) => a - b)
  const at = (share: number): number => round(sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!)
  return { count: sorted.length, min: at(0), p50: at(0.5), p99: at(0.99), max: at(1) }
}

/**
 * Rounds to a hundredth.
 * @param value Any number.
 */
export function round (value: number): number {
  return Math.round(value * 100) / 100
}
