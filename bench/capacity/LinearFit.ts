/** One measured point. */
export interface Point {
  readonly x: number
  readonly y: number
}

/** A straight line through measured points by least squares. */
export class LinearFit {
  private readonly _slope: number
  private readonly _intercept: number
  private readonly _largestX: number
  private readonly _count: number

  /** @param points At least one; a single one gives a constant. */
  public constructor (points: readonly Point[]) {
    const meanX = mean(points.map(point => point.x))
    const meanY = mean(points.map(point => point.y))
    const covariance = sum(points.map(({ x, y }) => (x - meanX) * (y - meanY)))
    const variance = sum(points.map(({ x }) => (x - meanX) ** 2))
    this._slope = variance === 0 ? 0 : covariance / variance
    this._intercept = meanY - this._slope * meanX
    this._largestX = Math.max(...points.map(point => point.x))
    this._count = new Set(points.map(point => point.x)).size
  }

  /** Returns the value at x. */
  public at (x: number): number {
    return this._intercept + this._slope * x
  }

  /**
   * Describes how the value at x is computed: the formula, the number of points and whether it is extrapolated.
   * @param x Where the value is taken.
   * @param unit Unit of the value.
   */
  public explain (x: number, unit: string): string {
    const sign = this._slope < 0 ? '−' : '+'
    const formula = `${formatNumber(this._intercept)} ${sign} ${formatNumber(Math.abs(this._slope))} × ${x} ${unit}`
    const beyond = x > this._largestX ? `, extrapolated beyond ${this._largestX}` : ''
    const few = this._count < 3 ? `, **only ${this._count} points**` : `, ${this._count} sizes`
    return `${formula}${few}${beyond}`
  }
}

/** Formats a number with three significant digits, or as a whole number from 1000 on. */
export function formatNumber (value: number): string {
  if (value === 0) return '0'
  return Math.abs(value) >= 1000 ? Math.round(value).toLocaleString('en') : String(Number(value.toPrecision(3)))
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean (values: readonly number[]): number {
  return sum(values) / values.length
}
