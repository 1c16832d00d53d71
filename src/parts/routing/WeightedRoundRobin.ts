import type { ServiceName } from '../Types.js'
import type { SplitShare } from './Types.js'

/**
 * Spreads requests over the shares of a split by smooth weighted round robin: any run of requests holds each
 * service close to its weight, also a short one.
 *
 * Memory: one number for each share.
 */
export class WeightedRoundRobin {
  private readonly _credits: number[]
  private readonly _total: number

  /**
   * @param _shares At least one with a weight above 0.
   * @param phase Number in [0, 1) that offsets the rotation, so that many nodes do not start with the same service.
   */
  public constructor (private readonly _shares: readonly SplitShare[], phase: number) {
    this._total = _shares.reduce((sum, share) => sum + share.weight, 0)
    this._credits = _shares.map(() => 0)
    const skipped = Math.floor(phase * this._total)
    for (let i = 0; i < Math.min(skipped, MAX_SKIPPED); i++) this.next()
  }

  /** Returns the service of the next request. */
  public next (): ServiceName {
    let best = 0
    for (const [index, share] of this._shares.entries()) {
      this._credits[index] = (this._credits[index] ?? 0) + share.weight
      if ((this._credits[index] ?? 0) > (this._credits[best] ?? 0)) best = index
    }
    this._credits[best] = (this._credits[best] ?? 0) - this._total
    return this._shares[best]!.service
  }
}

/** Steps that the phase may skip; percent weights repeat after 100. */
const MAX_SKIPPED = 1000
