import { QUANTILE_STEP } from './Constants.js'

/**
 * Running estimate of one quantile of a latency. It follows a change of the latency within some hundred samples.
 * Memory is constant.
 */
export class LatencyQuantile {
  private readonly _increaseFactor: number
  private readonly _decreaseFactor: number
  private _estimateMs: number

  /**
   * @param quantile Share of the samples below the estimate, above 0 and below 1.
   * @param initialMs Estimate before the first sample, above 0 milliseconds.
   */
  public constructor (quantile: number, initialMs: number) {
    this._increaseFactor = 1 + QUANTILE_STEP * quantile
    this._decreaseFactor = 1 - QUANTILE_STEP * (1 - quantile)
    this._estimateMs = initialMs
  }

  /** The estimate in milliseconds. */
  public get estimateMs (): number {
    return this._estimateMs
  }

  /**
   * Adds a sample.
   * @param latencyMs Latency in milliseconds.
   */
  public add (latencyMs: number): void {
    this._estimateMs *= latencyMs > this._estimateMs ? this._increaseFactor : this._decreaseFactor
  }
}
