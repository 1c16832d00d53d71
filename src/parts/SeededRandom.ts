import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { Random } from './Types.js'

const RANGE = 0x7fffffff

/** Deterministic source of pseudo-random numbers. */
export class SeededRandom implements Random {
  private readonly _generator

  /**
   * @param seed Integer; the same seed gives the same sequence.
   */
  public constructor (seed: number) {
    this._generator = xoroshiro128plus(seed)
  }

  /** Returns the next number in [0, 1). */
  public next (): number {
    return uniformInt(this._generator, 0, RANGE - 1) / RANGE
  }
}
