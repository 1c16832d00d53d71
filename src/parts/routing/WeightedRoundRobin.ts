import type { ServiceName } from '../Types.js'
import type { SplitShare } from './Types.js'

/**
 * Smooth weighted round robin over the shares of a split: each service gets close to its weight in any sequence of
 * requests, even a short one.
 *
 * Memory: one number for each share.
 */
export class WeightedRoundRobin {
  private readonly _currentWeights: number[]
  private readonly _totalWeight: number

  /**
   * @param _shares At least one with a weight above 0.
   * @param phase Number in [0, 1) that offsets the sequence, so that nodes do not all start with the same service.
   */
  public constructor (private readonly _shares: readonly SplitShare[], phase: number) {
    this._totalWeight = _shares.reduce((sum, share) => sum + share.weight, 0)
    this._currentWeights = _shares.map(() => 0)
    const skipped = Math.floor(phase * INITIAL_SKIPS)
    for (let i = 0; i < skipped; i++) this.next()
  }

  /** Returns the service of the next request. */
  public next (): ServiceName {
    let heaviest = 0
    for (const [index, share] of this._shares.entries()) {
      this._currentWeights[index] = (this._currentWeights[index] ?? 0) + share.weight
      if ((this._currentWeights[index] ?? 0) > (this._currentWeights[heaviest] ?? 0)) heaviest = index
    }
    this._currentWeights[heaviest] = (this._currentWeights[heaviest] ?? 0) - this._totalWeight
    return this._shares[heaviest]!.service
  }
}

/**
 * Steps among which the phase chooses the first one, whatever the scale of the weights: several times the length of
 * most sequences; that of percentage weights repeats after 100.
 */
const INITIAL_SKIPS = 1000
